//! Simulated model engine: continuous batching in steps of virtual time.
//!
//! A step prefills up to a chunk of prompt tokens and generates one token for
//! each request whose prompt is complete. Its duration grows with both.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Capacity and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Fixed part of a step's duration in seconds.
    pub step_s: f64,
    /// Seconds per token generated in a step.
    pub decode_s: f64,
    /// Seconds per prompt token prefilled in a step.
    pub prefill_s: f64,
    /// Most prompt tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u32,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            slots: 16,
            step_s: 0.015,
            decode_s: 0.0005,
            prefill_s: 0.0001,
            prefill_chunk: 512,
            cache_tokens: 200_000,
        }
    }
}

impl EngineSpec {
    /// Engine seconds per generated token in a full batch.
    pub fn token_s(&self) -> f64 {
        self.step_s / self.slots as f64 + self.decode_s
    }

    /// Engine seconds of a request in a full batch.
    pub fn work_s(&self, prefill: u32, answer: u32) -> f64 {
        f64::from(prefill) * self.prefill_s + f64::from(answer) * self.token_s()
    }
}

/// Request as an engine receives it.
#[derive(Debug, Clone)]
pub struct EngineJob {
    /// Index of the attempt that receives the tokens.
    pub attempt: usize,
    /// Scheduling priority; lower values run first.
    pub priority: i32,
    /// Tokens to process, including the shared prefix and the answer tokens
    /// that an earlier attempt has already delivered.
    pub prompt: u32,
    /// Answer tokens still to generate.
    pub answer: u32,
    /// Identifier of the shared prefix, the key of the prefix cache.
    pub prefix: u64,
    /// Prompt tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Whether the first generated token crashes the engine.
    pub crashes: bool,
}

#[derive(Debug)]
struct RunningJob {
    job: EngineJob,
    prefill_left: u32,
    answer_left: u32,
}

/// Token that a step generated for one request.
#[derive(Debug, Clone, Copy)]
pub struct StepOutput {
    /// Index of the attempt that receives the token.
    pub attempt: usize,
    /// Whether this is the last token of the answer.
    pub is_last: bool,
}

/// Simulated engine with a priority queue, a batch and an LRU prefix cache.
#[derive(Debug)]
pub struct SimulatedEngine {
    spec: EngineSpec,
    waiting: BTreeMap<(i32, u64), EngineJob>,
    running: Vec<RunningJob>,
    cache: VecDeque<(u64, u32)>,
    cached_tokens: u32,
    sequence: u64,
    /// Factor on the duration of a step; 1 is the usual speed.
    pub slowdown_factor: f64,
    /// Whether the engine accepts requests.
    pub is_up: bool,
    /// Increased by every crash; step and restart events of earlier epochs are
    /// ignored.
    pub epoch: u64,
    /// Whether a step is in progress.
    pub is_stepping: bool,
    /// Prompt tokens prefilled so far, including those of lost requests.
    pub prefilled_tokens: u64,
    /// Answer tokens generated so far, including those of lost requests.
    pub generated_tokens: u64,
}

impl SimulatedEngine {
    /// Creates an idle engine with an empty cache.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            cached_tokens: 0,
            sequence: 0,
            slowdown_factor: 1.0,
            is_up: true,
            epoch: 0,
            is_stepping: false,
            prefilled_tokens: 0,
            generated_tokens: 0,
        }
    }

    /// Queues a request.
    pub fn push(&mut self, job: EngineJob) {
        self.sequence += 1;
        self.waiting.insert((job.priority, self.sequence), job);
    }

    /// Numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Fills the batch from the queue and starts a step.
    ///
    /// Returns its duration and the attempts that joined the batch; `None`
    /// without work.
    pub fn start_step(&mut self) -> Option<(Duration, Vec<usize>)> {
        let mut started = Vec::new();
        while self.running.len() < self.spec.slots
            && let Some((_, job)) = self.waiting.pop_first()
        {
            started.push(job.attempt);
            let cached = self.touch_prefix(job.prefix, job.prefix_tokens);
            self.running.push(RunningJob {
                prefill_left: job.prompt.saturating_sub(cached).max(1),
                answer_left: job.answer.max(1),
                job,
            });
        }
        if self.running.is_empty() {
            return None;
        }
        let (prefill, decodes) = self.plan_step();
        let seconds = self.spec.step_s
            + f64::from(prefill) * self.spec.prefill_s
            + f64::from(decodes) * self.spec.decode_s;
        Some((
            Duration::from_secs_f64(seconds * self.slowdown_factor),
            started,
        ))
    }

    /// Ends a step and returns its tokens. The flag is true if a request
    /// crashed the engine.
    pub fn end_step(&mut self) -> (Vec<StepOutput>, bool) {
        let mut outputs = Vec::new();
        let mut budget = self.spec.prefill_chunk;
        let mut crashed = false;
        for run in &mut self.running {
            if run.prefill_left > 0 {
                let part = run.prefill_left.min(budget);
                budget -= part;
                run.prefill_left -= part;
                self.prefilled_tokens += u64::from(part);
                continue;
            }
            crashed |= run.job.crashes;
            run.answer_left -= 1;
            self.generated_tokens += 1;
            outputs.push(StepOutput {
                attempt: run.job.attempt,
                is_last: run.answer_left == 0,
            });
        }
        self.running.retain(|run| run.answer_left > 0);
        (outputs, crashed)
    }

    /// Drops a request that the gateway no longer needs.
    pub fn cancel(&mut self, attempt: usize) {
        self.waiting.retain(|_, job| job.attempt != attempt);
        self.running.retain(|run| run.job.attempt != attempt);
    }

    /// Stops the engine, empties its cache and returns the attempts that it
    /// lost.
    pub fn crash(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.is_stepping = false;
        self.epoch += 1;
        self.clear_cache();
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        let running = running.into_iter().map(|run| run.job.attempt);
        running
            .chain(waiting.into_values().map(|job| job.attempt))
            .collect()
    }

    /// Empties the prefix cache.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
        self.cached_tokens = 0;
    }

    /// Prompt tokens to prefill and answer tokens to generate in the next step.
    fn plan_step(&self) -> (u32, u32) {
        let mut prefill = 0;
        let mut decodes = 0;
        for run in &self.running {
            if run.prefill_left > 0 {
                prefill = (prefill + run.prefill_left).min(self.spec.prefill_chunk);
            } else {
                decodes += 1;
            }
        }
        (prefill, decodes)
    }

    /// Returns how many tokens of a prefix are cached and makes it the most
    /// recently used one.
    fn touch_prefix(&mut self, prefix: u64, tokens: u32) -> u32 {
        let position = self.cache.iter().position(|(key, _)| *key == prefix);
        let cached = position.and_then(|position| self.cache.remove(position));
        self.cached_tokens -= cached.map_or(0, |(_, held)| held);
        self.cache.push_back((prefix, tokens));
        self.cached_tokens += tokens;
        while self.cached_tokens > self.spec.cache_tokens
            && let Some((_, evicted)) = self.cache.pop_front()
        {
            self.cached_tokens -= evicted;
        }
        cached.map_or(0, |(_, held)| held.min(tokens))
    }
}
