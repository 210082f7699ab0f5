//! Fake model engine: continuous batching in steps of virtual time.
//!
//! A step prefills up to a chunk of prompt tokens and generates one token for
//! each request whose prompt is complete. Its duration grows with both.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Speed and size of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Fixed time of a step.
    pub step_s: f64,
    /// Time per generated token.
    pub decode_s: f64,
    /// Time per prefilled token.
    pub prefill_s: f64,
    /// Prompt tokens prefilled in one step.
    pub chunk: u32,
    /// Prompt tokens kept in the prefix cache.
    pub cache_tokens: u32,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            slots: 16,
            step_s: 0.015,
            decode_s: 0.0005,
            prefill_s: 0.0001,
            chunk: 512,
            cache_tokens: 200_000,
        }
    }
}

impl EngineSpec {
    /// Time per generated token at full batch.
    pub fn token_s(&self) -> f64 {
        self.step_s / self.slots as f64 + self.decode_s
    }

    /// Engine time of a request at full batch.
    pub fn work_s(&self, prefill: u32, answer: u32) -> f64 {
        f64::from(prefill) * self.prefill_s + f64::from(answer) * self.token_s()
    }
}

/// Request at an engine.
#[derive(Debug, Clone)]
pub struct EngineJob {
    /// Attempt that the answer belongs to.
    pub attempt: usize,
    /// Lower runs first.
    pub priority: i32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Answer tokens.
    pub answer: u32,
    /// Identifier of the shared prefix.
    pub prefix: u64,
    /// Prompt tokens of the prefix.
    pub prefix_tokens: u32,
    /// Whether the first token crashes the engine.
    pub crashes: bool,
}

#[derive(Debug)]
struct RunningJob {
    job: EngineJob,
    prefill_left: u32,
    answer_left: u32,
}

/// What a step produced for one request.
#[derive(Debug, Clone, Copy)]
pub struct StepOutput {
    /// Attempt.
    pub attempt: usize,
    /// Whether the answer is complete.
    pub is_done: bool,
}

/// Fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    spec: EngineSpec,
    waiting: BTreeMap<(i32, u64), EngineJob>,
    running: Vec<RunningJob>,
    cache: VecDeque<(u64, u32)>,
    cached_tokens: u32,
    sequence: u64,
    /// Multiple of the usual duration of a step.
    pub slowness: f64,
    /// Whether the engine runs.
    pub is_up: bool,
    /// Number of restarts; steps of earlier epochs are void.
    pub epoch: u64,
    /// Whether a step is in progress.
    pub is_stepping: bool,
    /// Prompt tokens prefilled so far, those of lost work included.
    pub prefilled: u64,
    /// Tokens generated so far.
    pub generated: u64,
}

impl FakeEngine {
    /// Idle engine with a cold cache.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            cached_tokens: 0,
            sequence: 0,
            slowness: 1.0,
            is_up: true,
            epoch: 0,
            is_stepping: false,
            prefilled: 0,
            generated: 0,
        }
    }

    /// Queues a request.
    pub fn push(&mut self, job: EngineJob) {
        self.sequence += 1;
        self.waiting.insert((job.priority, self.sequence), job);
    }

    /// Requests that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Starts a step; none without work. Returns its duration and the attempts
    /// that leave the queue.
    pub fn start_step(&mut self) -> Option<(Duration, Vec<usize>)> {
        let mut started = Vec::new();
        while self.running.len() < self.spec.slots
            && let Some((_, job)) = self.waiting.pop_first()
        {
            started.push(job.attempt);
            let cached = self.use_cache(job.prefix, job.prefix_tokens);
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
        Some((Duration::from_secs_f64(seconds * self.slowness), started))
    }

    /// Ends a step. The second value is true if a request crashed the engine.
    pub fn end_step(&mut self) -> (Vec<StepOutput>, bool) {
        let mut outputs = Vec::new();
        let mut budget = self.spec.chunk;
        let mut crashed = false;
        for run in &mut self.running {
            if run.prefill_left > 0 {
                let part = run.prefill_left.min(budget);
                budget -= part;
                run.prefill_left -= part;
                self.prefilled += u64::from(part);
                continue;
            }
            crashed |= run.job.crashes;
            run.answer_left -= 1;
            self.generated += 1;
            outputs.push(StepOutput {
                attempt: run.job.attempt,
                is_done: run.answer_left == 0,
            });
        }
        self.running.retain(|run| run.answer_left > 0);
        (outputs, crashed)
    }

    /// Removes a request whose caller or other attempt has gone.
    pub fn cancel(&mut self, attempt: usize) {
        self.waiting.retain(|_, job| job.attempt != attempt);
        self.running.retain(|run| run.job.attempt != attempt);
    }

    /// Stops the engine and returns the lost attempts.
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

    /// Forgets all prefixes.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
        self.cached_tokens = 0;
    }

    fn plan_step(&self) -> (u32, u32) {
        let mut prefill = 0;
        let mut decodes = 0;
        for run in &self.running {
            if run.prefill_left > 0 {
                prefill = (prefill + run.prefill_left).min(self.spec.chunk);
            } else {
                decodes += 1;
            }
        }
        (prefill, decodes)
    }

    /// Cached tokens of a prefix, which becomes the most recently used one.
    fn use_cache(&mut self, prefix: u64, tokens: u32) -> u32 {
        let position = self.cache.iter().position(|(own, _)| *own == prefix);
        let cached = position.and_then(|position| self.cache.remove(position));
        self.cached_tokens -= cached.map_or(0, |(_, own)| own);
        self.cache.push_back((prefix, tokens));
        self.cached_tokens += tokens;
        while self.cached_tokens > self.spec.cache_tokens
            && let Some((_, own)) = self.cache.pop_front()
        {
            self.cached_tokens -= own;
        }
        cached.map_or(0, |(_, own)| own.min(tokens))
    }
}
