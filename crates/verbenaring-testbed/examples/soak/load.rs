//! Callers of the run. Each retries at other nodes and notes what it was told.

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

/// Deadline of the contracts of the run.
pub const DEADLINE: Duration = Duration::from_secs(6);
/// Longest wait for a whole answer: the contract's deadline and a margin.
const TRY_LIMIT: Duration = Duration::from_secs(10);
/// Tries of one request.
const MAX_TRIES: usize = 10;

/// Customer of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caller {
    /// Customer and bearer key.
    pub customer: &'static str,
    /// Region whose nodes are used; none for all nodes.
    pub region: Option<&'static str>,
}

impl Caller {
    /// Whether only nodes of a region are used that the contract may exclude.
    fn is_bound(&self) -> bool {
        self.region.is_some_and(|region| region != "dublin")
    }
}

/// What one booking was told.
pub struct Booking {
    /// Business key.
    pub operation: String,
    /// A try was answered as executed.
    pub confirmed: bool,
    /// Every try was answered with `not_run`.
    pub all_not_run: bool,
}

/// Counters and findings of the callers.
#[derive(Default)]
pub struct LoadReport {
    /// Requests started.
    pub requests: AtomicU64,
    /// Requests that succeeded after any number of tries.
    pub succeeded: AtomicU64,
    /// Requests refused because the contract excludes the region of all usable nodes.
    pub excluded: AtomicU64,
    /// Tries of all requests.
    pub tries: AtomicU64,
    /// Violations, as found.
    pub findings: Mutex<Vec<(&'static str, String)>>,
    /// Bookings.
    pub bookings: Mutex<Vec<Booking>>,
    /// Refusals by code.
    pub refusals: Mutex<BTreeMap<String, u64>>,
    /// Requests that did not succeed, by what their last try was told.
    pub failures: Mutex<BTreeMap<String, u64>>,
}

impl LoadReport {
    /// Notes a violation.
    pub fn find(&self, kind: &'static str, detail: String) {
        eprintln!("violation: {kind}: {detail}");
        self.findings.lock().unwrap().push((kind, detail));
    }

    fn note_failure(&self, last: &str) {
        let mut failures = self.failures.lock().unwrap();
        *failures.entry(last.to_owned()).or_default() += 1;
    }

    fn note_refusal(&self, answer: &TestAnswer) -> String {
        let code = answer.json()["error"]["code"]
            .as_str()
            .unwrap_or("none")
            .to_owned();
        if code == "invalid_api_key" {
            self.find("valid key refused", answer.json()["error"].to_string());
        }
        let label = format!("{} {code}", answer.status.as_u16());
        *self.refusals.lock().unwrap().entry(label).or_default() += 1;
        code
    }
}

/// Shared parts of the callers.
pub struct Load {
    /// Nodes to call.
    pub fleet: Vec<Arc<FleetNode>>,
    /// Findings.
    pub report: Arc<LoadReport>,
    /// Start of the run, for the times in prompts.
    pub start: Instant,
    /// Ends the callers.
    pub end: CancellationToken,
}

/// How a request ended after its last try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestEnd {
    Succeeded,
    Failed,
    /// The contract does not allow the region of the caller's nodes.
    Excluded,
}

/// Result of one try as the caller sees it.
enum TryResult {
    Answer(TestAnswer),
    /// Nothing or only a part of an answer arrived.
    NoAnswer,
}

impl Load {
    /// Sends requests of one caller until the end of the run.
    pub async fn call(self: Arc<Self>, caller: Caller, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut number = 0;
        while !self.end.is_cancelled() {
            number += 1;
            self.report.requests.fetch_add(1, Ordering::Relaxed);
            let name = format!("{}-{seed}-{number}", caller.customer);
            let end = if rng.random_bool(0.4) {
                self.book(caller, &name, &mut rng).await
            } else {
                self.chat(caller, &name, &mut rng).await
            };
            match end {
                RequestEnd::Succeeded => self.report.succeeded.fetch_add(1, Ordering::Relaxed),
                RequestEnd::Excluded => self.report.excluded.fetch_add(1, Ordering::Relaxed),
                RequestEnd::Failed => 0,
            };
            let pause = rng.random_range(20..120);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn chat(&self, caller: Caller, name: &str, rng: &mut ChaCha8Rng) -> RequestEnd {
        let tokens = rng.random_range(4..200);
        let stream = rng.random_bool(0.5);
        let prompt = format!("{name} {} please", self.start.elapsed().as_millis());
        let expected = expected_answer(&prompt, tokens);
        let mut last = String::new();
        for _ in 0..MAX_TRIES {
            last = "no whole answer".to_owned();
            let node = self.choose(caller, rng);
            let body = chat_body(&prompt, tokens, stream);
            let path = "/v1/chat/completions";
            let result = self.try_at(node, caller, path, &[], body, name).await;
            if let TryResult::Answer(answer) = result {
                if answer.status.is_success() {
                    if self.check_chat(&answer, &expected, name) {
                        return RequestEnd::Succeeded;
                    }
                } else {
                    last = self.report.note_refusal(&answer);
                    if last == "residency" && caller.is_bound() {
                        return RequestEnd::Excluded;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        self.report.note_failure(&last);
        RequestEnd::Failed
    }

    /// Whether an answer is whole; wrong ones are violations.
    fn check_chat(&self, answer: &TestAnswer, expected: &str, name: &str) -> bool {
        let text = answer.chat_text();
        if !expected.starts_with(&text) {
            let detail = format!("{name} got {text:?}");
            self.report.find("answer to the wrong caller", detail);
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
                .find("partial answer that looked complete", detail);
        }
        complete && text == expected
    }

    async fn book(&self, caller: Caller, name: &str, rng: &mut ChaCha8Rng) -> RequestEnd {
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
            let node = self.choose(caller, rng);
            let headers = [("idempotency-key", key.as_str())];
            let path = "/v1/services/jobs/bookings";
            let result = self
                .try_at(node, caller, path, &headers, body.clone(), name)
                .await;
            match result {
                TryResult::Answer(answer) if answer.status.is_success() => {
                    booking.confirmed = !answer.broken;
                    booking.all_not_run = false;
                    let own = answer.json()["operation"] == name;
                    if !own && !answer.broken {
                        let detail = format!("{name} got {}", answer.json());
                        self.report.find("answer to the wrong caller", detail);
                    }
                }
                TryResult::Answer(answer) => {
                    let code = self.report.note_refusal(&answer);
                    booking.confirmed = code == "operation_done";
                    excluded = code == "residency" && caller.is_bound();
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
        let end = match booking.confirmed {
            true => RequestEnd::Succeeded,
            false if excluded => RequestEnd::Excluded,
            false => RequestEnd::Failed,
        };
        if end == RequestEnd::Failed {
            self.report.note_failure(&last);
        }
        self.report.bookings.lock().unwrap().push(booking);
        end
    }

    fn choose(&self, caller: Caller, rng: &mut ChaCha8Rng) -> &FleetNode {
        let usable: Vec<&Arc<FleetNode>> = self
            .fleet
            .iter()
            .filter(|node| caller.region.is_none_or(|region| region == node.region))
            .collect();
        // A few requests enter in a region that the contract may not allow.
        let strayed = rng.random_bool(0.03);
        let pool = if strayed {
            self.fleet.iter().collect()
        } else {
            usable
        };
        pool.choose(rng).expect("the fleet is not empty")
    }

    /// One try on a connection of its own, so that its end concerns this try only.
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
        let (before, live) = observe(node);
        let client = TestClient::new(node.address, caller.customer);
        let send = async {
            match client.open(Method::POST, path, headers, body).await {
                Ok(answer) => Ok(read_answer(answer).await),
                Err(error) => Err(error.to_string()),
            }
        };
        let result = tokio::time::timeout(TRY_LIMIT, send).await;
        let disturbed = !live || observe(node) != (before, true);
        let lost = match &result {
            Err(_) => Some("no whole answer in time".to_owned()),
            Ok(Err(error)) => Some(error.clone()),
            Ok(Ok(answer)) if answer.broken && !has_error_event(answer) => {
                Some("answer broke without an error event".to_owned())
            }
            Ok(Ok(_)) => None,
        };
        if let Some(reason) = lost.filter(|_| !disturbed) {
            let detail = format!("{name} at {}: {reason}", node.vm);
            self.report.find("request lost without an error", detail);
        }
        match result {
            Ok(Ok(answer)) => TryResult::Answer(answer),
            _ => TryResult::NoAnswer,
        }
    }
}

fn observe(node: &FleetNode) -> (u64, bool) {
    let state = node.state();
    (
        state.disturbances,
        matches!(state.phase, NodePhase::Live(_)),
    )
}

fn has_error_event(answer: &TestAnswer) -> bool {
    answer
        .events()
        .iter()
        .any(|event| event.contains("\"error\""))
}
