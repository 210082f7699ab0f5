//! Orders that tell the engines of this data centre which models to load.
//!
//! One node per data centre holds the order lease in the platform store. While
//! its lease permits orders, it sends each engine the models listed in the
//! engine's document and repeats the order until the engine confirms it. The
//! rules of the lease are in `docs/spec/lease.md`: the connection is opened
//! first, the permit is checked last, and a connection that takes longer than
//! the transit time is reset.

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

/// Prefix of the lease keys in the platform store; the name of a data centre follows.
pub const ORDER_PREFIX: &str = "order/";
/// Model loads that may run at once in a data centre, because the store of the
/// model weights limits the rate of reads.
pub const MAX_MODEL_LOADS: usize = 2;
/// Nodes of a data centre that try to acquire the lease. More would only add calls
/// to the store, as each reads the lease key once per renewal interval.
const MAX_LEASE_CANDIDATES: usize = 2;
/// Interval at which the node looks for engines that need an order.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first failed order to an engine; it doubles with every further
/// failure in a row, up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Longest body of an answer to an order that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderResult {
    /// The engine has loaded the ordered models.
    Confirmed,
    /// The order could not be sent, or the engine rejected it.
    Refused,
    /// The order was sent without an answer; the engine may still execute it.
    NoAnswer,
    /// The permit had ended before the order was sent.
    NoPermit,
}

/// Models that an engine is ordered to load, and the token of the order.
type OrderTarget = (FencingToken, Vec<ModelName>);

/// Progress of the orders to one engine.
#[derive(Debug, Default)]
struct OrderProgress {
    running: bool,
    /// Target of the last order, if the engine confirmed it.
    confirmed: Option<OrderTarget>,
    /// Failed orders in a row.
    failures: u32,
    /// Earliest time of the next order after a failure.
    retry_at: Moment,
}

impl OrderProgress {
    fn finish(&mut self, target: OrderTarget, result: OrderResult, now: Moment) {
        self.running = false;
        if result == OrderResult::Confirmed {
            self.confirmed = Some(target);
            self.failures = 0;
            return;
        }
        self.confirmed = None;
        let factor = 1 << self.failures.min(6);
        self.retry_at = now + MAX_RETRY_DELAY.min(INITIAL_RETRY_DELAY * factor);
        self.failures += 1;
    }
}

/// Order to one engine.
struct PendingOrder {
    terms: Arc<ServerTerms>,
    token: FencingToken,
    /// Whether the engine may have to load a model.
    loads_model: bool,
}

/// Holds the order lease of a node and sends its orders.
pub struct OrderDriver<S> {
    core: Arc<NodeCore<S>>,
    store: Arc<S>,
    timing: LeaseTiming,
    holder: Mutex<LeaseHolder>,
    load_permits: Semaphore,
}

impl<S: PlatformStore> OrderDriver<S> {
    /// Creates a driver without a lease.
    pub fn new(core: &Arc<NodeCore<S>>, store: &Arc<S>) -> Arc<Self> {
        let timing = LeaseTiming::default();
        Arc::new(Self {
            core: core.clone(),
            store: store.clone(),
            timing,
            holder: Mutex::new(LeaseHolder::new(timing)),
            load_permits: Semaphore::new(MAX_MODEL_LOADS),
        })
    }

    /// Runs until `shutdown`, then revokes the lease.
    pub async fn run(self: Arc<Self>, shutdown: CancellationToken) {
        tokio::join!(
            self.clone().maintain_lease(&shutdown),
            self.clone().poll_engines(&shutdown)
        );
    }

    async fn maintain_lease(self: Arc<Self>, shutdown: &CancellationToken) {
        let mut renewals = tokio::time::interval(self.timing.renewal_interval());
        renewals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut lease = None;
        let renew = async {
            loop {
                renewals.tick().await;
                self.acquire_or_renew(&mut lease).await;
            }
        };
        shutdown.run_until_cancelled(renew).await;
        self.lock_holder().release();
        self.revoke_lease(&mut lease).await;
    }

    /// Requests or renews the lease and applies the answer of the store.
    async fn acquire_or_renew(&self, lease: &mut Option<i64>) {
        let Some(call) = self.lock_holder().request(self.core.clock.now()) else {
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
                log::warn!("order lease with token {} expired", token.0);
            }
            _ => {}
        }
        let now = self.core.clock.now();
        self.lock_holder().answer(call.serial, answer, now);
    }

    /// Creates the lease key; its creation revision is the fencing token.
    async fn acquire(&self, lease: &mut Option<i64>) -> StoreResult<LeaseAnswer> {
        // An earlier call may have created the key although its answer was lost;
        // such a lease is revoked and not used.
        self.revoke_lease(lease).await;
        let key = format!("{ORDER_PREFIX}{}", self.core.settings.data_centre.name);
        if self.store.get(&key).await?.is_some() {
            return Ok(LeaseAnswer::Refused);
        }
        let granted = self.store.grant(self.timing.ttl.as_secs() as u32).await?;
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

    async fn revoke_lease(&self, lease: &mut Option<i64>) {
        if let Some(lease) = lease.take() {
            // If the call fails, the lease expires after its time to live.
            let _ = self.store.revoke(lease).await;
        }
    }

    fn is_candidate(&self) -> bool {
        let nodes = self.core.cluster.nodes.load();
        let own = &self.core.settings.vm;
        let vms = nodes.local.iter().map(|node| &node.vm).chain([own]);
        let stopping = self.core.cluster.is_leaving();
        !stopping && rendezvous("order lease", vms, MAX_LEASE_CANDIDATES).contains(&own)
    }

    fn permit(&self) -> Option<OrderPermit> {
        self.lock_holder().permit(self.core.clock.now())
    }

    fn lock_holder(&self) -> MutexGuard<'_, LeaseHolder> {
        self.holder
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }
}

impl<S: PlatformStore> OrderDriver<S> {
    async fn poll_engines(self: Arc<Self>, shutdown: &CancellationToken) {
        let mut poll_ticks = tokio::time::interval(POLL_INTERVAL);
        poll_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut progress: HashMap<ServerId, OrderProgress> = HashMap::new();
        let mut running_orders = JoinSet::new();
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = poll_ticks.tick() => self.start_orders(&mut progress, &mut running_orders),
                Some(Ok((server, target, result))) = running_orders.join_next() => {
                    let now = self.core.clock.now();
                    progress.entry(server).or_default().finish(target, result, now);
                }
            }
        }
    }

    fn start_orders(
        self: &Arc<Self>,
        progress: &mut HashMap<ServerId, OrderProgress>,
        running_orders: &mut JoinSet<(ServerId, OrderTarget, OrderResult)>,
    ) {
        let Some(permit) = self.permit() else { return };
        let now = self.core.clock.now();
        let catalog = self.core.catalog.load();
        let eligible = |terms: &&Arc<ServerTerms>| self.accepts_orders(terms, permit);
        for terms in catalog.servers().iter().filter(eligible) {
            let progress = progress.entry(terms.server.clone()).or_default();
            let target = (permit.token, terms.models.clone());
            let lacks_model = self.core.backends.lacks_model(terms);
            let is_current = progress.confirmed.as_ref() == Some(&target) && !lacks_model;
            if is_current || progress.running || now < progress.retry_at {
                continue;
            }
            progress.running = true;
            let order = PendingOrder {
                terms: terms.clone(),
                token: permit.token,
                loads_model: lacks_model,
            };
            let driver = self.clone();
            running_orders.spawn(async move {
                let result = driver.execute(&order).await;
                (order.terms.server.clone(), target, result)
            });
        }
    }

    /// Whether the engine may get orders under `permit`. A document without models
    /// does not say what to load, so its engine gets none.
    fn accepts_orders(&self, terms: &ServerTerms, permit: OrderPermit) -> bool {
        terms.kind == KindDocument::Engine
            && terms.data_centre == self.core.settings.data_centre
            && !terms.leaving
            && !terms.models.is_empty()
            && (permit.unfenced || terms.checks_fencing)
    }

    /// Sends one order; an order that loads a model first waits for a load permit.
    async fn execute(&self, order: &PendingOrder) -> OrderResult {
        let load_permit = match order.loads_model {
            true => self.load_permits.acquire().await.ok(),
            false => None,
        };
        let server = &order.terms.server;
        let result = match self.send(order).await {
            Ok(result) => result,
            Err(reason) => {
                log::warn!("order to {server} failed: {reason}");
                OrderResult::Refused
            }
        };
        match result {
            OrderResult::Confirmed => {
                let models = &order.terms.models;
                self.core.backends.record_models(&order.terms, models);
                log::info!("{server} confirmed an order with token {}", order.token.0);
            }
            OrderResult::NoAnswer if load_permit.is_some() => {
                log::warn!("{server} did not answer an order");
                // The engine may be loading, so the load permit is held for the
                // max_transit time.
                tokio::time::sleep(self.timing.max_transit).await;
            }
            _ => {}
        }
        result
    }

    /// Opens a connection, checks the permit and sends the order.
    async fn send(&self, order: &PendingOrder) -> Result<OrderResult, String> {
        let terms = &order.terms;
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(terms.address))
            .await
            .map_err(|_| "connection timed out".to_owned())?
            .map_err(|error| error.to_string())?;
        // Closing the socket discards unsent data, so that no order arrives
        // after the transit time.
        socket
            .set_zero_linger()
            .map_err(|error| error.to_string())?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|error| error.to_string())?;
        // Dropping the set when this function returns closes the connection.
        let mut connections = JoinSet::new();
        connections.spawn(connection);
        let body = json!({ "models": terms.models, "fencing_token": order.token.0 });
        let request = Request::post("/v1/orders")
            .header(HOST, terms.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| error.to_string())?;
        let same_token = |permit: &OrderPermit| permit.token == order.token;
        let permit = self.permit().filter(same_token);
        if !permit.is_some_and(|permit| self.accepts_orders(terms, permit)) {
            return Ok(OrderResult::NoPermit);
        }
        let exchange = async {
            let answer = sender.send_request(request).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
            // Only the status matters; the body is read to complete the exchange.
            let _ = body.collect().await;
            Ok::<StatusCode, hyper::Error>(status)
        };
        match tokio::time::timeout(self.timing.max_transit, exchange).await {
            Ok(Ok(status)) if status.is_success() => Ok(OrderResult::Confirmed),
            Ok(Ok(status)) => Err(format!("status {status}")),
            _ => Ok(OrderResult::NoAnswer),
        }
    }
}
