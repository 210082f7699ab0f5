//! Stand-in for a model engine with an OpenAI-compatible API.

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

/// Fixed settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Models served at the start.
    pub model_names: Vec<String>,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are refused with 503.
    pub max_waiting: usize,
    /// Generated tokens per second and slot.
    pub tokens_per_s: f64,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Tokens of an answer when the request sets no limit.
    pub default_answer_tokens: u32,
    /// Age of the load report.
    pub report_lag: Duration,
    /// Time during which connections are refused after a crash.
    pub restart_time: Duration,
    /// Whether broken streams can be resumed; otherwise the headers are ignored.
    pub resume: bool,
    /// Whether an order with an outdated fencing token is refused.
    pub check_fencing: bool,
    /// Whether the prompt of every started attempt is kept for checks.
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
            resume: true,
            check_fencing: true,
            keep_prompts: false,
        }
    }
}

/// Point at which an engine crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// When the next request has started, before its first byte.
    BeforeFirstByte,
    /// When a request has generated this many tokens.
    AfterTokens(u32),
}

/// Faults of an engine; each applies while it is set.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Resets every connection.
    pub down: bool,
    /// Factor on the time of every step; values of at most 1 change nothing.
    pub slow_factor: f64,
    /// Crashes once, at the first request that reaches the point.
    pub crash: Option<CrashPoint>,
    /// Crashes whenever a prompt that contains this text starts.
    pub crash_marker: Option<String>,
    /// Answers with the identifier and the text of another request.
    pub mismatched_answers: bool,
    /// Holds the response back for this time after its first token is ready.
    pub first_token_delay: Duration,
    /// Ends a stream without its end marker after this many tokens.
    pub truncate_after: Option<u32>,
    /// Ends a truncated stream as a complete HTTP message.
    pub truncate_cleanly: bool,
    /// Refuses requests with 503 before execution.
    pub refuse: bool,
}

/// What an engine has done so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Attempts whose execution started.
    pub started: u64,
    /// Attempts whose answer was generated to its end.
    pub completed: u64,
    /// Attempts ended by a cancel call or a closed connection.
    pub cancelled: u64,
    /// Requests refused before execution.
    pub refused: u64,
    /// Crashes.
    pub crashes: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
}

/// Desired state that an operator ordered.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineOrder {
    /// Models to serve.
    pub models: Vec<String>,
    /// Role in the deployment; recorded only.
    #[serde(default)]
    pub role: String,
    /// Fencing token of the sender.
    pub fencing_token: i64,
}

#[derive(Debug)]
pub(crate) struct EngineCore {
    pub(crate) settings: EngineSettings,
    pub(crate) batch: Arc<Batch>,
    pub(crate) state: Mutex<EngineState>,
    pub(crate) crashes: watch::Sender<()>,
    gate: Arc<ConnectionGate>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) faults: EngineFaults,
    pub(crate) counters: EngineCounters,
    pub(crate) models: Vec<String>,
    pub(crate) orders: Vec<EngineOrder>,
    pub(crate) executions: BTreeMap<String, u64>,
    pub(crate) prompts: Vec<String>,
    pub(crate) cache: PrefixCache,
    pub(crate) active: BTreeMap<u64, (String, Arc<Notify>)>,
    pub(crate) arrivals: u64,
    /// Identifier and prompt of the latest request.
    pub(crate) latest: Option<(String, String)>,
}

impl EngineCore {
    fn new(settings: EngineSettings) -> Arc<Self> {
        let state = EngineState {
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            models: settings.model_names.clone(),
            orders: Vec::new(),
            executions: BTreeMap::new(),
            prompts: Vec::new(),
            cache: PrefixCache::new(settings.cache_tokens),
            active: BTreeMap::new(),
            arrivals: 0,
            latest: None,
        };
        Arc::new(Self {
            batch: Batch::new(settings.slots, settings.max_waiting, settings.report_lag),
            state: Mutex::new(state),
            crashes: watch::channel(()).0,
            gate: ConnectionGate::new(),
            settings,
        })
    }

    /// Ends all attempts, empties the cache and refuses until restarted.
    pub(crate) fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.counters.crashes += 1;
        state.cache = PrefixCache::new(self.settings.cache_tokens);
        drop(state);
        self.gate
            .refuse_until(Instant::now() + self.settings.restart_time);
        self.crashes.send_replace(());
    }
}

/// Running engine; dropping it stops it.
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

    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.gate.set_down(faults.down);
        self.core.state.lock().unwrap().faults = faults;
    }

    /// Crashes the engine now; it accepts connections again after the restart time.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// What the engine has done so far.
    pub fn counters(&self) -> EngineCounters {
        self.core.state.lock().unwrap().counters
    }

    /// Attempts whose execution started, with the number of starts.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.core.state.lock().unwrap().executions.clone()
    }

    /// Prompts of the attempts whose execution started, if they are kept.
    pub fn prompts(&self) -> Vec<String> {
        self.core.state.lock().unwrap().prompts.clone()
    }

    /// Orders applied so far.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.core.state.lock().unwrap().orders.clone()
    }

    /// Closes all connections and stops.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}
