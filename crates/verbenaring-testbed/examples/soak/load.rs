//! Callers of the run. Each retries failed requests at other nodes and records the
//! answers.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use verbenaring_testbed::client::{TestAnswer, TestClient, chat_body, read_answer};
use verbenaring_testbed::expected_answer;

use crate::fleet::{FleetNode, NodePhase};

/// Deadline that the contracts of the run set for each call.
pub const DEADLINE: Duration = Duration::from_secs(6);
/// Longest wait for a complete answer: the contract's deadline and a margin.
const TRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of tries after which a request has failed.
const MAX_TRIES: usize = 10;

/// Simulated caller, which sends one request after the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caller {
    /// Name of the customer, which is also its bearer key.
    pub customer: &'static str,
    /// Region whose nodes are called; `None` for all nodes.
    pub region: Option<&'static str>,
}

impl Caller {
    /// Whether all called nodes are in a region that the contract may exclude.
    fn may_be_excluded(&self) -> bool {
        self.region.is_some_and(|region| region != "dublin")
    }
}

/// Outcome of one booking as its caller saw it.
pub struct Booking {
    /// Name of the operation, unique in the run.
    pub operation: String,
    /// Whether a try was answered as executed.
    pub confirmed: bool,
    /// Whether every try was answered with `not_run`.
    pub all_not_run: bool,
}

/// Counters of the callers and the violations found by all parts of the run.
#[derive(Default)]
pub struct LoadReport {
    /// Number of requests, each counted once however often it is tried.
    pub requests: AtomicU64,
    /// Number of requests of which a try succeeded.
    pub succeeded: AtomicU64,
    /// Number of requests refused because the contract excludes the region of all nodes
    /// that the caller uses.
    pub excluded: AtomicU64,
    /// Number of tries of all requests.
    pub tries: AtomicU64,
    /// Name of the violated check and detail, in the order found.
    pub violations: Mutex<Vec<(&'static str, String)>>,
    /// All finished bookings, to be compared with what the services executed.
    pub bookings: Mutex<Vec<Booking>>,
    /// Number of refusals by HTTP status and error code.
    pub refusals: Mutex<BTreeMap<String, u64>>,
    /// Number of failed requests by the result of their last try.
    pub failures: Mutex<BTreeMap<String, u64>>,
}

impl LoadReport {
    /// Prints and stores a violation of the check `kind`.
    pub fn record_violation(&self, kind: &'static str, detail: String) {
        eprintln!("violation: {kind}: {detail}");
        self.violations.lock().unwrap().push((kind, detail));
    }

    fn record_failure(&self, last: &str) {
        let mut failures = self.failures.lock().unwrap();
        *failures.entry(last.to_owned()).or_default() += 1;
    }

    fn record_refusal(&self, answer: &TestAnswer) -> String {
        let code = answer.json()["error"]["code"]
            .as_str()
            .unwrap_or("none")
            .to_owned();
        if code == "invalid_api_key" {
            self.record_violation("valid key refused", answer.json()["error"].to_string());
        }
        let label = format!("{} {code}", answer.status.as_u16());
        *self.refusals.lock().unwrap().entry(label).or_default() += 1;
        code
    }
}

/// State shared by all callers.
pub struct Load {
    /// Nodes that callers choose from.
    pub fleet: Vec<Arc<FleetNode>>,
    /// Receives counters and violations.
    pub report: Arc<LoadReport>,
    /// Start of the run, to which the times in prompts are relative.
    pub start: Instant,
    /// Stops each caller after its current request.
    pub cancellation: CancellationToken,
}

/// Outcome of a request after its last try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    Succeeded,
    Failed,
    /// The contract does not allow the region of the caller's nodes.
    Excluded,
}

/// Result of one try as seen by the caller.
enum TryResult {
    Answer(TestAnswer),
    /// No head of an answer arrived, or the answer did not end in time.
    NoAnswer,
}

impl Load {
    /// Sends the requests of one caller until cancelled.
    pub async fn run_caller(self: Arc<Self>, caller: Caller, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut request_number = 0;
        while !self.cancellation.is_cancelled() {
            request_number += 1;
            self.report.requests.fetch_add(1, Ordering::Relaxed);
            let name = format!("{}-{seed}-{request_number}", caller.customer);
            let outcome = if rng.random_bool(0.4) {
                self.book(caller, &name, &mut rng).await
            } else {
                self.chat(caller, &name, &mut rng).await
            };
            match outcome {
                RequestOutcome::Succeeded => self.report.succeeded.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Excluded => self.report.excluded.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Failed => 0,
            };
            let pause = rng.random_range(20..120);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn chat(&self, caller: Caller, name: &str, rng: &mut ChaCha8Rng) -> RequestOutcome {
        let tokens = rng.random_range(4..200);
        let stream = rng.random_bool(0.5);
        let prompt = format!("{name} {} please", self.start.elapsed().as_millis());
        let expected = expected_answer(&prompt, tokens);
        let mut last = String::new();
        for _ in 0..MAX_TRIES {
            last = "no whole answer".to_owned();
            let node = self.choose_node(caller, rng);
            let body = chat_body(&prompt, tokens, stream);
            let path = "/v1/chat/completions";
            let result = self.try_at(node, caller, path, &[], body, name).await;
            if let TryResult::Answer(answer) = result {
                if answer.status.is_success() {
                    if self.check_chat(&answer, &expected, name) {
                        return RequestOutcome::Succeeded;
                    }
                } else {
                    last = self.report.record_refusal(&answer);
                    if last == "residency" && caller.may_be_excluded() {
                        return RequestOutcome::Excluded;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        self.report.record_failure(&last);
        RequestOutcome::Failed
    }

    /// Whether an answer is complete and correct. Records a violation if its text is wrong,
    /// or if it looks complete with a part of the text missing.
    fn check_chat(&self, answer: &TestAnswer, expected: &str, name: &str) -> bool {
        let text = answer.chat_text();
        if !expected.starts_with(&text) {
            let detail = format!("{name} got {text:?}");
            self.report
                .record_violation("answer to the wrong caller", detail);
            return false;
        }
        let events = answer.events();
        let streamed = answer
            .header("content-type")
            .starts_with("text/event-stream");
        let ended = !streamed || events.last().is_some_and(|event| event == "[DONE]");
        let complete = ended && !answer.broken;
        if complete && text != expected {
            let detail = format!("{name} got {} of {} bytes", text.len(), expected.len());
            self.report
                .record_violation("partial answer that looked complete", detail);
        }
        complete && text == expected
    }

    async fn book(&self, caller: Caller, name: &str, rng: &mut ChaCha8Rng) -> RequestOutcome {
        let key = Uuid::now_v7().to_string();
        let body = json!({ "operation": name }).to_string().into_bytes();
        let mut booking = Booking {
            operation: name.to_owned(),
            confirmed: false,
            all_not_run: true,
        };
        let mut excluded = false;
        let mut last = String::new();
        for _ in 0..MAX_TRIES {
            let node = self.choose_node(caller, rng);
            let headers = [("idempotency-key", key.as_str())];
            let path = "/v1/services/jobs/bookings";
            let result = self
                .try_at(node, caller, path, &headers, body.clone(), name)
                .await;
            match result {
                TryResult::Answer(answer) if answer.status.is_success() => {
                    booking.confirmed = !answer.broken;
                    booking.all_not_run = false;
                    let matches_request = answer.json()["operation"] == name;
                    if !matches_request && !answer.broken {
                        let detail = format!("{name} got {}", answer.json());
                        self.report
                            .record_violation("answer to the wrong caller", detail);
                    }
                }
                TryResult::Answer(answer) => {
                    let code = self.report.record_refusal(&answer);
                    booking.confirmed = code == "operation_done";
                    excluded = code == "residency" && caller.may_be_excluded();
                    last = code;
                    booking.all_not_run &= answer.header("x-verbenaring-outcome") == "not_run";
                }
                TryResult::NoAnswer => {
                    booking.all_not_run = false;
                    last = "no whole answer".to_owned();
                }
            }
            if booking.confirmed || excluded {
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let outcome = match booking.confirmed {
            true => RequestOutcome::Succeeded,
            false if excluded => RequestOutcome::Excluded,
            false => RequestOutcome::Failed,
        };
        if outcome == RequestOutcome::Failed {
            self.report.record_failure(&last);
        }
        self.report.bookings.lock().unwrap().push(booking);
        outcome
    }

    fn choose_node(&self, caller: Caller, rng: &mut ChaCha8Rng) -> &FleetNode {
        let candidates: Vec<&Arc<FleetNode>> = self
            .fleet
            .iter()
            .filter(|node| caller.region.is_none_or(|region| region == node.region))
            .collect();
        // Some requests go to a region that the contract may exclude.
        let any_region = rng.random_bool(0.03);
        let pool = if any_region {
            self.fleet.iter().collect()
        } else {
            candidates
        };
        pool.choose(rng).expect("the fleet is not empty")
    }

    /// Makes one try on its own connection, so that a broken connection affects only this
    /// try.
    ///
    /// A lost answer is a violation unless the run intervened in the node meanwhile.
    async fn try_at(
        &self,
        node: &FleetNode,
        caller: Caller,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        name: &str,
    ) -> TryResult {
        self.report.tries.fetch_add(1, Ordering::Relaxed);
        let (count_before, live) = observe_node(node);
        let client = TestClient::new(node.address, caller.customer);
        let send = async {
            match client.open(Method::POST, path, headers, body).await {
                Ok(answer) => Ok(read_answer(answer).await),
                Err(error) => Err(error.to_string()),
            }
        };
        let result = tokio::time::timeout(TRY_TIMEOUT, send).await;
        let intervened = !live || observe_node(node) != (count_before, true);
        let loss_reason = match &result {
            Err(_) => Some("no whole answer in time".to_owned()),
            Ok(Err(error)) => Some(error.clone()),
            Ok(Ok(answer)) if answer.broken && !has_error_event(answer) => {
                Some("answer broke without an error event".to_owned())
            }
            Ok(Ok(_)) => None,
        };
        if let Some(reason) = loss_reason.filter(|_| !intervened) {
            let detail = format!("{name} at {}: {reason}", node.vm);
            self.report
                .record_violation("request lost without an error", detail);
        }
        match result {
            Ok(Ok(answer)) => TryResult::Answer(answer),
            _ => TryResult::NoAnswer,
        }
    }
}

/// Number of interventions in a node, and whether it is live.
fn observe_node(node: &FleetNode) -> (u64, bool) {
    let state = node.state();
    (
        state.intervention_count,
        matches!(state.phase, NodePhase::Live(_)),
    )
}

fn has_error_event(answer: &TestAnswer) -> bool {
    answer
        .events()
        .iter()
        .any(|event| event.contains("\"error\""))
}
