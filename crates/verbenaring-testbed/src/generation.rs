//! Request handling of the model engine.
//!
//! Every attempt runs in its own task, which ends when the engine crashes,
//! the attempt is cancelled or its response is no longer read.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};
use uuid::Uuid;

use crate::answer::{self, AnswerFrame, AnswerUsage};
use crate::batch::Slot;
use crate::engine::{CrashPoint, EngineCore, EngineOrder};
use crate::http::{self, Body, Closed, Handler, Reply};

/// Seconds in the `Retry-After` header of a refusal.
const RETRY_AFTER_S: &str = "1";

/// Time between the last token and the end of its connection; without it the
/// connection ends before the tokens in its buffer are written.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// Largest answer; its text is prepared before the first token is sent.
const MAX_ANSWER_TOKENS: u64 = 131_072;

/// Progress of one attempt.
#[derive(Debug)]
enum Step {
    Token(String),
    Truncated { cleanly: bool },
    End(AnswerUsage),
}

/// One request as the engine runs it.
#[derive(Debug, Clone)]
struct Job {
    attempt: String,
    frame: AnswerFrame,
    prompt: String,
    tokens: u32,
    resume_from: u32,
    limited: bool,
    streamed: bool,
    include_usage: bool,
    priority: i64,
}

impl Job {
    fn finish_reason(&self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }
}

/// Entry in the table of active attempts.
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
        state.arrivals += 1;
        let number = state.arrivals;
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
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let cancelled = path.strip_prefix("/v1/cancel/");
        match (request.method(), path.as_str()) {
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::POST, "/v1/chat/completions") => self.complete(request, true).await,
            (&Method::POST, "/v1/completions") => self.complete(request, false).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::POST, _) if cancelled.is_some() => {
                Ok(self.cancel(cancelled.unwrap_or_default()))
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
        let models = state.models.iter().map(
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

    async fn order(&self, request: Request<Incoming>) -> Reply {
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

    async fn complete(self: Arc<Self>, request: Request<Incoming>, chat: bool) -> Reply {
        let (parts, body) = request.into_parts();
        let head = Request::from_parts(parts, ());
        let bytes = http::collect(body).await?;
        let job = match self.parse(&head, &bytes, chat) {
            Ok(job) => job,
            Err(refusal) => return Ok(refusal.respond()),
        };
        // Entered in the table before it can run, so that it notices every crash.
        let active = ActiveAttempt::new(&self, &job.attempt);
        let refused = self.state.lock().unwrap().faults.refuse;
        let entered = if refused {
            None
        } else {
            self.batch.enter(job.priority)
        };
        let Some(slot) = entered else {
            self.state.lock().unwrap().counters.refused += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let response = Refusal(status, "overloaded", "engine takes no work").respond();
            let response = http::with_header(response, "x-request-id", &job.attempt);
            return Ok(http::with_header(response, "retry-after", RETRY_AFTER_S));
        };
        let shown = self.shown_job(&job);
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(active, job, shown.prompt.clone(), slot, sender));
        respond(shown, receiver).await
    }

    fn parse(
        &self,
        head: &Request<()>,
        bytes: &[u8],
        chat: bool,
    ) -> std::result::Result<Job, Refusal> {
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|_| Refusal(StatusCode::BAD_REQUEST, "invalid_json", "body is not JSON"))?;
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        if !self.state.lock().unwrap().models.contains(&model) {
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
        let resumed = !http::header_text(head, "x-resume-attempt").is_empty();
        let resume_from = http::header_text(head, "x-resume-from")
            .parse()
            .unwrap_or_default();
        Ok(Job {
            frame: AnswerFrame {
                chat,
                id: attempt.clone(),
                model,
            },
            attempt,
            prompt: answer::prompt_of(&body),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            resume_from: if resumed && self.settings.resume {
                resume_from
            } else {
                0
            },
            limited: limit.is_some(),
            streamed: body["stream"] == true,
            include_usage: body["stream_options"]["include_usage"] == true,
            priority: body["priority"].as_i64().unwrap_or_default(),
        })
    }

    /// The job whose identifier and text the answer shows: another one when
    /// answers are crossed.
    fn shown_job(&self, job: &Job) -> Job {
        let mut state = self.state.lock().unwrap();
        let latest = (job.attempt.clone(), job.prompt.clone());
        let previous = state.latest.replace(latest);
        let mut shown = job.clone();
        if state.faults.mismatched_answers {
            let other = previous.filter(|(attempt, _)| *attempt != job.attempt);
            let unseen = || (Uuid::new_v4().to_string(), "another request".to_owned());
            (shown.frame.id, shown.prompt) = other.unwrap_or_else(unseen);
        }
        shown
    }

    fn slow(&self, duration: Duration) -> Duration {
        let factor = self.state.lock().unwrap().faults.slow_factor.max(1.0);
        duration.mul_f64(factor)
    }

    /// Counts the start of an attempt and returns its cached prompt tokens.
    fn start(&self, job: &Job) -> u32 {
        let mut state = self.state.lock().unwrap();
        state.counters.started += 1;
        *state.executions.entry(job.attempt.clone()).or_default() += 1;
        if self.settings.keep_prompts {
            state.prompts.push(job.prompt.clone());
        }
        let cached = state.cache.load(&job.prompt);
        state.counters.cached_tokens += u64::from(cached);
        cached
    }

    /// Whether a fault crashes the engine when `job` has generated `tokens` tokens.
    fn crash_due(&self, job: &Job, tokens: u32) -> bool {
        let mut state = self.state.lock().unwrap();
        let marker = state.faults.crash_marker.as_deref();
        let marked = tokens == 0 && marker.is_some_and(|marker| job.prompt.contains(marker));
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

    /// Crashes the engine if that is due; does not return in this case.
    async fn check_crash(self: &Arc<Self>, job: &Job, tokens: u32) {
        if !self.crash_due(job, tokens) {
            return;
        }
        if tokens == 0 {
            self.crash();
        } else {
            // In its own task, so that it happens also when the client leaves first.
            let core = self.clone();
            tokio::spawn(async move {
                sleep(FLUSH_TIME).await;
                core.crash();
            });
        }
        std::future::pending::<()>().await;
    }

    fn truncates(&self, tokens: u32, steps: &mpsc::UnboundedSender<Step>) -> bool {
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

    async fn execute(
        self: &Arc<Self>,
        job: &Job,
        text: &str,
        slot: oneshot::Receiver<Slot>,
        steps: &mpsc::UnboundedSender<Step>,
    ) {
        let Ok(mut slot) = slot.await else { return };
        let cached = self.start(job);
        let prompt = answer::prompt_tokens(&job.prompt);
        slot.hold(u64::from(prompt) + u64::from(job.tokens));
        self.check_crash(job, 0).await;
        let prefill = f64::from(prompt - cached) / self.settings.prefill_tokens_per_s;
        wait_until(Instant::now() + self.slow(Duration::from_secs_f64(prefill))).await;
        let late = self.state.lock().unwrap().faults.first_token_delay;
        wait_until(Instant::now() + late).await;
        let step = Duration::from_secs_f64(1.0 / self.settings.tokens_per_s);
        let mut due = Instant::now();
        let words = answer::answer_tokens(text, job.tokens).into_iter();
        for (index, word) in (1..).zip(words).skip(job.resume_from as usize) {
            due += self.slow(step);
            wait_until(due).await;
            self.state.lock().unwrap().counters.generated_tokens += 1;
            let _ = steps.send(Step::Token(word));
            self.check_crash(job, index).await;
            if job.streamed && self.truncates(index, steps) {
                return;
            }
        }
        self.state.lock().unwrap().counters.completed += 1;
        let completion = job.tokens.saturating_sub(job.resume_from);
        let _ = steps.send(Step::End(AnswerUsage {
            prompt,
            cached,
            completion,
        }));
    }
}

/// Waits until `due`, not at all if it has passed; the timer would round up to
/// a whole millisecond.
async fn wait_until(due: Instant) {
    if due > Instant::now() {
        sleep_until(due).await;
    }
}

/// Runs one attempt until it ends, is cancelled or crashes with its engine.
async fn run(
    mut active: ActiveAttempt,
    job: Job,
    text: String,
    slot: oneshot::Receiver<Slot>,
    steps: mpsc::UnboundedSender<Step>,
) {
    tokio::select! {
        biased;
        _ = active.crashes.changed() => return,
        _ = active.cancel.notified() => {}
        _ = steps.closed() => {}
        _ = active.core.execute(&job, &text, slot, &steps) => return,
    }
    active.core.state.lock().unwrap().counters.cancelled += 1;
}

/// Starts the response when the first step is ready.
async fn respond(job: Job, mut steps: mpsc::UnboundedReceiver<Step>) -> Reply {
    let first = steps.recv().await.ok_or(Closed)?;
    let id = job.frame.id.clone();
    let resume_from = job.resume_from;
    let response = if job.streamed {
        let cursor = StreamCursor {
            job,
            pending: Some(first),
            steps,
        };
        http::stream_response("text/event-stream", events(cursor))
    } else {
        http::json_response(
            StatusCode::OK,
            &whole_answer(&job, first, &mut steps).await?,
        )
    };
    let response = http::with_header(response, "x-request-id", &id);
    if resume_from == 0 {
        return Ok(response);
    }
    Ok(http::with_header(
        response,
        "x-resume-from",
        &resume_from.to_string(),
    ))
}

async fn whole_answer(
    job: &Job,
    first: Step,
    steps: &mut mpsc::UnboundedReceiver<Step>,
) -> std::result::Result<Value, Closed> {
    let mut text = String::new();
    let mut step = first;
    loop {
        match step {
            Step::Token(word) => text.push_str(&word),
            Step::Truncated { .. } => return Err(Closed),
            Step::End(usage) => return Ok(job.frame.whole(&text, job.finish_reason(), usage)),
        }
        step = steps.recv().await.ok_or(Closed)?;
    }
}

struct StreamCursor {
    job: Job,
    pending: Option<Step>,
    steps: mpsc::UnboundedReceiver<Step>,
}

fn events(cursor: StreamCursor) -> impl Stream<Item = std::result::Result<Bytes, Closed>> {
    stream::unfold(Some(cursor), |cursor| async move {
        let mut cursor = cursor?;
        let step = match cursor.pending.take() {
            Some(step) => Some(step),
            None => cursor.steps.recv().await,
        };
        let frame = &cursor.job.frame;
        match step {
            Some(Step::Token(word)) => {
                let event = sse(&frame.event(&word, None));
                Some((Ok(Bytes::from(event)), Some(cursor)))
            }
            Some(Step::End(usage)) => Some((Ok(last_events(&cursor.job, usage)), None)),
            Some(Step::Truncated { cleanly: true }) => None,
            Some(Step::Truncated { cleanly: false }) => {
                sleep(FLUSH_TIME).await;
                Some((Err(Closed), None))
            }
            None => Some((Err(Closed), None)),
        }
    })
}

fn last_events(job: &Job, usage: AnswerUsage) -> Bytes {
    let mut text = sse(&job.frame.event("", Some(job.finish_reason())));
    if job.include_usage {
        text.push_str(&sse(&job.frame.usage_event(usage)));
    }
    text.push_str("data: [DONE]\n\n");
    Bytes::from(text)
}

fn sse(event: &Value) -> String {
    format!("data: {event}\n\n")
}

/// Status, code and message of a request that is not executed.
struct Refusal(StatusCode, &'static str, &'static str);

impl Refusal {
    fn respond(self) -> Response<Body> {
        let Refusal(status, code, message) = self;
        let kind = if status.is_server_error() {
            "server_error"
        } else {
            "invalid_request_error"
        };
        let error = json!({"message": message, "type": kind, "code": code, "param": null});
        http::json_response(status, &json!({"error": error}))
    }
}
