//! Logs as JSON lines on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{Config, SharedLogger};

/// Writes one JSON object per record.
pub struct JsonLogger {
    vm: String,
}

impl JsonLogger {
    /// Logger of the entry VM `vm`; `log::set_max_level` sets its level.
    pub fn new(vm: &str) -> Box<Self> {
        Box::new(Self { vm: vm.to_owned() })
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("verbenaring")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = serde_json::json!({
            "unix_ms": unix.as_millis() as u64,
            "level": record.level().as_str().to_ascii_lowercase(),
            "vm": self.vm,
            "module": record.target(),
            "message": record.args().to_string(),
        });
        // A closed standard error must not stop the daemon.
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }

    fn flush(&self) {}
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        // Upper bound only; a reload may lower or raise the level in force.
        LevelFilter::Debug
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
