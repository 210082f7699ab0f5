//! Logs as JSON lines on standard output.
//!
//! Records are appended to a bounded buffer, which a separate thread writes in
//! batches. If the reader of the output stalls, only that thread blocks. Lines
//! that do not fit into the buffer are dropped, and their number is logged.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as JsonValue};
use simplelog::{Config, SharedLogger};
use verbenaring_policy::time::Moment;

/// Size of the buffer; holds the lines of two seconds at 100 KB per second.
const BUFFER_BYTES: usize = 256 * 1024;
/// Time for which the writer thread collects lines, so that it wakes up rarely.
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
        // The process must keep running if standard output is closed.
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

/// Logger that writes one JSON object per record.
pub struct JsonLogger {
    vm: String,
    buffer: Arc<LineBuffer>,
}

impl JsonLogger {
    /// Creates the logger of the VM `vm` and starts its writer thread. The level
    /// is set by `log::set_max_level`.
    pub fn new(vm: &str) -> Box<Self> {
        let buffer = Arc::new(LineBuffer::default());
        let writer = buffer.clone();
        let started = std::thread::Builder::new()
            .name("log writer".to_owned())
            .spawn(move || writer.write_batches());
        if let Err(error) = started {
            eprintln!("failed to start the log writer, logs are only written on exit: {error}");
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
        // Upper limit only; `log::max_level` holds the level in force, which a
        // reload may change.
        LevelFilter::Debug
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

/// Limits the number of log lines per second and counts those left out.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    current_second: u64,
    written: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns `None` if no further line may be written in this second, else the
    /// number of lines left out since the last one, which the line should state.
    pub fn try_acquire(&mut self, lines_per_s: u32, now: Moment) -> Option<u64> {
        let second = now.since(Moment::default()).as_secs();
        if second != self.current_second {
            self.current_second = second;
            self.written = 0;
        }
        if self.written >= lines_per_s {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
