//! Slots, prefix cache and load report of the engine stand-in.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// Tokens per block of the prefix cache; a hit covers complete blocks only.
const BLOCK_TOKENS: usize = 16;

/// Load of an engine at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EngineLoad {
    /// Requests that occupy a slot.
    pub(crate) running: usize,
    /// Requests that wait for a slot.
    pub(crate) waiting: usize,
    /// Prompt and answer tokens of the running requests, which occupy memory.
    pub(crate) held_tokens: u64,
}

/// Slots of an engine and the queue for them, ordered by priority (lowest
/// number first), then by arrival.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    max_waiting: usize,
    /// Age of the load that `report` returns.
    report_lag: Duration,
    state: Mutex<BatchState>,
}

#[derive(Debug, Default)]
struct BatchState {
    running: usize,
    held_tokens: u64,
    /// Number of requests that had to wait so far.
    queued: u64,
    /// Most requests that waited at the same time.
    most_waiting: usize,
    /// Waiting requests by priority and order of arrival.
    waiting: BTreeMap<(i64, u64), oneshot::Sender<Slot>>,
    /// Changes of the load, oldest first.
    history: VecDeque<(Instant, EngineLoad)>,
}

/// Slot that a request occupies; dropping it admits the next request.
#[derive(Debug)]
pub(crate) struct Slot {
    batch: Arc<Batch>,
    held_tokens: u64,
    /// Whether `drop` must not release the slot.
    released: bool,
}

impl Batch {
    pub(crate) fn new(slots: usize, max_waiting: usize, report_lag: Duration) -> Arc<Self> {
        let state = Mutex::default();
        Arc::new(Self {
            slots,
            max_waiting,
            report_lag,
            state,
        })
    }

    /// Requests a slot, which the receiver gets at once or after waiting;
    /// `None` if the queue is full.
    pub(crate) fn request_slot(self: &Arc<Self>, priority: i64) -> Option<oneshot::Receiver<Slot>> {
        let mut state = self.state.lock().unwrap();
        let (sender, receiver) = oneshot::channel();
        if state.running < self.slots {
            state.running += 1;
            let _ = sender.send(self.new_slot());
        } else {
            state.waiting.retain(|_, sender| !sender.is_closed());
            if state.waiting.len() >= self.max_waiting {
                return None;
            }
            state.queued += 1;
            let position = (priority, state.queued);
            state.waiting.insert(position, sender);
            state.most_waiting = state.most_waiting.max(state.waiting.len());
        }
        self.record_load(&mut state);
        Some(receiver)
    }

    /// Most requests that have waited at the same time so far.
    pub(crate) fn most_waiting(&self) -> u64 {
        self.state.lock().unwrap().most_waiting as u64
    }

    fn new_slot(self: &Arc<Self>) -> Slot {
        Slot {
            batch: self.clone(),
            held_tokens: 0,
            released: false,
        }
    }

    /// Passes a freed slot to the first request in the queue that still waits.
    fn release(self: &Arc<Self>, held_tokens: u64) {
        let mut state = self.state.lock().unwrap();
        state.held_tokens -= held_tokens;
        loop {
            let Some((_, sender)) = state.waiting.pop_first() else {
                state.running -= 1;
                break;
            };
            let Err(mut undelivered) = sender.send(self.new_slot()) else {
                break;
            };
            // The receiver is gone. Dropping the slot as it is would call this
            // function again and deadlock on the state.
            undelivered.released = true;
        }
        self.record_load(&mut state);
    }

    /// Appends the current load to the history.
    fn record_load(&self, state: &mut BatchState) {
        let waiting = state
            .waiting
            .values()
            .filter(|sender| !sender.is_closed())
            .count();
        let load = EngineLoad {
            running: state.running,
            waiting,
            held_tokens: state.held_tokens,
        };
        let now = Instant::now();
        state.history.push_back((now, load));
        self.trim_history(state, now);
    }

    /// Removes the loads that are older than the one to report.
    fn trim_history(&self, state: &mut BatchState, now: Instant) {
        while state
            .history
            .get(1)
            .is_some_and(|(time, _)| *time + self.report_lag <= now)
        {
            state.history.pop_front();
        }
    }

    /// Load as it was `report_lag` ago; zero if nothing had been recorded then.
    pub(crate) fn report(&self) -> EngineLoad {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        self.trim_history(&mut state, now);
        match state.history.front() {
            Some((time, load)) if *time + self.report_lag <= now => *load,
            _ => EngineLoad::default(),
        }
    }
}

impl Slot {
    /// Adds `tokens` to the memory that the request in the slot occupies.
    pub(crate) fn reserve_memory(&mut self, tokens: u64) {
        let mut state = self.batch.state.lock().unwrap();
        state.held_tokens += tokens;
        self.held_tokens += tokens;
        self.batch.record_load(&mut state);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.released {
            self.batch.release(self.held_tokens);
        }
    }
}

/// LRU cache of prompt prefixes in blocks of `BLOCK_TOKENS`.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    /// Number of block accesses so far; serves as the time of an access.
    accesses: u64,
    /// Last access of each block. The key is a hash of the prompt up to the end
    /// of the block.
    last_access: HashMap<u64, u64>,
    /// Blocks by last access, the least recently used first.
    by_access: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity_blocks: capacity_tokens / BLOCK_TOKENS,
            accesses: 0,
            last_access: HashMap::new(),
            by_access: BTreeMap::new(),
        }
    }

    /// Inserts a prompt and returns how many of its leading tokens were cached.
    pub(crate) fn insert(&mut self, prompt: &str) -> u32 {
        let words: Vec<&str> = prompt.split_whitespace().collect();
        let mut hasher = DefaultHasher::new();
        let mut cached_tokens = 0;
        let mut all_cached = true;
        for block in words.chunks_exact(BLOCK_TOKENS) {
            block.hash(&mut hasher);
            all_cached &= self.touch(hasher.finish());
            cached_tokens += if all_cached { BLOCK_TOKENS as u32 } else { 0 };
        }
        cached_tokens
    }

    /// Marks a block as used, evicts the least recently used one if the cache is
    /// over its capacity, and returns whether the block was present.
    fn touch(&mut self, block: u64) -> bool {
        self.accesses += 1;
        let previous = self.last_access.insert(block, self.accesses);
        if let Some(previous) = previous {
            self.by_access.remove(&previous);
        }
        self.by_access.insert(self.accesses, block);
        if self.last_access.len() > self.capacity_blocks
            && let Some((_, oldest)) = self.by_access.pop_first()
        {
            self.last_access.remove(&oldest);
        }
        previous.is_some()
    }
}
