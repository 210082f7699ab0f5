//! Memory for parts of answers that are buffered.
//!
//! Servers in trouble send bytes without end, many at a time. What one answer buffers
//! beyond a free part comes out of the memory that all answers of the VM share.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes with the memory that they take, which is returned once they have been sent.
struct HeldBytes<T> {
    bytes: Bytes,
    _memory: T,
}

impl<T> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Joins bytes with the memory that they take.
pub(super) fn with_memory<T: Send + 'static>(bytes: Bytes, memory: T) -> Bytes {
    Bytes::from_owner(HeldBytes {
        bytes,
        _memory: memory,
    })
}

/// Part of the shared memory that one answer holds; returned when dropped.
#[derive(Debug)]
pub struct AnswerReserve {
    /// A permit for each byte of the shared memory.
    memory: Arc<Semaphore>,
    /// Bytes that take none of it.
    free_bytes: usize,
    held: Vec<OwnedSemaphorePermit>,
    held_bytes: usize,
}

impl AnswerReserve {
    /// Creates an empty reserve.
    pub fn new(memory: &Arc<Semaphore>, free_bytes: usize) -> Self {
        Self {
            memory: memory.clone(),
            free_bytes,
            held: Vec::new(),
            held_bytes: 0,
        }
    }

    /// Whether any memory is held.
    pub fn is_empty(&self) -> bool {
        self.held_bytes == 0
    }

    /// Holds memory for `bytes` in all; returns whether there is enough.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(self.free_bytes);
        if needed < self.held_bytes {
            self.held.clear();
            self.held_bytes = 0;
        }
        let more = needed - self.held_bytes;
        if more == 0 {
            return true;
        }
        let permit = u32::try_from(more).ok();
        let permit = permit.and_then(|more| self.memory.clone().try_acquire_many_owned(more).ok());
        let enough = permit.is_some();
        if let Some(permit) = permit {
            self.held.push(permit);
            self.held_bytes = needed;
        }
        enough
    }
}
