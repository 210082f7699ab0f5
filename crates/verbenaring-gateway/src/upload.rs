//! Reads the bodies of requests, within the memory account of the node.
//!
//! A declared length is held before the first byte is read. A chunked body holds its buffer,
//! which grows with its bytes and not with its chunks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use rand::Rng;
use tokio::time::{Instant, sleep_until};
use verbenaring_policy::memory::{MemoryAccount, MemoryHold};

use crate::config::LimitSettings;
use crate::refusal::Refusal;

/// Memory that a node assumes to have at most. The largest VMs have 512 MB, and a node with
/// less than this finds out from the system.
const MAX_MEMORY_BYTES: usize = 256 * 1024 * 1024;
/// Part of the memory for request bodies, in percent.
const BODY_MEMORY_PERCENT: usize = 25;
/// Least size of the buffer of a chunked body.
const MIN_BUFFER_BYTES: usize = 4 * 1024;
/// Time in which a body must grow by [`INTERVAL_BYTES`].
const BODY_INTERVAL: Duration = Duration::from_secs(3);
/// Least growth of a body in each interval.
const INTERVAL_BYTES: usize = 256;
/// Range of `Retry-After` while the account is full, in seconds. Bodies that make no progress
/// are ended within 3 s; the range spreads the callers that come back.
const FULL_RETRY_AFTER_S: std::ops::RangeInclusive<u32> = 1..=3;

/// Creates the account for request bodies, sized for the memory of this machine.
pub(crate) fn body_account() -> Arc<MemoryAccount> {
    let machine = std::fs::read_to_string("/proc/meminfo").ok();
    let machine = machine.as_deref().and_then(total_memory);
    let memory = machine.map_or(MAX_MEMORY_BYTES, |bytes| bytes.min(MAX_MEMORY_BYTES));
    MemoryAccount::new(memory / 100 * BODY_MEMORY_PERCENT)
}

/// Total memory in bytes, from the text of `/proc/meminfo`.
fn total_memory(text: &str) -> Option<usize> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes = line.trim().strip_suffix("kB")?.trim().parse::<usize>();
    Some(kilobytes.ok()? * 1024)
}

/// Body with the memory that it holds.
struct HeldBody {
    bytes: Vec<u8>,
    _hold: Option<MemoryHold>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBody {
    /// Appends bytes; returns false if there is no memory for them.
    fn append(&mut self, data: &[u8], limit: usize, account: &Arc<MemoryAccount>) -> bool {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let size = needed.next_power_of_two().max(MIN_BUFFER_BYTES);
            let size = size.min(limit).max(needed);
            // The old buffer is held until its bytes are copied.
            let Some(hold) = account.try_hold(size, size) else {
                return false;
            };
            let mut bytes = Vec::with_capacity(size);
            bytes.extend_from_slice(&self.bytes);
            self.bytes = bytes;
            self._hold = Some(hold);
        }
        self.bytes.extend_from_slice(data);
        true
    }
}

/// Reads a body within `limits`.
pub(crate) async fn read_body(
    mut body: Incoming,
    limits: &LimitSettings,
    account: &Arc<MemoryAccount>,
) -> Result<Bytes, Refusal> {
    let limit = limits.max_body_bytes;
    let mut read = HeldBody {
        bytes: Vec::new(),
        _hold: None,
    };
    if let Some(length) = body.size_hint().exact() {
        if length > limit as u64 {
            return Err(too_large(limit));
        }
        let length = length as usize;
        let hold = account.try_hold(length, length).ok_or_else(no_memory)?;
        // The system provides the pages of the buffer as they are filled.
        read.bytes = Vec::with_capacity(length);
        read._hold = Some(hold);
    }
    let deadline = Instant::now() + limits.body_timeout;
    let mut checked_length = 0;
    let mut next_check = Instant::now() + BODY_INTERVAL;
    loop {
        let timer = sleep_until(next_check.min(deadline));
        let frame = tokio::select! {
            // Bytes that wait to be read count as progress, also after a stall of this node.
            biased;
            frame = body.frame() => frame,
            () = timer => {
                if Instant::now() >= deadline {
                    let message = format!("body was not complete within {:?}", limits.body_timeout);
                    return Err(stalled("body_timeout", message));
                }
                if read.bytes.len() - checked_length < INTERVAL_BYTES {
                    let message = format!("body did not grow within {BODY_INTERVAL:?}");
                    return Err(stalled("body_stalled", message));
                }
                checked_length = read.bytes.len();
                next_check = Instant::now() + BODY_INTERVAL;
                continue;
            }
        };
        let Some(frame) = frame else {
            return Ok(Bytes::from_owner(read));
        };
        let frame = frame.map_err(|error| {
            let message = format!("body cannot be read: {error}");
            Refusal::not_run(StatusCode::BAD_REQUEST, "body_incomplete", message)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.bytes.len() + data.len() > limit {
            return Err(too_large(limit));
        }
        if !read.append(&data, limit, account) {
            return Err(no_memory());
        }
    }
}

fn too_large(limit: usize) -> Refusal {
    let message = format!("body is larger than {limit} bytes");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

fn stalled(code: &'static str, message: String) -> Refusal {
    Refusal::not_run(StatusCode::REQUEST_TIMEOUT, code, message)
}

fn no_memory() -> Refusal {
    let message = "requests of other callers take up the memory for bodies";
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_memory", message);
    refusal.with_retry_after(rand::rng().random_range(FULL_RETRY_AFTER_S))
}
