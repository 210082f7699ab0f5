//! Orders to the engines of this data centre.
//!
//! One node per data centre holds the order lease in the platform store. While
//! it has a permit it brings every engine to the models of its document and
//! repeats an order until the engine confirms it. The rules of the lease are in
//! `docs/spec/lease.md`: the connection is opened first, the permit is checked
//! last, and a connection that takes longer than the transit time is reset.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use verbenaring_policy::id::{ModelName, ServerId};
use verbenaring_policy::lease::{
    FencingToken, LeaseAnswer, LeaseHolder, LeaseRequest, LeaseTiming, OrderPermit,
};
use verbenaring_policy::rendezvous::rendezvous;
use verbenaring_policy::time::Moment;
use verbenaring_protocol::document::{KindDocument, ServerTerms};

use crate::controller::NodeCore;
use crate::store::{PlatformStore, StoreResult, SwapCondition, SwapOutcome, SwapRequest};

/// Prefix of the lease keys.
pub const ORDER_PREFIX: &str = "order/";
/// Model loads that may run at once in a data centre: the weight store limits
/// the rate of reads.
pub const MAX_MODEL_LOADS: usize = 2;
/// Nodes of a data centre that ask for the lease. More would only add calls to
/// the store: each reads the lease key once per renewal period.
const CANDIDATES: usize = 2;
/// Time between two looks for engines that need an order.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// Longest time to open a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// First wait after a failed order; it doubles with every further failure.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// Longest wait after a failed order.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(10);
/// Largest answer to an order that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Result of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderResult {
    /// The engine has the ordered state.
    Confirmed,
    /// The engine did not take the order.
    Refused,
    /// The engine may still take the order.
    NoAnswer,
    /// The lease ended before the order was sent.
    NoPermit,
}

/// State that an engine was ordered to.
type OrderGoal = (FencingToken, Vec<ModelName>);

/// Orders to one engine.
#[derive(Debug, Default)]
struct OrderProgress {
    running: bool,
    confirmed: Option<OrderGoal>,
    failures: u32,
    retry: Moment,
}

impl OrderProgress {
    fn finish(&mut self, goal: OrderGoal, result: OrderResult, now: Moment) {
        self.running = false;
        if result == OrderResult::Confirmed {
            self.confirmed = Some(goal);
            self.failures = 0;
            return;
        }
        self.confirmed = None;
        let factor = 1 << self.failures.min(6);
        self.retry = now + MAX_RETRY_WAIT.min(RETRY_WAIT * factor);
        self.failures += 1;
    }
}

/// Order on its way to an engine.
struct OrderRun {
    terms: Arc<ServerTerms>,
    token: FencingToken,
    loads: bool,
}

/// Lease and orders of one node.
pub struct OrderDriver<S> {
    core: Arc<NodeCore<S>>,
    store: Arc<S>,
    terms: LeaseTiming,
    holder: Mutex<LeaseHolder>,
    loads: Semaphore,
}

impl<S: PlatformStore> OrderDriver<S> {
    /// Driver that holds no lease yet.
    pub fn new(core: &Arc<NodeCore<S>>, store: &Arc<S>) -> Arc<Self> {
        let terms = LeaseTiming::default();
        Arc::new(Self {
            core: core.clone(),
            store: store.clone(),
            terms,
            holder: Mutex::new(LeaseHolder::new(terms)),
            loads: Semaphore::new(MAX_MODEL_LOADS),
        })
    }

    /// Runs until `shutdown`, then gives the lease up.
    pub async fn run(self: Arc<Self>, shutdown: CancellationToken) {
        tokio::join!(
            self.clone().drive_lease(&shutdown),
            self.clone().drive_orders(&shutdown)
        );
    }

    async fn drive_lease(self: Arc<Self>, shutdown: &CancellationToken) {
        let mut renewals = tokio::time::interval(self.terms.renewal_interval());
        renewals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut lease = None;
        let renew = async {
            loop {
                renewals.tick().await;
                self.renew(&mut lease).await;
            }
        };
        shutdown.run_until_cancelled(renew).await;
        self.lock().release();
        self.end_lease(&mut lease).await;
    }

    /// Sends one request about the lease and applies its answer.
    async fn renew(&self, lease: &mut Option<i64>) {
        let Some(call) = self.lock().request(self.core.clock.now()) else {
            return;
        };
        let answer = match (call.request, *lease) {
            (LeaseRequest::Acquire, _) if !self.is_candidate() => LeaseAnswer::Refused,
            (LeaseRequest::Acquire, _) => self.acquire(lease).await.unwrap_or(LeaseAnswer::Lost),
            (LeaseRequest::Renew(_), None) => LeaseAnswer::Refused,
            (LeaseRequest::Renew(_), Some(lease)) => match self.store.keep_alive(lease).await {
                Ok(true) => LeaseAnswer::Renewed,
                Ok(false) => LeaseAnswer::Refused,
                Err(_) => LeaseAnswer::Lost,
            },
        };
        match (call.request, answer) {
            (_, LeaseAnswer::Granted(token)) => {
                log::info!("order lease granted with token {}", token.0);
            }
            (LeaseRequest::Renew(token), LeaseAnswer::Refused) => {
                log::warn!("order lease with token {} lapsed", token.0);
            }
            _ => {}
        }
        let now = self.core.clock.now();
        self.lock().answer(call.serial, answer, now);
    }

    /// Creates the lease key; its creation revision is the token.
    async fn acquire(&self, lease: &mut Option<i64>) -> StoreResult<LeaseAnswer> {
        // A lease whose key may have been created without notice is not used.
        self.end_lease(lease).await;
        let key = format!("{ORDER_PREFIX}{}", self.core.settings.data_centre.name);
        if self.store.get(&key).await?.is_some() {
            return Ok(LeaseAnswer::Refused);
        }
        let granted = self.store.grant(self.terms.ttl.as_secs() as u32).await?;
        *lease = Some(granted);
        let request = SwapRequest {
            key,
            condition: SwapCondition::Absent,
            value: Some(self.core.settings.vm.as_str().into()),
            lease: granted,
        };
        match self.store.swap(&[request]).await?.as_slice() {
            [SwapOutcome::Written(revision)] => Ok(LeaseAnswer::Granted(FencingToken(*revision))),
            _ => Ok(LeaseAnswer::Refused),
        }
    }

    async fn end_lease(&self, lease: &mut Option<i64>) {
        if let Some(lease) = lease.take() {
            // A lease that cannot be revoked lapses after its time to live.
            let _ = self.store.revoke(lease).await;
        }
    }

    fn is_candidate(&self) -> bool {
        let nodes = self.core.cluster.nodes.load();
        let own = &self.core.settings.vm;
        let vms = nodes.near.iter().map(|node| &node.vm).chain([own]);
        let stopping = self.core.cluster.is_leaving();
        !stopping && rendezvous("order lease", vms, CANDIDATES).contains(&own)
    }

    fn permit(&self) -> Option<OrderPermit> {
        self.lock().permit(self.core.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, LeaseHolder> {
        self.holder
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }
}

impl<S: PlatformStore> OrderDriver<S> {
    async fn drive_orders(self: Arc<Self>, shutdown: &CancellationToken) {
        let mut looks = tokio::time::interval(LOOK_PERIOD);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut progress: HashMap<ServerId, OrderProgress> = HashMap::new();
        let mut runs = JoinSet::new();
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = looks.tick() => self.start_orders(&mut progress, &mut runs),
                Some(Ok((server, goal, result))) = runs.join_next() => {
                    let now = self.core.clock.now();
                    progress.entry(server).or_default().finish(goal, result, now);
                }
            }
        }
    }

    fn start_orders(
        self: &Arc<Self>,
        progress: &mut HashMap<ServerId, OrderProgress>,
        runs: &mut JoinSet<(ServerId, OrderGoal, OrderResult)>,
    ) {
        let Some(permit) = self.permit() else { return };
        let now = self.core.clock.now();
        let catalog = self.core.catalog.load();
        let addressed = |terms: &&Arc<ServerTerms>| self.is_addressed(terms, permit);
        for terms in catalog.servers().iter().filter(addressed) {
            let progress = progress.entry(terms.server.clone()).or_default();
            let goal = (permit.token, terms.models.clone());
            let lacks = self.core.backends.lacks_model(terms);
            let done = progress.confirmed.as_ref() == Some(&goal) && !lacks;
            if done || progress.running || now < progress.retry {
                continue;
            }
            progress.running = true;
            let run = OrderRun {
                terms: terms.clone(),
                token: permit.token,
                loads: lacks,
            };
            let driver = self.clone();
            runs.spawn(async move {
                let result = driver.give(&run).await;
                (run.terms.server.clone(), goal, result)
            });
        }
    }

    /// Whether the engine may get orders now. A document without models states
    /// no target.
    fn is_addressed(&self, terms: &ServerTerms, permit: OrderPermit) -> bool {
        terms.kind == KindDocument::Engine
            && terms.data_centre == self.core.settings.data_centre
            && !terms.leaving
            && !terms.models.is_empty()
            && (permit.unfenced || terms.checks_fencing)
    }

    /// Gives one order; one that loads a model waits for the budget.
    async fn give(&self, run: &OrderRun) -> OrderResult {
        let slot = match run.loads {
            true => self.loads.acquire().await.ok(),
            false => None,
        };
        let server = &run.terms.server;
        let result = match self.send(run).await {
            Ok(result) => result,
            Err(reason) => {
                log::warn!("order to {server} failed: {reason}");
                OrderResult::Refused
            }
        };
        match result {
            OrderResult::Confirmed => {
                let models = &run.terms.models;
                self.core.backends.record_models(&run.terms, models);
                log::info!("{server} confirmed an order with token {}", run.token.0);
            }
            OrderResult::NoAnswer if slot.is_some() => {
                log::warn!("{server} did not answer an order");
                // The engine may be loading: its share of the budget stays taken.
                tokio::time::sleep(self.terms.max_transit).await;
            }
            _ => {}
        }
        result
    }

    /// Opens a connection, checks the permit and sends the order.
    async fn send(&self, run: &OrderRun) -> Result<OrderResult, String> {
        let terms = &run.terms;
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(terms.address))
            .await
            .map_err(|_| "connection timed out".to_owned())?
            .map_err(|error| error.to_string())?;
        // Closing discards what was not delivered, so that no order arrives
        // after the transit time.
        socket
            .set_zero_linger()
            .map_err(|error| error.to_string())?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|error| error.to_string())?;
        // Dropped with the connection when this function returns.
        let mut connections = JoinSet::new();
        connections.spawn(connection);
        let body = json!({ "models": terms.models, "fencing_token": run.token.0 });
        let message = Request::post("/v1/orders")
            .header(HOST, terms.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| error.to_string())?;
        let valid = |permit: &OrderPermit| permit.token == run.token;
        let permit = self.permit().filter(valid);
        if !permit.is_some_and(|permit| self.is_addressed(terms, permit)) {
            return Ok(OrderResult::NoPermit);
        }
        let exchange = async {
            let answer = sender.send_request(message).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
            // The status decides; the rest is read to end the exchange.
            let _ = body.collect().await;
            Ok::<StatusCode, hyper::Error>(status)
        };
        match tokio::time::timeout(self.terms.max_transit, exchange).await {
            Ok(Ok(status)) if status.is_success() => Ok(OrderResult::Confirmed),
            Ok(Ok(status)) => Err(format!("status {status}")),
            _ => Ok(OrderResult::NoAnswer),
        }
    }
}
