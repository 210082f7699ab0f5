//! Stand-in for a model engine with an OpenAI-compatible API.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};

use crate::answer;
use crate::error::Result;
use crate::http::{self, ConnectionGate, Handler, Listener, Reply};

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
    /// Whether an order with an outdated fencing token is refused.
    pub check_fencing: bool,
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
            check_fencing: true,
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
    pub crossed: bool,
    /// Holds the response back for this time after its first token is ready.
    pub late: Duration,
    /// Closes the connection of a stream after this many tokens.
    pub truncate_after: Option<u32>,
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

#[derive(Debug)]
struct EngineCore {
    settings: EngineSettings,
    faults: Mutex<EngineFaults>,
    gate: Arc<ConnectionGate>,
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
        let core = Arc::new(EngineCore {
            settings,
            faults: Mutex::default(),
            gate: ConnectionGate::new(),
        });
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
        *self.core.faults.lock().unwrap() = faults;
    }

    /// Closes all connections and stops.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl Handler for EngineCore {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let attempt = http::header_text(&request, "x-request-id").to_owned();
        let chat = request.uri().path() == "/v1/chat/completions";
        let bytes = http::read_body(request).await?;
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let prompt = answer::prompt_of(&body);
        let tokens = self.settings.default_answer_tokens;
        let text = answer::expected_answer(&prompt, tokens);
        let choice = if chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let prompt_tokens = answer::prompt_tokens(&prompt);
        let usage = json!({"prompt_tokens": prompt_tokens, "completion_tokens": tokens});
        let answer = json!({
            "id": attempt, "model": body["model"], "choices": [choice], "usage": usage,
        });
        let response = http::json_response(StatusCode::OK, &answer);
        Ok(http::with_header(response, "x-request-id", &attempt))
    }
}
