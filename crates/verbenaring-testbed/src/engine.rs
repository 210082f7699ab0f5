//! Stand-in for a model engine with an OpenAI-compatible API.
//!
//! This module has its settings, faults and counters; the request handling is
//! in `generation`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::batch::{Batch, PrefixCache};
use crate::error::Result;
use crate::http::{ConnectionGate, Listener};

/// Settings of an engine, which stay the same while it runs.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Names of the models that are loaded at the start.
    pub model_names: Vec<String>,
    /// Number of requests that can run at the same time.
    pub slots: usize,
    /// Number of requests that may wait for a slot; further requests are refused
    /// with status 503.
    pub max_waiting: usize,
    /// Tokens that each slot generates per second.
    pub tokens_per_s: f64,
    /// Prompt tokens that each slot processes per second.
    pub prefill_tokens_per_s: f64,
    /// Capacity of the prefix cache, in prompt tokens.
    pub cache_tokens: usize,
    /// Length of an answer, in tokens, if the request sets no limit.
    pub default_answer_tokens: u32,
    /// Age of the load that the metrics show.
    pub report_lag: Duration,
    /// Time after a crash during which connections are refused.
    pub restart_time: Duration,
    /// Time after a restart during which no model is loaded yet; requests get status 404.
    pub load_time: Duration,
    /// Whether broken streams can be resumed; if not, the resume headers are
    /// ignored.
    pub resume: bool,
    /// Whether orders with an outdated fencing token are refused.
    pub check_fencing: bool,
    /// Whether `EngineServer::prompts` records the prompt of every started
    /// attempt.
    pub keep_prompts: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model_names: vec!["standin".to_owned()],
            slots: 8,
            max_waiting: 1_000,
            tokens_per_s: 500.0,
            prefill_tokens_per_s: 20_000.0,
            cache_tokens: 65_536,
            default_answer_tokens: 16,
            report_lag: Duration::ZERO,
            restart_time: Duration::from_millis(500),
            load_time: Duration::ZERO,
            resume: true,
            check_fencing: true,
            keep_prompts: false,
        }
    }
}

/// Point at which an engine crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// When a request has started, before the first byte of its answer.
    BeforeFirstByte,
    /// When a request has generated this many tokens.
    AfterTokens(u32),
}

/// Faults of an engine. Except for `crash` and `stated_bytes`, each applies while it is set.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Resets all connections, also new ones.
    pub down: bool,
    /// Factor on the time of the prefill and of each token; values up to 1 change
    /// nothing.
    pub slow_factor: f64,
    /// Crashes once, when a request first reaches this point.
    pub crash: Option<CrashPoint>,
    /// Crashes whenever a request starts whose prompt contains this text.
    pub crash_marker: Option<String>,
    /// Tokens that such a request has generated when it crashes the engine.
    pub crash_marker_tokens: u32,
    /// Answers every request with the ID and the text of another request.
    pub mismatched_answers: bool,
    /// Additional time between the prefill and the first token.
    pub first_token_delay: Duration,
    /// Ends a stream after this many tokens, without its end marker.
    pub truncate_after: Option<u32>,
    /// Whether a truncated stream is a complete HTTP message. If not, its
    /// connection breaks.
    pub truncate_cleanly: bool,
    /// Sends answers that are not streamed with neither a length nor chunks, and at most
    /// this many bytes of them.
    pub unframed_bytes: Option<usize>,
    /// Length that the head of the next stream states; it applies once, like `crash`.
    pub stated_bytes: Option<u64>,
    /// Refuses all requests with status 503 without running them.
    pub refuse: bool,
}

/// Counts of what an engine has done since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Attempts that got a slot.
    pub started: u64,
    /// Attempts whose answer was generated completely.
    pub completed: u64,
    /// Attempts that a cancel call or a closed connection ended.
    pub cancelled: u64,
    /// Requests refused because the queue was full or by a fault.
    pub refused: u64,
    /// Most requests that waited for a slot at the same time.
    pub most_waiting: u64,
    /// Crashes, by a fault or by `EngineServer::crash`.
    pub crashes: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Generated tokens of all attempts.
    pub generated_tokens: u64,
}

/// Prompt of an attempt that got a slot.
#[derive(Debug, Clone)]
pub struct StartedPrompt {
    /// Text of the prompt.
    pub text: String,
    /// When the attempt got its slot.
    pub started: Instant,
}

/// Order that sets the desired state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineOrder {
    /// Names of the models that the engine must have loaded.
    pub models: Vec<String>,
    /// Role of the engine in the deployment, without effect; empty if not given.
    #[serde(default)]
    pub role: String,
    /// Fencing token of the sender. An engine that checks it refuses an order
    /// whose token is lower than the highest one received.
    pub fencing_token: i64,
}

/// State that the engine's handle and its connections share.
#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) settings: EngineSettings,
    pub(crate) batch: Arc<Batch>,
    pub(crate) state: Mutex<EngineState>,
    /// Signals each crash to the attempts.
    pub(crate) crashes: watch::Sender<()>,
    gate: Arc<ConnectionGate>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) faults: EngineFaults,
    pub(crate) counters: EngineCounters,
    /// Names of the loaded models.
    pub(crate) models: Vec<String>,
    /// Time from which they are loaded after a crash.
    pub(crate) loaded_from: Instant,
    /// Applied orders, oldest first.
    pub(crate) orders: Vec<EngineOrder>,
    /// Number of starts by attempt ID.
    pub(crate) executions: BTreeMap<String, u64>,
    /// Prompts of the started attempts; empty unless they are kept.
    pub(crate) prompts: Vec<StartedPrompt>,
    pub(crate) cache: PrefixCache,
    /// ID and cancel signal of each attempt that waits or runs, by its number.
    pub(crate) active: BTreeMap<u64, (String, Arc<Notify>)>,
    /// Number of attempts so far.
    pub(crate) attempt_count: u64,
    /// Attempt ID and prompt of the latest request.
    pub(crate) latest_request: Option<(String, String)>,
}

impl EngineState {
    /// Names of the models that can run requests now.
    pub(crate) fn loaded_models(&self) -> &[String] {
        match Instant::now() < self.loaded_from {
            true => &[],
            false => &self.models,
        }
    }
}

impl EngineCore {
    fn new(settings: EngineSettings) -> Arc<Self> {
        let state = EngineState {
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            models: settings.model_names.clone(),
            loaded_from: Instant::now(),
            orders: Vec::new(),
            executions: BTreeMap::new(),
            prompts: Vec::new(),
            cache: PrefixCache::new(settings.cache_tokens),
            active: BTreeMap::new(),
            attempt_count: 0,
            latest_request: None,
        };
        Arc::new(Self {
            batch: Batch::new(settings.slots, settings.max_waiting, settings.report_lag),
            state: Mutex::new(state),
            crashes: watch::channel(()).0,
            gate: ConnectionGate::new(),
            settings,
        })
    }

    /// Ends all attempts, empties the prefix cache and refuses connections until
    /// the restart time is over.
    pub(crate) fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.counters.crashes += 1;
        state.cache = PrefixCache::new(self.settings.cache_tokens);
        let restarted = Instant::now() + self.settings.restart_time;
        state.loaded_from = restarted + self.settings.load_time;
        drop(state);
        self.gate.refuse_until(restarted);
        self.crashes.send_replace(());
    }
}

/// Handle of a running engine; dropping it stops the engine.
#[derive(Debug)]
pub struct EngineServer {
    core: Arc<EngineCore>,
    listener: Listener,
}

impl EngineServer {
    /// Starts an engine on a free loopback port.
    pub async fn start(settings: EngineSettings) -> Result<Self> {
        let core = EngineCore::new(settings);
        let listener = Listener::start(core.clone(), core.gate.clone()).await?;
        Ok(Self { core, listener })
    }

    /// Loopback address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.gate.set_down(faults.down);
        self.core.state.lock().unwrap().faults = faults;
    }

    /// Crashes the engine now; it accepts connections again after its restart time.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// Counters since the start; a crash does not reset them.
    pub fn counters(&self) -> EngineCounters {
        EngineCounters {
            most_waiting: self.core.batch.most_waiting(),
            ..self.core.state.lock().unwrap().counters
        }
    }

    /// Number of starts of each attempt that got a slot, by attempt ID.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.core.state.lock().unwrap().executions.clone()
    }

    /// Prompts of the attempts that got a slot, in order; empty unless
    /// `EngineSettings::keep_prompts` is set.
    pub fn prompts(&self) -> Vec<StartedPrompt> {
        self.core.state.lock().unwrap().prompts.clone()
    }

    /// Orders applied so far, oldest first.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.core.state.lock().unwrap().orders.clone()
    }

    /// Closes all connections and stops the engine.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}
