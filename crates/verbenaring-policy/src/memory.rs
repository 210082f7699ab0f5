//! Memory account of what clients make a process hold.
//!
//! Addresses a crowd of clients that each stay within the limits of one request and together
//! exceed the memory of the machine: large bodies, bodies that never end, heads that are
//! never completed. Large bodies, which few ordinary calls have, may take half of the
//! account and medium ones three quarters, so that small calls keep the rest.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest body that may take the whole account; most ordinary calls have 2.4 to 14 KB.
const SMALL_BYTES: usize = 16 * 1024;
/// Largest body that may take [`MEDIUM_PERCENT`]; long ordinary calls have 72 KB.
const MEDIUM_BYTES: usize = 128 * 1024;
/// Part of the account that medium and large bodies may fill, in percent.
const MEDIUM_PERCENT: u64 = 75;
/// Part of the account that large bodies may fill, in percent.
const LARGE_PERCENT: u64 = 50;

/// Memory that clients may take up together.
#[derive(Debug)]
pub struct MemoryAccount {
    total: usize,
    held: AtomicUsize,
}

impl MemoryAccount {
    /// Creates an account of `total` bytes.
    pub fn new(total: usize) -> Arc<Self> {
        Arc::new(Self {
            total,
            held: AtomicUsize::new(0),
        })
    }

    /// Bytes of the account.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Bytes up to which something of `size` bytes may fill the account.
    pub fn limit(&self, size: usize) -> usize {
        let percent = if size <= SMALL_BYTES {
            100
        } else if size <= MEDIUM_BYTES {
            MEDIUM_PERCENT
        } else {
            LARGE_PERCENT
        };
        (self.total as u64 * percent / 100) as usize
    }

    /// Holds `bytes` for something that is `size` bytes large in all; `None` if there is no
    /// room.
    pub fn try_hold(self: &Arc<Self>, bytes: usize, size: usize) -> Option<MemoryHold> {
        let mut hold = MemoryHold {
            account: self.clone(),
            bytes: 0,
        };
        hold.try_grow(bytes, size).then_some(hold)
    }
}

/// Bytes of an account, released when dropped.
#[derive(Debug)]
pub struct MemoryHold {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

impl MemoryHold {
    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds `more` bytes for something that is `size` bytes large in all; returns whether
    /// there is room.
    pub fn try_grow(&mut self, more: usize, size: usize) -> bool {
        let limit = self.account.limit(size);
        let grown = |held: usize| held.checked_add(more).filter(|sum| *sum <= limit);
        let order = Ordering::Relaxed;
        let updated = self.account.held.fetch_update(order, order, grown);
        self.bytes += if updated.is_ok() { more } else { 0 };
        updated.is_ok()
    }

    /// Takes `bytes` out of this hold, at most all of it.
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            account: self.account.clone(),
            bytes,
        }
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.account.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
