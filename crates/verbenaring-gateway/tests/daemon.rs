//! The daemon binary: start, refusal to start and reload on a signal.

use std::io::{BufRead, BufReader, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use serde_json::{Value, json};

/// Settings file in a directory of the test, removed at its end.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn new(test: &str, settings: &Value) -> Self {
        let name = format!("{test}-{}.json", std::process::id());
        let file = Self(Path::new(env!("CARGO_TARGET_TMPDIR")).join(name));
        file.write(settings);
        file
    }

    fn write(&self, settings: &Value) {
        std::fs::write(&self.0, settings.to_string()).unwrap();
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn occupied() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn settings(store: SocketAddr) -> Value {
    json!({
        "vm": "vm-0", "region": "dublin", "data_centre": "dublin-a",
        "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
        "control_address": "127.0.0.1:0", "store_addresses": [store.to_string()],
        "cluster_keys": [{ "id": "k1", "secret": "07".repeat(32) }],
    })
}

/// Runs the daemon to its end; returns its exit code and its standard error.
fn run_daemon(file: &Path) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_verbenaringd"))
        .arg("--settings")
        .arg(file)
        .output()
        .unwrap();
    assert!(output.stdout.is_empty());
    (
        output.status.code(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

fn assert_untouched(listener: &TcpListener) {
    let fault = listener.accept().unwrap_err();
    assert_eq!(fault.kind(), ErrorKind::WouldBlock);
}

/// With wrong settings no address may be bound and no connection opened: the
/// caller address is in use, and the message is still that of the settings.
#[test]
fn wrong_settings_start_nothing() {
    let (store, store_address) = occupied();
    let (callers, caller_address) = occupied();
    let mut document = settings(store_address);
    document["caller_address"] = json!(caller_address.to_string());
    document["log_level"] = json!("verbose");
    let file = SettingsFile::new("wrong", &document);
    let (code, text) = run_daemon(&file.0);
    assert_eq!(code, Some(2));
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("field log_level"), "{text}");
    assert!(text.contains(file.0.to_str().unwrap()), "{text}");
    assert_untouched(&store);
    assert_untouched(&callers);
}

/// A file that cannot be read is reported by name.
#[test]
fn unreadable_file_is_named() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    for file in [directory, &directory.join("absent.json")] {
        let (code, text) = run_daemon(file);
        assert_eq!(code, Some(2));
        assert_eq!(text.lines().count(), 1, "{text}");
        let start = format!("verbenaringd: {}: ", file.display());
        assert!(text.starts_with(&start), "{text}");
    }
}

/// A port in use must stop the daemon before any task is started.
#[test]
fn port_in_use_is_named() {
    for field in ["caller_address", "peer_address", "control_address"] {
        let (store, store_address) = occupied();
        let (_other, address) = occupied();
        let mut document = settings(store_address);
        document[field] = json!(address.to_string());
        let file = SettingsFile::new(field, &document);
        let (code, text) = run_daemon(&file.0);
        assert_eq!(code, Some(2));
        let start = format!("verbenaringd: field {field}: cannot listen on {address}: ");
        assert!(text.starts_with(&start), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert_untouched(&store);
    }
}

/// Running daemon, killed at the end of the test.
struct Daemon {
    child: Child,
    log: BufReader<ChildStdout>,
}

impl Daemon {
    fn start(file: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_verbenaringd"))
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stdout.take().unwrap());
        Self { child, log }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(status.unwrap().success());
    }

    /// Next log message that contains `part`.
    fn wait_for(&mut self, part: &str) -> String {
        let mut line = String::new();
        while self.log.read_line(&mut line).unwrap() > 0 {
            let record: Value = serde_json::from_str(&line).unwrap();
            let message = record["message"].as_str().unwrap();
            if message.contains(part) {
                return message.to_owned();
            }
            line.clear();
        }
        panic!("daemon ended without a message about {part}");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// SIGHUP must not end the daemon, take over a bad file or hide a field that
/// needs a restart.
#[test]
fn hangup_reloads() {
    let (_store, store_address) = occupied();
    let good = settings(store_address);
    let file = SettingsFile::new("hangup", &good);
    let mut daemon = Daemon::start(&file.0);
    daemon.wait_for("serving callers");

    let mut bad = good.clone();
    bad["max_body_bytes"] = json!(1);
    file.write(&bad);
    daemon.signal("HUP");
    let message = daemon.wait_for("reloaded");
    assert!(message.starts_with("settings not reloaded: "), "{message}");
    assert!(message.contains("field max_body_bytes"), "{message}");

    let mut changed = good.clone();
    changed["vm"] = json!("vm-1");
    changed["store_timeout_ms"] = json!(50);
    changed["max_body_bytes"] = json!(2_048);
    file.write(&changed);
    daemon.signal("HUP");
    assert_eq!(
        daemon.wait_for("reloaded"),
        "settings reloaded; a restart is needed for vm, store_timeout_ms"
    );

    file.write(&good);
    daemon.signal("HUP");
    assert_eq!(daemon.wait_for("reloaded"), "settings reloaded");
    daemon.signal("TERM");
    daemon.wait_for("shutdown complete");
    assert!(daemon.child.wait().unwrap().success());
}
