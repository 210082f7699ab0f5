//! Reads the bodies of requests, within the memory account of the VM.
//!
//! A declared length is held before the first byte is read. A chunked body holds the blocks
//! that it fills, so that its memory grows with its bytes and not with its chunks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use rand::Rng;
use tokio::time::{Instant, sleep_until};
use verbenaring_policy::memory::{MemoryAccount, MemoryHold};

use super::refusal::CallRefusal;
use crate::settings::ClientSettings;
use crate::upstream::request_body::RequestBody;

/// Time limit for reading a request body. Callers that take longer have stopped
/// sending.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the first block of a chunked body. Later blocks double up to
/// [`MAX_BLOCK_BYTES`].
const FIRST_BLOCK_BYTES: usize = 4 * 1024;
/// Largest block. Small enough for the allocator to reuse the memory for other bodies.
const MAX_BLOCK_BYTES: usize = 64 * 1024;
/// Range of `Retry-After` while the account is full, in ms. Bodies that make no progress
/// are ended within the longer time; the range spreads the callers that come back.
const FULL_RETRY_AFTER_MS: std::ops::Range<u64> = 500..1_500;

/// Part of a body with the memory that it holds.
struct HeldBlock {
    bytes: Vec<u8>,
    _hold: MemoryHold,
}

impl AsRef<[u8]> for HeldBlock {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Body that is being read.
struct Upload<'a> {
    account: &'a Arc<MemoryAccount>,
    body: RequestBody,
    block: Vec<u8>,
    block_hold: Option<MemoryHold>,
    /// Memory held for the declared bytes that have no block yet; `None` without a length.
    declared: Option<MemoryHold>,
    length: usize,
}

impl Upload<'_> {
    /// Appends bytes; returns false if there is no memory for them.
    fn append(&mut self, mut data: &[u8]) -> bool {
        while !data.is_empty() {
            if self.block.len() == self.block.capacity() && !self.begin_block() {
                return false;
            }
            let room = self.block.capacity() - self.block.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.block.extend_from_slice(now);
            self.length += now.len();
            data = later;
        }
        true
    }

    fn begin_block(&mut self) -> bool {
        self.finish_block();
        let hold = match &mut self.declared {
            Some(declared) => Some(declared.split(MAX_BLOCK_BYTES)),
            None => {
                let bytes = self.length.clamp(FIRST_BLOCK_BYTES, MAX_BLOCK_BYTES);
                self.account.try_hold(bytes, self.length + bytes)
            }
        };
        let Some(hold) = hold else {
            return false;
        };
        self.block = Vec::with_capacity(hold.bytes());
        self.block_hold = Some(hold);
        true
    }

    fn finish_block(&mut self) {
        if let Some(hold) = self.block_hold.take() {
            let block = HeldBlock {
                bytes: std::mem::take(&mut self.block),
                _hold: hold,
            };
            self.body.push(Bytes::from_owner(block));
        }
    }
}

/// Reads a body of at most `limit` bytes.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    account: &Arc<MemoryAccount>,
    settings: &ClientSettings,
) -> Result<RequestBody, CallRefusal> {
    let too_large = || CallRefusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > limit as u64) {
        return Err(too_large());
    }
    let declared = match declared {
        Some(length) => {
            let length = length as usize;
            let hold = account.try_hold(length, length);
            Some(hold.ok_or_else(full_account)?)
        }
        None => None,
    };
    let mut upload = Upload {
        account,
        body: RequestBody::default(),
        block: Vec::new(),
        block_hold: None,
        declared,
        length: 0,
    };
    let interval = Duration::from_millis(settings.body_interval_ms);
    let deadline = Instant::now() + BODY_TIMEOUT;
    let mut checked_length = 0;
    let mut next_check = Instant::now() + interval;
    loop {
        let timer = sleep_until(next_check.min(deadline));
        let frame = tokio::select! {
            // Bytes that wait to be read count as progress, also after a stall of this VM.
            biased;
            frame = body.frame() => frame,
            () = timer => {
                if Instant::now() >= deadline {
                    return Err(CallRefusal::not_run(StatusCode::REQUEST_TIMEOUT, "body_timeout"));
                }
                if upload.length - checked_length < settings.body_interval_bytes {
                    return Err(CallRefusal::not_run(StatusCode::REQUEST_TIMEOUT, "body_stalled"));
                }
                checked_length = upload.length;
                next_check = Instant::now() + interval;
                continue;
            }
        };
        let Some(frame) = frame else {
            break;
        };
        let broken = |_| CallRefusal::not_run(StatusCode::BAD_REQUEST, "body_broken");
        let Ok(data) = frame.map_err(broken)?.into_data() else {
            continue;
        };
        if upload.length + data.len() > limit {
            return Err(too_large());
        }
        if !upload.append(&data) {
            return Err(full_account());
        }
    }
    upload.finish_block();
    Ok(upload.body)
}

/// Refusal while other clients take up the memory.
pub(super) fn full_account() -> CallRefusal {
    let wait = rand::rng().random_range(FULL_RETRY_AFTER_MS);
    CallRefusal::busy("no_memory", Duration::from_millis(wait))
}
