//! Request handling of the engine stand-in.
//!
//! Every attempt runs in its own task, which ends early when the engine
//! crashes, the attempt is cancelled or the client stops reading the response.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};
use uuid::Uuid;

use crate::answer::{self, AnswerTemplate, TokenUsage};
use crate::batch::Slot;
use crate::engine::{CrashPoint, EngineCore, EngineOrder, StartedPrompt};
use crate::http::{self, Body, Handler, HandlerResult};
use response::start_response;

mod response;

/// Value of the header `Retry-After` of a refusal, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Pause before a connection is closed, in which its buffered tokens are written.
const FLUSH_TIME: Duration = Duration::from_millis(5);
/// Longest answer; its whole text is generated before the first token is sent.
const MAX_ANSWER_TOKENS: u64 = 131_072;

/// Message from the task of an attempt to its response.
#[derive(Debug)]
enum Step {
    Token(String),
    Truncated { cleanly: bool },
    End(TokenUsage),
}

/// Parsed completion request.
#[derive(Debug, Clone)]
struct Job {
    attempt: String,
    template: AnswerTemplate,
    prompt: String,
    answer_tokens: u32,
    /// Number of leading tokens that the answer leaves out.
    resume_from: u32,
    has_limit: bool,
    streamed: bool,
    include_usage: bool,
    priority: i64,
    /// Length at which an unframed answer is cut; `None` if answers are framed.
    unframed_bytes: Option<usize>,
    /// Length that the head of a stream states; `None` if it is sent in chunks.
    stated_bytes: Option<u64>,
}

impl Job {
    fn finish_reason(&self) -> &'static str {
        if self.has_limit { "length" } else { "stop" }
    }
}

/// Entry in the table of active attempts, which `drop` removes.
struct ActiveAttempt {
    core: Arc<EngineCore>,
    number: u64,
    cancel: Arc<Notify>,
    crashes: watch::Receiver<()>,
}

impl ActiveAttempt {
    fn new(core: &Arc<EngineCore>, attempt: &str) -> Self {
        let cancel = Arc::new(Notify::new());
        let mut state = core.state.lock().unwrap();
        state.attempt_count += 1;
        let number = state.attempt_count;
        state
            .active
            .insert(number, (attempt.to_owned(), cancel.clone()));
        let crashes = core.crashes.subscribe();
        Self {
            core: core.clone(),
            number,
            cancel,
            crashes,
        }
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        self.core.state.lock().unwrap().active.remove(&self.number);
    }
}

impl Handler for EngineCore {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        let cancelled_attempt = path.strip_prefix("/v1/cancel/");
        match (request.method(), path.as_str()) {
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::POST, "/v1/chat/completions") => self.complete(request, true).await,
            (&Method::POST, "/v1/completions") => self.complete(request, false).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::POST, _) if cancelled_attempt.is_some() => {
                Ok(self.cancel(cancelled_attempt.unwrap_or_default()))
            }
            _ => Ok(Refusal(StatusCode::NOT_FOUND, "unknown_path", "no such path").respond()),
        }
    }
}

impl EngineCore {
    fn metrics(&self) -> Response<Body> {
        let load = self.batch.report();
        let usage = load.held_tokens as f64 / self.settings.cache_tokens.max(1) as f64;
        let gauges = [
            ("num_requests_running", load.running as f64),
            ("num_requests_waiting", load.waiting as f64),
            ("kv_cache_usage_ratio", usage.min(1.0)),
        ];
        let lines = gauges.map(|(name, value)| format!("# TYPE {name} gauge\n{name} {value}\n"));
        http::text_response(StatusCode::OK, "text/plain; version=0.0.4", lines.concat())
    }

    fn models(&self) -> Response<Body> {
        let state = self.state.lock().unwrap();
        let models = state.loaded_models().iter().map(
            |name| json!({"id": name, "object": "model", "created": 0, "owned_by": "standin"}),
        );
        let data: Vec<Value> = models.collect();
        http::json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
    }

    fn cancel(&self, attempt: &str) -> Response<Body> {
        let state = self.state.lock().unwrap();
        let found: Vec<_> = state
            .active
            .values()
            .filter(|(id, _)| id == attempt)
            .collect();
        found.iter().for_each(|(_, cancel)| cancel.notify_one());
        let status = if found.is_empty() {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::OK
        };
        http::json_response(
            status,
            &json!({"id": attempt, "cancelled": !found.is_empty()}),
        )
    }

    async fn order(&self, request: Request<Incoming>) -> HandlerResult {
        let bytes = http::read_body(request).await?;
        let Ok(order) = serde_json::from_slice::<EngineOrder>(&bytes) else {
            let message = "order is not valid";
            return Ok(Refusal(StatusCode::BAD_REQUEST, "invalid_order", message).respond());
        };
        let mut state = self.state.lock().unwrap();
        let highest = state.orders.iter().map(|order| order.fencing_token).max();
        if self.settings.check_fencing && highest > Some(order.fencing_token) {
            let message = "fencing token is outdated";
            return Ok(Refusal(StatusCode::CONFLICT, "outdated_fencing_token", message).respond());
        }
        state.models.clone_from(&order.models);
        state.orders.push(order);
        Ok(http::json_response(
            StatusCode::OK,
            &json!({"applied": true}),
        ))
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>, chat: bool) -> HandlerResult {
        let (parts, body) = request.into_parts();
        let head = Request::from_parts(parts, ());
        let bytes = http::collect_body(body).await?;
        let job = match self.parse_job(&head, &bytes, chat) {
            Ok(job) => job,
            Err(refusal) => {
                let attempt = http::header_text(&head, "x-request-id");
                return Ok(http::with_header(
                    refusal.respond(),
                    "x-request-id",
                    attempt,
                ));
            }
        };
        // Registered before the attempt can run, so that it sees every crash.
        let active = ActiveAttempt::new(&self, &job.attempt);
        let refused = self.state.lock().unwrap().faults.refuse;
        let requested = if refused {
            None
        } else {
            self.batch.request_slot(job.priority)
        };
        let Some(slot) = requested else {
            self.state.lock().unwrap().counters.refused += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let response = Refusal(status, "overloaded", "engine takes no work").respond();
            let response = http::with_header(response, "x-request-id", &job.attempt);
            return Ok(http::with_header(response, "retry-after", RETRY_AFTER_S));
        };
        let answered = self.answered_job(&job);
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(active, job, answered.prompt.clone(), slot, sender));
        start_response(answered, receiver).await
    }

    fn parse_job(
        &self,
        head: &Request<()>,
        bytes: &[u8],
        chat: bool,
    ) -> std::result::Result<Job, Refusal> {
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|_| Refusal(StatusCode::BAD_REQUEST, "invalid_json", "body is not JSON"))?;
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let is_loaded = {
            let state = self.state.lock().unwrap();
            state.loaded_models().contains(&model)
        };
        if !is_loaded {
            let message = "model is not loaded";
            return Err(Refusal(StatusCode::NOT_FOUND, "model_not_found", message));
        }
        let attempt = match http::header_text(head, "x-request-id") {
            "" => Uuid::new_v4().to_string(),
            text => text.to_owned(),
        };
        let limit = body["max_completion_tokens"]
            .as_u64()
            .or(body["max_tokens"].as_u64());
        let tokens = limit.unwrap_or(self.settings.default_answer_tokens.into());
        if tokens > MAX_ANSWER_TOKENS {
            let message = "answer limit is too large";
            return Err(Refusal(StatusCode::BAD_REQUEST, "invalid_limit", message));
        }
        let streamed = body["stream"] == true;
        let (unframed_bytes, stated_bytes) = {
            let faults = &mut self.state.lock().unwrap().faults;
            let stated_bytes = faults.stated_bytes.take_if(|_| streamed);
            (faults.unframed_bytes, stated_bytes)
        };
        let resumed = !http::header_text(head, "x-resume-attempt").is_empty();
        let resume_from = http::header_text(head, "x-resume-from")
            .parse()
            .unwrap_or_default();
        Ok(Job {
            template: AnswerTemplate {
                chat,
                id: attempt.clone(),
                model,
            },
            attempt,
            prompt: answer::prompt_text(&body),
            answer_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            resume_from: if resumed && self.settings.resume {
                resume_from
            } else {
                0
            },
            has_limit: limit.is_some(),
            streamed,
            include_usage: body["stream_options"]["include_usage"] == true,
            priority: body["priority"].as_i64().unwrap_or_default(),
            unframed_bytes,
            stated_bytes,
        })
    }

    /// Job whose ID and text the answer has: not `job` if answers are mismatched.
    fn answered_job(&self, job: &Job) -> Job {
        let mut state = self.state.lock().unwrap();
        let latest = (job.attempt.clone(), job.prompt.clone());
        let previous = state.latest_request.replace(latest);
        let mut answered = job.clone();
        if state.faults.mismatched_answers {
            let other = previous.filter(|(attempt, _)| *attempt != job.attempt);
            let invented = || (Uuid::new_v4().to_string(), "another request".to_owned());
            (answered.template.id, answered.prompt) = other.unwrap_or_else(invented);
        }
        answered
    }

    /// Multiplies a duration by the factor of the fault `slow_factor`.
    fn slowed(&self, duration: Duration) -> Duration {
        let factor = self.state.lock().unwrap().faults.slow_factor.max(1.0);
        duration.mul_f64(factor)
    }

    /// Records the start of an attempt and returns the number of cached prompt tokens.
    fn record_start(&self, job: &Job) -> u32 {
        let mut state = self.state.lock().unwrap();
        state.counters.started += 1;
        *state.executions.entry(job.attempt.clone()).or_default() += 1;
        if self.settings.keep_prompts {
            state.prompts.push(StartedPrompt {
                text: job.prompt.clone(),
                started: Instant::now(),
            });
        }
        let cached = state.cache.insert(&job.prompt);
        state.counters.cached_tokens += u64::from(cached);
        cached
    }

    /// Whether a fault crashes the engine now that `job` has generated `tokens` tokens.
    fn crash_due(&self, job: &Job, tokens: u32) -> bool {
        let mut state = self.state.lock().unwrap();
        let marker = state.faults.crash_marker.as_deref();
        let marked = tokens >= state.faults.crash_marker_tokens
            && marker.is_some_and(|marker| job.prompt.contains(marker));
        let reached = match state.faults.crash {
            Some(CrashPoint::BeforeFirstByte) => tokens == 0,
            Some(CrashPoint::AfterTokens(limit)) => tokens >= limit,
            None => false,
        };
        if reached {
            state.faults.crash = None;
        }
        marked || reached
    }

    /// Crashes the engine if a fault says so; does not return in this case.
    async fn crash_if_due(self: &Arc<Self>, job: &Job, tokens: u32) {
        if !self.crash_due(job, tokens) {
            return;
        }
        if tokens == 0 {
            self.crash();
        } else {
            // In its own task, so that it happens even if the client disconnects first.
            let core = self.clone();
            tokio::spawn(async move {
                sleep(FLUSH_TIME).await;
                core.crash();
            });
        }
        std::future::pending::<()>().await;
    }

    /// Ends the stream if a fault truncates it after `tokens` tokens.
    fn truncate_if_due(&self, tokens: u32, steps: &mpsc::UnboundedSender<Step>) -> bool {
        let state = self.state.lock().unwrap();
        let reached = state
            .faults
            .truncate_after
            .is_some_and(|limit| tokens >= limit);
        if reached {
            let cleanly = state.faults.truncate_cleanly;
            let _ = steps.send(Step::Truncated { cleanly });
        }
        reached
    }

    /// Waits for a slot and generates the tokens of the answer to `answered_prompt`.
    async fn generate(
        self: &Arc<Self>,
        job: &Job,
        answered_prompt: &str,
        slot: oneshot::Receiver<Slot>,
        steps: &mpsc::UnboundedSender<Step>,
    ) {
        let Ok(mut slot) = slot.await else { return };
        let cached_tokens = self.record_start(job);
        let prompt_tokens = answer::count_prompt_tokens(&job.prompt);
        slot.reserve_memory(u64::from(prompt_tokens) + u64::from(job.answer_tokens));
        self.crash_if_due(job, 0).await;
        let prefill = f64::from(prompt_tokens - cached_tokens) / self.settings.prefill_tokens_per_s;
        wait_until(Instant::now() + self.slowed(Duration::from_secs_f64(prefill))).await;
        let delay = self.state.lock().unwrap().faults.first_token_delay;
        wait_until(Instant::now() + delay).await;
        let token_time = Duration::from_secs_f64(1.0 / self.settings.tokens_per_s);
        let mut due = Instant::now();
        let words = answer::answer_tokens(answered_prompt, job.answer_tokens).into_iter();
        for (index, word) in (1..).zip(words).skip(job.resume_from as usize) {
            due += self.slowed(token_time);
            wait_until(due).await;
            self.state.lock().unwrap().counters.generated_tokens += 1;
            let _ = steps.send(Step::Token(word));
            self.crash_if_due(job, index).await;
            if job.streamed && self.truncate_if_due(index, steps) {
                return;
            }
        }
        self.state.lock().unwrap().counters.completed += 1;
        let completion_tokens = job.answer_tokens.saturating_sub(job.resume_from);
        let _ = steps.send(Step::End(TokenUsage {
            prompt_tokens,
            cached_tokens,
            completion_tokens,
        }));
    }
}

/// Waits until `due`. Skips the timer if that has passed, since it would round the
/// wait up to a whole millisecond.
async fn wait_until(due: Instant) {
    if due > Instant::now() {
        sleep_until(due).await;
    }
}

/// Runs an attempt until it is complete or cancelled, or the engine crashes.
async fn run(
    mut active: ActiveAttempt,
    job: Job,
    answered_prompt: String,
    slot: oneshot::Receiver<Slot>,
    steps: mpsc::UnboundedSender<Step>,
) {
    tokio::select! {
        biased;
        _ = active.crashes.changed() => return,
        _ = active.cancel.notified() => {}
        _ = steps.closed() => {}
        _ = active.core.generate(&job, &answered_prompt, slot, &steps) => return,
    }
    active.core.state.lock().unwrap().counters.cancelled += 1;
}

/// Answer to a request that is not run: status, error code and message.
struct Refusal(StatusCode, &'static str, &'static str);

impl Refusal {
    fn respond(self) -> Response<Body> {
        let Refusal(status, code, message) = self;
        let error_type = if status.is_server_error() {
            "server_error"
        } else {
            "invalid_request_error"
        };
        let error = json!({"message": message, "type": error_type, "code": code, "param": null});
        http::json_response(status, &json!({"error": error}))
    }
}
