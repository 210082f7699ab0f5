//! Logs as JSON lines on standard output.
//!
//! A record is appended to a bounded buffer, which a thread of its own writes
//! in batches. A reader that stops blocks only that thread: lines beyond the
//! buffer are dropped, counted and reported.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as JsonValue};
use simplelog::{Config, SharedLogger};
use verbenaring_policy::time::Moment;

/// Bytes that wait for the writer; two seconds at 100 KB a second.
const BUFFER_BYTES: usize = 256 * 1024;
/// Time for which the writer collects lines, so that it wakes rarely.
const BATCH_DELAY: Duration = Duration::from_millis(200);

#[derive(Default)]
struct LineBuffer {
    bytes: Mutex<Vec<u8>>,
    filled: Condvar,
    dropped: AtomicU64,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &str) {
        let mut bytes = self.lock();
        if bytes.len() + line.len() >= BUFFER_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let was_empty = bytes.is_empty();
        bytes.extend_from_slice(line.as_bytes());
        bytes.push(b'\n');
        drop(bytes);
        if was_empty {
            self.filled.notify_one();
        }
    }

    fn take(&self) -> Vec<u8> {
        let mut taken = std::mem::take(&mut *self.lock());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = serde_json::json!({ "level": "warn", "message": "log lines dropped", "lines": dropped });
            taken.extend_from_slice(format!("{line}\n").as_bytes());
        }
        taken
    }

    fn write_pending(&self) {
        let bytes = self.take();
        // A closed standard output must not stop the process.
        let _ = std::io::stdout().lock().write_all(&bytes);
    }

    fn write_batches(&self) {
        loop {
            let bytes = self.lock();
            let waited = self.filled.wait_while(bytes, |bytes| bytes.is_empty());
            drop(waited.unwrap_or_else(PoisonError::into_inner));
            std::thread::sleep(BATCH_DELAY);
            self.write_pending();
        }
    }
}

/// Writes one JSON object per record.
pub struct JsonLogger {
    vm: String,
    buffer: Arc<LineBuffer>,
}

impl JsonLogger {
    /// Logger of the entry VM `vm`; `log::set_max_level` sets its level.
    pub fn new(vm: &str) -> Box<Self> {
        let buffer = Arc::new(LineBuffer::default());
        let writer = buffer.clone();
        let started = std::thread::Builder::new()
            .name("log writer".to_owned())
            .spawn(move || writer.write_batches());
        if let Err(error) = started {
            eprintln!("logs are written only at the end: {error}");
        }
        Box::new(Self {
            vm: vm.to_owned(),
            buffer,
        })
    }
}

struct FieldVisitor<'a>(&'a mut Map<String, JsonValue>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
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
        let mut fields = Map::new();
        fields.insert("unix_ms".into(), (unix.as_millis() as u64).into());
        let level = record.level().as_str().to_ascii_lowercase();
        fields.insert("level".into(), level.into());
        fields.insert("vm".into(), self.vm.as_str().into());
        fields.insert("module".into(), record.target().into());
        fields.insert("message".into(), record.args().to_string().into());
        let visited = record.key_values().visit(&mut FieldVisitor(&mut fields));
        if let Err(error) = visited {
            fields.insert("fields_error".into(), error.to_string().into());
        }
        self.buffer.push(&JsonValue::Object(fields).to_string());
    }

    fn flush(&self) {
        self.buffer.write_pending();
    }
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

/// Bounds the lines on calls that went well.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    written: u32,
    suppressed: u64,
}

impl LineBudget {
    /// Whether another line may be written in this second. Returns the number of
    /// lines left out before it as well, for the line to state.
    pub fn take(&mut self, limit: u32, now: Moment) -> Option<u64> {
        let second = now.0 / 1_000_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= limit {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
