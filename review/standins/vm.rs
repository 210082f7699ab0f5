// Starts the processes of the gateway.

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGKILL: i32 = 9;

struct Vm {
    name: String,
    ip: String,
    settings: PathBuf,
    child: Shared<Option<Child>>,
}

#[derive(Clone, Copy)]
struct Ports {
    base: u16,
}

impl Ports {
    /// Ports that are free on all addresses now.
    fn find(ips: &[String]) -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        let mut base = 10_000 + (nanos / 1_000 % 1_200) as u16 * 16;
        loop {
            let free = ips.iter().all(|ip| {
                (base..base + 8).all(|port| TcpListener::bind((ip.as_str(), port)).is_ok())
                    && std::net::UdpSocket::bind((ip.as_str(), base + 4)).is_ok()
            });
            if free {
                return Self { base };
            }
            base += 16;
        }
    }
}

impl Vm {
    fn caller(&self, ports: Ports) -> SocketAddr {
        format!("{}:{}", self.ip, ports.base).parse().unwrap()
    }

    /// Writes the settings file as the template of the deploy file renders it.
    fn new(name: &str, ip: &str, zones: &str, zone: &str, seeds: &[String], ports: Ports, store: &Store, folder: &PathBuf) -> Self {
        let base = ports.base;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:{}\"", base + 3)).collect();
        let text = format!(
            r#"{{"vm":"{name}","data_centre":"{zone}","data_centres":{zones},
"caller_address":"{ip}:{}","ready_address":"{ip}:{}","directory_address":"{ip}:{}","peer_address":"{ip}:{}",
"report_address":"{ip}:{}","metrics_address":"{ip}:{}","seeds":[{}],"store_address":"{}","max_descriptors":4100,
"resources":{{"cores":0.25,"memory_mb":260,"link_mbps":1000.0}},
"bounds":{{"drain_ms":3000,"grace_s":8,"retry_share":0.2,"retry_extra":54,"cold_factor":1.5,"cold_slack":3}}}}"#,
            base, base + 1, base + 2, base + 3, base + 4, base + 5, seeds.join(","), store.address
        );
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("settings written");
        Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            settings,
            child: Arc::default(),
        }
    }

    fn start(&self, front: &str, folder: &PathBuf, record: &Record) {
        let log = File::options().create(true).append(true).open(folder.join(format!("{}.log", self.name))).unwrap();
        let child = Command::new(front)
            .env_clear()
            .env("VERBENARING_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                record.say(&format!("{} starts, pid {}", self.name, child.id()));
                STARTED.lock().unwrap().push(child.id() as i32);
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => {
                record.say(&format!("{} does not start: {error}", self.name));
                exit(2);
            }
        }
    }

    fn pid(&self) -> Option<i32> {
        self.child.lock().unwrap().as_ref().map(|child| child.id() as i32)
    }

    /// Ends the process at once.
    fn kill_now(&self) {
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            end(child);
        }
    }

    fn ready(&self, ports: Ports) -> bool {
        let ended = |child: &mut Child| !matches!(child.try_wait(), Ok(None));
        if self.child.lock().unwrap().as_mut().is_none_or(ended) {
            return false;
        }
        let address: SocketAddr = format!("{}:{}", self.ip, ports.base + 1).parse().unwrap();
        get(address, "/api/readyz").is_some_and(|answer| answer.status() == 200)
    }
}

/// Resident memory of a process, in bytes.
fn resident(pid: i32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    text.split(' ').nth(1)?.parse::<u64>().ok().map(|pages| pages * page_size())
}

extern "C" {
    fn sysconf(name: i32) -> i64;
}

fn page_size() -> u64 {
    // _SC_PAGESIZE on Linux.
    unsafe { sysconf(30) as u64 }
}

fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let mut answer = read_head(&mut stream, &mut buffer).ok()??;
    read_body(&mut stream, &mut buffer, &mut answer, |_| {}).then_some(answer)
}
