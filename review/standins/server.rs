// Stand-in for backend servers, each in a process of its own.

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A backend server in a process of its own, which can be killed. It tells on its standard
/// output what it runs.
struct ServerProcess {
    id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    child: Shared<Child>,
    /// Further fields of its entry; `None` once it writes none.
    state: Shared<Option<String>>,
    /// Lines of its output: time, event, request.
    told: Shared<Vec<(f64, String, String)>>,
}

impl ServerProcess {
    /// Starts a server that streams so many events; each answer whose number is a multiple
    /// of `unframed` has neither a length nor chunks (0: none).
    fn start(id: &str, zone: &'static str, events: u32, pause_ms: u32, unframed: u32, store: &Store, record: &Record) -> Self {
        let mut child = Command::new(std::env::current_exe().expect("own path"))
            .args(["backend", id, &events.to_string(), &pause_ms.to_string(), &unframed.to_string()])
            .env_clear()
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("server starts");
        STARTED.lock().unwrap().push(child.id() as i32);
        let mut lines = std::io::BufRead::lines(std::io::BufReader::new(child.stdout.take().expect("output")));
        let first = lines.next().expect("a line").expect("read");
        let server = Self {
            id: id.to_owned(),
            service: "model",
            zone,
            address: first.parse().expect("address"),
            child: Arc::new(Mutex::new(child)),
            state: Arc::new(Mutex::new(Some(r#""state":"ready""#.to_owned()))),
            told: Arc::default(),
        };
        let (told, clock, name) = (server.told.clone(), record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((event, request)) = line.split_once(' ') {
                    clock.say(&format!("server {name}: {event} {request}"));
                    let request = request.split(' ').next().unwrap_or("").to_owned();
                    told.lock().unwrap().push((clock.now(), event.to_owned(), request));
                }
            }
        });
        server.write(store, 1);
        let (id, service, zone, address, state, store) =
            (server.id.clone(), server.service, server.zone, server.address, server.state.clone(), store.clone());
        let born = server.born();
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                let Some(fields) = state.lock().unwrap().clone() else { return };
                store.put(&format!("servers/{id}"), &entry(service, address, zone, &fields, seq, born));
            }
        });
        server
    }

    fn born(&self) -> u64 {
        1_796_000_000_000 + u64::from(self.address.port())
    }

    fn write(&self, store: &Store, seq: u64) {
        if let Some(fields) = self.state.lock().unwrap().clone() {
            let value = entry(self.service, self.address, self.zone, &fields, seq, self.born());
            store.put(&format!("servers/{}", self.id), &value);
        }
    }

    /// Lets the server fall silent for some time.
    fn fall_silent(&self, millis: u64) {
        if let Some(input) = self.child.lock().unwrap().stdin.as_mut() {
            let _ = input.write_all(format!("silent {millis}\n").as_bytes());
        }
    }

    /// Lets the server run so many requests at a time and refuse the others. It sends each
    /// refusal once more when the next request arrives on the channel, and works on when a
    /// channel closes.
    fn refuse_beyond(&self, running: u64) {
        if let Some(input) = self.child.lock().unwrap().stdin.as_mut() {
            let _ = input.write_all(format!("busy {running}\n").as_bytes());
        }
    }

    /// Tells the server to state in all its answers that it leaves.
    fn leave(&self) {
        if let Some(input) = self.child.lock().unwrap().stdin.as_mut() {
            let _ = input.write_all(b"leave\n");
        }
    }

    fn kill(&self) {
        end(&mut self.child.lock().unwrap());
    }
}

fn entry(service: &str, address: SocketAddr, zone: &str, fields: &str, seq: u64, born: u64) -> String {
    format!(
        r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":128,{fields},"coldLeftMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq},"born":{born}}}"#
    )
}

/// Whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// How many requests the server runs at a time; 0: all. With a limit, it repeats refusals
/// and works on for closed channels.
static BUSY_LIMIT: AtomicU64 = AtomicU64::new(0);
static RUNNING: AtomicU64 = AtomicU64::new(0);

/// Until when the server is silent: it reads and writes nothing, and works on.
static SILENT: Mutex<Option<Instant>> = Mutex::new(None);

/// Waits while the server is silent.
fn wait_silence() {
    while let Some(until) = *SILENT.lock().unwrap() {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(ms(2)));
    }
}

/// The process of a backend server. It stops work on a request when it finds the
/// connection closed, or at the time limit that the request states.
fn backend(arguments: &[String]) -> ! {
    let [id, events, pause, unframed] = arguments else { exit(2) };
    let number = |text: &String| text.parse::<u32>().unwrap_or(0);
    let (events, pause, unframed) = (number(events), ms(u64::from(number(pause))), number(unframed));
    let listener = TcpListener::bind("127.0.0.1:0").expect("server listens");
    println!("{}", listener.local_addr().unwrap());
    let leaving = Arc::new(AtomicBool::new(false));
    let input = leaving.clone();
    thread::spawn(move || {
        let mut line = String::new();
        // The input ends with the starter; the server then ends too.
        while std::io::stdin().read_line(&mut line).unwrap_or(0) > 0 {
            match line.trim().split_once(' ').and_then(|(word, n)| Some((word, n.parse().ok()?))) {
                Some(("silent", time)) => *SILENT.lock().unwrap() = Some(Instant::now() + ms(time)),
                Some(("busy", running)) => BUSY_LIMIT.store(running, Ordering::Relaxed),
                _ => input.store(true, Ordering::Relaxed),
            }
            line.clear();
        }
        exit(0);
    });
    let count = Arc::new(AtomicU64::new(0));
    for stream in listener.incoming().flatten() {
        let (id, leaving, count) = (id.clone(), leaving.clone(), count.clone());
        thread::spawn(move || {
            let mut stream = stream;
            let _ = stream.set_nodelay(true);
            let mut buffer = Vec::new();
            let mut refusal: Option<String> = None;
            while let Some(mut request) = read_request(&mut stream, &mut buffer) {
                let length = std::mem::take(&mut request.body).len();
                let Some(attempt) = request.header("attempt-id").map(str::to_owned) else {
                    let head = format!("Instance-Id: {id}\r\n");
                    let _ = stream.write_all(reply("200 OK", &head, "").as_bytes());
                    continue;
                };
                if request.header("expect-instance").is_some_and(|expected| expected != id) {
                    let head = format!("Attempt-Id: {attempt}\r\nInstance-Id: {id}\r\n");
                    let _ = stream.write_all(reply("421 Misdirected Request", &head, "").as_bytes());
                    continue;
                }
                wait_silence();
                if is_closed(&stream) {
                    return;
                }
                let busy_limit = BUSY_LIMIT.load(Ordering::Relaxed);
                if let Some(copy) = refusal.take() {
                    println!("copies {attempt}");
                    let _ = stream.write_all(copy.as_bytes());
                }
                if busy_limit > 0 && RUNNING.load(Ordering::Relaxed) >= busy_limit {
                    let head = format!("Attempt-Id: {attempt}\r\nNot-Run: 1\r\nKeep-Alive: timeout=15\r\n");
                    let text = reply("503 Service Unavailable", &head, "full");
                    println!("refuses {attempt}");
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    refusal = Some(text);
                    continue;
                }
                RUNNING.fetch_add(1, Ordering::Relaxed);
                let begun = Instant::now();
                let limit = request.header("deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(60_000);
                let until = Instant::now() + ms(limit);
                let turn = count.fetch_add(1, Ordering::Relaxed) + 1;
                let plain = unframed > 0 && turn % u64::from(unframed) == 0;
                println!("{} {attempt} body {length}", if plain { "runs-unframed" } else { "runs" });
                let state = if leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" };
                let framing = if plain { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: stamp.{id}.{attempt}\r\n{state}Content-Type: text/event-stream\r\n{framing}\r\n");
                // The head goes out with the first event.
                let mut out = head.into_bytes();
                let mut ok = true;
                for event in 1..=events {
                    thread::sleep((begun + pause * event).saturating_duration_since(Instant::now()));
                    wait_silence();
                    let text = format!("id: {event}\ndata: piece {event}\n\n");
                    let text = if plain { text } else { format!("{:x}\r\n{text}\r\n", text.len()) };
                    out.extend_from_slice(text.as_bytes());
                    ok = Instant::now() < until && !is_closed(&stream) && stream.write_all(&out).is_ok();
                    out.clear();
                    if !ok && busy_limit == 0 {
                        break;
                    }
                }
                RUNNING.fetch_sub(1, Ordering::Relaxed);
                if ok && !plain {
                    ok = stream.write_all(b"0\r\n\r\n").is_ok();
                }
                println!("{} {attempt}", if ok { "done" } else { "stops" });
                if !ok || plain {
                    return;
                }
            }
        });
    }
    exit(0)
}
