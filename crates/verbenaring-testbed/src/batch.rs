//! Slots, prefix cache and load report of the model engine.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// Tokens per block of the prefix cache; only whole blocks are found again.
const BLOCK_TOKENS: usize = 16;

/// Load of an engine at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct EngineLoad {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) held_tokens: u64,
}

/// Slots with a queue ordered by priority, then by arrival.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    max_waiting: usize,
    report_lag: Duration,
    state: Mutex<BatchState>,
}

#[derive(Debug, Default)]
struct BatchState {
    running: usize,
    held_tokens: u64,
    arrivals: u64,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<Slot>>,
    history: VecDeque<(Instant, EngineLoad)>,
}

/// Place in the batch; dropping it admits the next request.
#[derive(Debug)]
pub(crate) struct Slot {
    batch: Arc<Batch>,
    tokens: u64,
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

    /// Queues a request; `None` when the queue is full.
    pub(crate) fn enter(self: &Arc<Self>, priority: i64) -> Option<oneshot::Receiver<Slot>> {
        let mut state = self.state.lock().unwrap();
        let (sender, receiver) = oneshot::channel();
        if state.running < self.slots {
            state.running += 1;
            let _ = sender.send(self.slot());
        } else {
            state.waiting.retain(|_, sender| !sender.is_closed());
            if state.waiting.len() >= self.max_waiting {
                return None;
            }
            state.arrivals += 1;
            let place = (priority, state.arrivals);
            state.waiting.insert(place, sender);
        }
        self.record(&mut state);
        Some(receiver)
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            batch: self.clone(),
            tokens: 0,
            released: false,
        }
    }

    /// Hands a free slot to the first request that still waits.
    fn release(self: &Arc<Self>, tokens: u64) {
        let mut state = self.state.lock().unwrap();
        state.held_tokens -= tokens;
        loop {
            let Some((_, sender)) = state.waiting.pop_first() else {
                state.running -= 1;
                break;
            };
            let Err(mut unused) = sender.send(self.slot()) else {
                break;
            };
            // Dropping an unreleased slot would lock the state again.
            unused.released = true;
        }
        self.record(&mut state);
    }

    fn record(&self, state: &mut BatchState) {
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
        self.trim(state, now);
    }

    /// Drops the loads that are older than the one to report.
    fn trim(&self, state: &mut BatchState, now: Instant) {
        while state
            .history
            .get(1)
            .is_some_and(|(time, _)| *time + self.report_lag <= now)
        {
            state.history.pop_front();
        }
    }

    /// Load as it was one report lag ago.
    pub(crate) fn report(&self) -> EngineLoad {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        self.trim(&mut state, now);
        match state.history.front() {
            Some((time, load)) if *time + self.report_lag <= now => *load,
            _ => EngineLoad::default(),
        }
    }
}

impl Slot {
    /// Accounts the memory of the request that runs in the slot.
    pub(crate) fn hold(&mut self, tokens: u64) {
        let mut state = self.batch.state.lock().unwrap();
        state.held_tokens += tokens;
        self.tokens += tokens;
        self.batch.record(&mut state);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.released {
            self.batch.release(self.tokens);
        }
    }
}

/// Least-recently-used cache of prompt prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    uses: u64,
    blocks: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(crate) fn new(tokens: usize) -> Self {
        Self {
            capacity: tokens / BLOCK_TOKENS,
            uses: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Stores a prompt and returns how many of its leading tokens were found.
    pub(crate) fn load(&mut self, prompt: &str) -> u32 {
        let words: Vec<&str> = prompt.split_whitespace().collect();
        let mut hasher = DefaultHasher::new();
        let mut found = 0;
        let mut complete = true;
        for block in words.chunks_exact(BLOCK_TOKENS) {
            block.hash(&mut hasher);
            complete &= self.touch(hasher.finish());
            found += if complete { BLOCK_TOKENS as u32 } else { 0 };
        }
        found
    }

    /// Marks a block as used and reports whether it was present.
    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        let last_use = self.blocks.insert(block, self.uses);
        if let Some(last_use) = last_use {
            self.order.remove(&last_use);
        }
        self.order.insert(self.uses, block);
        if self.blocks.len() > self.capacity
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.blocks.remove(&oldest);
        }
        last_use.is_some()
    }
}
