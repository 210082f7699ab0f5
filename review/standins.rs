//! Stand-ins of the platform for the scripts of this folder: metadata store, backend
//! servers, callers, and the starter of the gateway's processes. Standard library only.
//! Usage: standins CASE FRONT_BINARY RECORD_FILE; the variable TROUBLE=0 leaves the
//! disruption out. Exit code 1: rule broken, 0: rule held, 2: the case could not run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Shared<T> = Arc<Mutex<T>>;

/// Processes that were started and have to be ended.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends one process.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|pid| *pid != child.id() as i32);
}

/// Ends all processes that were started and have not been waited for.
fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone)]
struct Record {
    start: Instant,
    file: Shared<File>,
}

impl Record {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    fn say(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

include!("standins/http.rs");
include!("standins/store.rs");
include!("standins/server.rs");
include!("standins/vm.rs");
include!("standins/caller.rs");

struct Setting {
    front: String,
    record: Record,
    folder: PathBuf,
    trouble: bool,
    store: Store,
}

fn manifest(routes: &str, version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"model","healthPath":"/healthz","maxConns":620,"proto":"h1","tls":false,"coldS":3.0,"coldPerS":4.6,"engine":{{"slots":128,"kvCapacity":685031,"kvTokenBytes":35136,"linkMbps":260000.0,"moves":true,"backups":true,"stride":7,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"plain","healthPath":"/healthz","maxConns":100,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout: u32, goal: u32, homes: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"shop.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout},"goalMs":{goal},"priority":1,"service":"{service}","attempts":{attempts},"sticky":{},"resumable":false,"gapAimMs":600,"homeRegions":[{homes}]}}"#,
        service == "model"
    )
}

fn wait_ready(vms: &[Vm], ports: Ports, record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if vms.iter().all(|vm| vm.ready(ports)) {
            record.say("all VMs are ready");
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}

include!("cases/shared.rs");
include!("cases/spot.rs");
include!("cases/memory.rs");
include!("cases/silence.rs");
include!("cases/copies.rs");
include!("cases/restored.rs");
include!("cases/crash.rs");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|first| first == "backend") {
        backend(&arguments[2..]);
    }
    let [_, case, front, record_file] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FRONT_BINARY RECORD_FILE");
        exit(2);
    };
    let Ok(file) = File::create(record_file) else { exit(2) };
    let folder = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        exit(2);
    }
    let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {case}, trouble {}", u8::from(trouble)));
    let setting = Setting {
        front: front.clone(),
        record: record.clone(),
        folder: folder.clone(),
        trouble,
        store: Store::start(),
    };
    // The script ends within its time even if the case does not.
    thread::spawn(|| {
        thread::sleep(ms(115_000));
        end_all();
        exit(2);
    });
    let code = match case.as_str() {
        "crash" => crash(&setting),
        "spot" => spot(&setting),
        "memory" => memory(&setting),
        "restored" => restored(&setting),
        "silence" => silence(&setting),
        "copies" => copies(&setting),
        _ => 2,
    };
    end_all();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    record.say(&format!("exit code {code}"));
    println!("case {case}, trouble {}: exit code {code}", u8::from(trouble));
    exit(code);
}
