//! Tests of the daemon binary: startup, startup errors and reload on a signal.

use std::io::{BufRead, BufReader, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use serde_json::{Value, json};

/// Temporary settings file, removed when dropped.
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

fn bound_listener() -> (TcpListener, SocketAddr) {
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

/// Runs the daemon until it exits; returns its exit code and standard error.
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

fn assert_no_connection(listener: &TcpListener) {
    let error = listener.accept().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
}

/// With invalid settings, the daemon must bind no address and open no connection.
/// The caller address is in use, so an attempt to bind it would replace the error
/// about the settings.
#[test]
fn invalid_settings_start_nothing() {
    let (store, store_address) = bound_listener();
    let (callers, caller_address) = bound_listener();
    let mut document = settings(store_address);
    document["caller_address"] = json!(caller_address.to_string());
    document["log_level"] = json!("verbose");
    let file = SettingsFile::new("wrong", &document);
    let (code, text) = run_daemon(&file.0);
    assert_eq!(code, Some(2));
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("field log_level"), "{text}");
    assert!(text.contains(file.0.to_str().unwrap()), "{text}");
    assert_no_connection(&store);
    assert_no_connection(&callers);
}

/// The error about an unreadable settings file must name the file.
#[test]
fn unreadable_file_is_reported() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    for file in [directory, &directory.join("absent.json")] {
        let (code, text) = run_daemon(file);
        assert_eq!(code, Some(2));
        assert_eq!(text.lines().count(), 1, "{text}");
        let start = format!("verbenaringd: {}: ", file.display());
        assert!(text.starts_with(&start), "{text}");
    }
}

/// If a port is in use, the daemon must exit before it starts any task, and name the
/// field and the address.
#[test]
fn port_in_use_is_reported() {
    for field in ["caller_address", "peer_address", "control_address"] {
        let (store, store_address) = bound_listener();
        let (_other, address) = bound_listener();
        let mut document = settings(store_address);
        document[field] = json!(address.to_string());
        let file = SettingsFile::new(field, &document);
        let (code, text) = run_daemon(&file.0);
        assert_eq!(code, Some(2));
        let start = format!("verbenaringd: field {field}: cannot listen on {address}: ");
        assert!(text.starts_with(&start), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert_no_connection(&store);
    }
}

/// Running daemon, killed when dropped.
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

    /// Reads the log up to the next message that contains `part`, and returns it.
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
        panic!("daemon exited without a log message that contains {part}");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// SIGHUP must not end the daemon or apply an invalid file, and must report the
/// changed fields that need a restart.
#[test]
fn sighup_reloads_the_settings() {
    let (_store, store_address) = bound_listener();
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
