//! Stand-in for a plain service whose calls must not run twice.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::error::Result;
use crate::http::{self, Closed, ConnectionGate, Handler, HandlerResult, Listener};

/// Interval at which a service that is to stop counts its calls.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time in which the bytes of an answer are sent before the service stops.
const SEND_TIME: Duration = Duration::from_millis(50);

/// Settings of a plain service, which stay the same while it runs.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Time between the arrival and the execution of a call.
    pub delay: Duration,
    /// Time after a crash during which connections are refused.
    pub restart_time: Duration,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(1),
            restart_time: Duration::from_millis(500),
        }
    }
}

/// Faults of a plain service; each applies to every call while it is set.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Resets all connections, also new ones.
    pub down: bool,
    /// Crashes instead of executing a call.
    pub crash_before: bool,
    /// Crashes after the execution of a call, before its answer.
    pub crash_after: bool,
    /// Closes the connection after the execution of a call, without an answer.
    pub lose_answer: bool,
    /// Answer with neither a length nor chunks, which every call gets.
    pub unframed: Option<UnframedAnswer>,
    /// Time between arrival and execution in addition to the configured one.
    pub extra_delay: Duration,
}

/// Answer that ends with its connection.
#[derive(Debug, Clone, Copy)]
pub struct UnframedAnswer {
    /// Media type.
    pub content_type: &'static str,
    /// Bytes that are sent.
    pub body: &'static str,
    /// Whether the answer ends only when the service stops.
    pub held: bool,
}

/// Record of a call that the service executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedCall {
    /// Value of the header `x-request-id`; empty if absent.
    pub request_id: String,
    /// Field `operation` of the JSON body, which names the operation that must not
    /// run twice; empty if absent.
    pub operation: String,
    /// HTTP method.
    pub method: String,
    /// Path of the request.
    pub path: String,
}

#[derive(Debug)]
struct ServiceCore {
    settings: ServiceSettings,
    faults: Mutex<ServiceFaults>,
    calls: Mutex<Vec<ExecutedCall>>,
    /// Number of crashes so far.
    crashes: AtomicU64,
    gate: Arc<ConnectionGate>,
}

/// Handle of a running plain service; dropping it stops the service.
#[derive(Debug)]
pub struct ServiceServer {
    core: Arc<ServiceCore>,
    listener: Listener,
}

impl ServiceServer {
    /// Starts a service on a free loopback port.
    pub async fn start(settings: ServiceSettings) -> Result<Self> {
        let core = Arc::new(ServiceCore {
            settings,
            faults: Mutex::default(),
            calls: Mutex::default(),
            crashes: AtomicU64::new(0),
            gate: ConnectionGate::new(),
        });
        let listener = Listener::start(core.clone(), core.gate.clone()).await?;
        Ok(Self { core, listener })
    }

    /// Loopback address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces all faults; calls that already wait keep the previous ones.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.core.gate.set_down(faults.down);
        *self.core.faults.lock().unwrap() = faults;
    }

    /// Executed calls in order of their execution.
    pub fn calls(&self) -> Vec<ExecutedCall> {
        self.core.calls.lock().unwrap().clone()
    }

    /// Number of times that one operation was executed.
    pub fn executions(&self, operation: &str) -> usize {
        let calls = self.core.calls.lock().unwrap();
        calls
            .iter()
            .filter(|call| call.operation == operation)
            .count()
    }

    /// Answers all calls with neither a length nor chunks from now on.
    pub fn answer_unframed(&self, answer: UnframedAnswer) {
        self.set_faults(ServiceFaults {
            unframed: Some(answer),
            ..ServiceFaults::default()
        });
    }

    /// Stops the service once it has executed `calls` calls and sent what it has of their
    /// answers.
    pub async fn stop_after_calls(self, calls: usize) {
        while self.calls().len() < calls {
            sleep(POLL_INTERVAL).await;
        }
        sleep(SEND_TIME).await;
        self.stop().await;
    }

    /// Closes all connections and stops the service.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl ServiceCore {
    /// Drops the calls that wait and refuses connections until the restart time is
    /// over.
    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        self.gate
            .refuse_until(Instant::now() + self.settings.restart_time);
    }

    /// Executes a call after its delay, unless the service crashes meanwhile.
    async fn execute(self: Arc<Self>, call: ExecutedCall) -> HandlerResult {
        let faults = self.faults.lock().unwrap().clone();
        let crashes = self.crashes.load(Ordering::SeqCst);
        sleep(self.settings.delay + faults.extra_delay).await;
        if self.crashes.load(Ordering::SeqCst) != crashes {
            return Err(Closed);
        }
        if faults.crash_before {
            self.crash();
            return Err(Closed);
        }
        self.calls.lock().unwrap().push(call.clone());
        if faults.crash_after {
            self.crash();
        }
        if faults.crash_after || faults.lose_answer {
            return Err(Closed);
        }
        if let Some(answer) = faults.unframed {
            let bytes = Bytes::from_static(answer.body.as_bytes());
            let respond = match answer.held {
                true => http::held_response,
                false => http::unframed_response,
            };
            return Ok(respond(answer.content_type, bytes));
        }
        let body = json!({"operation": call.operation, "status": "executed"});
        let response = http::json_response(StatusCode::OK, &body);
        Ok(http::with_header(
            response,
            "x-request-id",
            &call.request_id,
        ))
    }
}

impl Handler for ServiceCore {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let mut call = ExecutedCall {
            request_id: http::header_text(&request, "x-request-id").to_owned(),
            operation: String::new(),
            method: request.method().to_string(),
            path: request.uri().path().to_owned(),
        };
        let bytes = http::read_body(request).await?;
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        call.operation = body["operation"].as_str().unwrap_or_default().to_owned();
        // In its own task, so that the call runs even if its caller disconnects.
        tokio::spawn(self.execute(call))
            .await
            .unwrap_or(Err(Closed))
    }
}
