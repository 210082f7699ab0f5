//! One VM of the gateway: its sockets, tasks and stop.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use verbenaring_policy::dispatch::call::RouteTable;
use verbenaring_policy::dispatch::presence::VmState;
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::id::{DataCentre, VmId};
use verbenaring_policy::time::Moment;

use crate::caller::body::AnswerBody;
use crate::caller::listener::{IdleLimit, ListenerRules, StopStep, bind, serve};
use crate::clock::NodeClock;
use crate::cluster::report::{ReportTargets, exchange_reports};
use crate::cluster::snapshot::{SNAPSHOT_PATH, catch_up};
use crate::config::source::{ConfigScope, ConfigSource};
use crate::config::sync::{ScopeStatus, announce, follow};
use crate::error::{Error, Result};
use crate::observe::metrics::FrontMetrics;
use crate::path::call::{CallOrigin, PendingCall};
use crate::settings::FrontSettings;
use crate::state::FrontState;
use crate::upstream::pool::ConnectionPool;
use crate::wire::WireProtocol;

/// Time between clean-ups of state and connections.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Time between log lines on learned times.
const MODEL_LOG_PERIOD: Duration = Duration::from_secs(5);
/// Descriptors kept for listeners, the store, other VMs and files.
const RESERVED_DESCRIPTORS: usize = 300;
/// Time for which a stop is announced and all calls are taken. Callers use an
/// answer of the directory for up to three times its time to live, 1 s.
const ANNOUNCE_TIME: Duration = Duration::from_millis(2_900);
/// Time kept between the end of the last call and the kill.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Lines a second on refusals and failed attempts.
const FAILURE_LINES_PER_S: u32 = 200;

/// One VM of the gateway.
pub struct FrontNode<B: WireProtocol> {
    /// Settings.
    pub settings: FrontSettings,
    /// Place of the VM.
    pub place: DataCentre,
    /// Clock.
    pub clock: NodeClock,
    /// Start of the process, in Unix ms; tells its boots apart.
    pub boot: u64,
    /// Routes in force.
    pub routes: ArcSwap<RouteTable>,
    /// Whether any routes are in force.
    pub routes_known: AtomicBool,
    /// Connections to servers and VMs.
    pub pool: Arc<ConnectionPool>,
    /// Metrics.
    pub metrics: Arc<FrontMetrics>,
    /// Where reports go.
    pub reports: ReportTargets,
    /// Streams that are passed on.
    pub tasks: TaskTracker,
    /// Idle time of connections.
    pub(crate) idle: Arc<IdleLimit>,
    operator: ScopeStatus,
    servers: ScopeStatus,
    state: Mutex<FrontState>,
    failure_lines: Mutex<crate::observe::logger::LineBudget>,
    stop: watch::Sender<StopStep>,
    exit: OnceLock<Instant>,
    border: PhantomData<fn() -> B>,
}

impl<B: WireProtocol> FrontNode<B> {
    fn new(settings: FrontSettings) -> Self {
        let clock = NodeClock::default();
        Self {
            place: settings.place(),
            boot: clock.unix_ms(),
            clock,
            routes: ArcSwap::default(),
            routes_known: AtomicBool::new(false),
            pool: Arc::default(),
            metrics: Arc::default(),
            reports: ReportTargets::default(),
            tasks: TaskTracker::new(),
            idle: Arc::default(),
            operator: ScopeStatus::default(),
            servers: ScopeStatus::default(),
            state: Mutex::new(FrontState::new(&settings)),
            failure_lines: Mutex::default(),
            stop: watch::channel(StopStep::Serving).0,
            exit: OnceLock::new(),
            border: PhantomData,
            settings,
        }
    }

    /// Locks the state of decisions.
    pub(crate) fn lock(&self) -> MutexGuard<'_, FrontState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn status(&self, scope: ConfigScope) -> &ScopeStatus {
        match scope {
            ConfigScope::Operator => &self.operator,
            ConfigScope::Servers => &self.servers,
        }
    }

    /// Whether routes are in force.
    pub fn has_routes(&self) -> bool {
        self.routes_known.load(Ordering::Relaxed)
    }

    /// Whether routes and servers are known in this boot.
    pub fn is_configured(&self) -> bool {
        self.has_routes() && self.servers.is_known()
    }

    /// What the VM takes.
    pub fn vm_state(&self) -> VmState {
        match (*self.stop.borrow(), self.is_configured()) {
            (StopStep::Serving, true) => VmState::Ready,
            (StopStep::Serving, false) => VmState::Starting,
            (StopStep::Announced, _) => VmState::Leaving,
            (StopStep::Closing, _) => VmState::Closing,
        }
    }

    /// Whether the source answers the watches of this VM.
    pub fn is_watching(&self) -> bool {
        let current = |scope: &ScopeStatus| scope.current.load(Ordering::Relaxed);
        current(&self.operator) && current(&self.servers)
    }

    /// Whether this VM reads the configuration source itself.
    pub(crate) fn is_on_duty(&self) -> bool {
        let now = self.clock.now();
        self.lock().is_on_duty(self.is_watching(), now)
    }

    /// Highest revision of a server entry that was taken over.
    pub fn servers_revision(&self) -> u64 {
        self.lock().servers.revision()
    }

    /// Whether reports of a VM arrive.
    pub fn is_vm_live(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.vms.find(vm).is_some_and(|record| record.is_live(now))
    }

    /// Whether a VM is known to take calls.
    pub fn vm_takes_calls(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let record = state.vms.find(vm);
        record.is_some_and(|record| record.takes_calls(now))
    }

    /// What a VM from which reports arrive takes.
    pub fn vm_state_of(&self, vm: &VmId) -> Option<VmState> {
        let now = self.clock.now();
        let state = self.lock();
        let record = state.vms.find(vm).filter(|record| record.is_live(now))?;
        Some(record.state)
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() != StopStep::Serving
    }

    /// Whether a call that may last until `limit` can end before this process.
    pub fn can_finish(&self, limit: Instant) -> bool {
        let closing = *self.stop.borrow() == StopStep::Closing;
        !closing || self.exit.get().is_some_and(|exit| limit < *exit)
    }

    pub(crate) fn server_name(&self, key: ServerKey) -> String {
        let state = self.lock();
        let facts = state.servers.entry(key);
        facts.map_or_else(|| "removed server".to_owned(), |facts| facts.id.to_string())
    }

    pub(crate) fn observe_first(&self, call: &PendingCall) {
        let kind = if call.route.kind.is_stream() {
            "stream"
        } else {
            "plain"
        };
        let seconds = call.arrived.elapsed().as_secs_f64();
        let first_event = &self.metrics.first_event;
        first_event.with_label_values(&[kind]).observe(seconds);
    }

    pub(crate) fn count_call(&self, outcome: &str) {
        self.metrics.calls.with_label_values(&[outcome]).inc();
    }

    /// Whether a line may be logged; returns the number of lines left out before.
    pub(crate) fn take_line(&self, failed: bool) -> Option<u64> {
        let now = self.clock.now();
        if failed {
            let mut lines = self
                .failure_lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            return lines.take(FAILURE_LINES_PER_S, now);
        }
        let limit = self.settings.tuning.routine_lines_per_s;
        self.lock().lines.take(limit, now)
    }

    fn answer_ready(&self) -> Response<AnswerBody> {
        let state = self.vm_state();
        let mut answer = Response::new(AnswerBody::whole(format!("{state:?}\n")));
        if state != VmState::Ready {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        answer
    }

    fn log_models(&self, now: Moment) {
        let routes = self.routes.load();
        let state = self.lock();
        let waits = state.servers.waits(routes.services(), now);
        for (service, model) in state.servers.first_event_models() {
            let (base_ms, ktoken_ms) = model.learned_ms();
            let wait = waits.iter().find(|wait| wait.service == *service);
            log::info!(service:% = service, base_ms = base_ms, ktoken_ms = ktoken_ms,
                wait_ms = wait.map_or(0, |wait| wait.wait_ms),
                busy_percent = wait.map_or(0, |wait| wait.busy_percent),
                servers = wait.map_or(0, |wait| wait.servers); "engine times learned");
        }
    }

    async fn sweep(self: Arc<Self>) {
        let mut logged = Instant::now();
        loop {
            tokio::time::sleep(SWEEP_PERIOD).await;
            let now = self.clock.now();
            if logged.elapsed() >= MODEL_LOG_PERIOD {
                logged = Instant::now();
                self.log_models(now);
            }
            self.pool.sweep();
            let mut state = self.lock();
            state.expire(now);
            self.metrics
                .live_vms
                .set(state.vms.live(now).count() as i64);
            drop(state);
            let opened = self.pool.opened();
            let counted = self.metrics.connections.get();
            self.metrics
                .connections
                .inc_by(opened.saturating_sub(counted));
        }
    }
}

/// VM whose sockets are bound.
pub struct BoundNode<B: WireProtocol> {
    node: FrontNode<B>,
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
    reports: UdpSocket,
}

/// Running VM.
pub struct RunningNode<B: WireProtocol> {
    /// The VM.
    pub node: Arc<FrontNode<B>>,
    open: TaskTracker,
}

impl<B: WireProtocol> BoundNode<B> {
    /// Binds all sockets; port 0 in the settings is replaced by the bound port.
    pub async fn bind(mut settings: FrontSettings) -> Result<Self> {
        let callers = bind_field("caller_address", &mut settings.caller_address).await?;
        let ready = bind_field("ready_address", &mut settings.ready_address).await?;
        let directory = bind_field("directory_address", &mut settings.directory_address).await?;
        let peers = bind_field("peer_address", &mut settings.peer_address).await?;
        let metrics = match &mut settings.metrics_address {
            Some(address) => Some(bind_field("metrics_address", address).await?),
            None => None,
        };
        let listen = |source| Error::Listen {
            field: "report_address",
            address: settings.report_address,
            source,
        };
        let reports = UdpSocket::bind(settings.report_address)
            .await
            .map_err(listen)?;
        settings.report_address = reports.local_addr().map_err(listen)?;
        Ok(Self {
            node: FrontNode::new(settings),
            callers,
            ready,
            directory,
            peers,
            metrics,
            reports,
        })
    }

    /// Settings with the bound addresses.
    pub fn settings(&self) -> &FrontSettings {
        &self.node.settings
    }

    /// Metrics of the VM.
    pub fn metrics(&self) -> &Arc<FrontMetrics> {
        &self.node.metrics
    }

    /// Starts all tasks. `directory` answers callers that ask for VMs.
    pub fn start<S, D>(self, source: S, directory: D) -> RunningNode<B>
    where
        S: ConfigSource,
        D: Fn(&FrontNode<B>, &Request<Incoming>) -> Response<AnswerBody>
            + Clone
            + Send
            + Sync
            + 'static,
    {
        let node = Arc::new(self.node);
        let source = Arc::new(source);
        let open = TaskTracker::new();
        let descriptors = node.settings.max_descriptors;
        let permits = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(16) / 2;
        let rules = ListenerRules {
            stop: node.stop.subscribe(),
            open: open.clone(),
            permits: Arc::new(Semaphore::new(permits)),
            idle: node.idle.clone(),
        };
        tokio::spawn(serve(self.callers, rules.clone(), {
            let node = node.clone();
            move |request| node.clone().answer(request, CallOrigin::Caller)
        }));
        // Checks and other VMs do not hold up a stop.
        let rules = ListenerRules {
            open: TaskTracker::new(),
            permits: Arc::new(Semaphore::new(permits)),
            ..rules
        };
        tokio::spawn(serve(self.peers, rules.clone(), {
            let node = node.clone();
            move |request| answer_peer(node.clone(), request)
        }));
        tokio::spawn(serve(self.ready, rules.clone(), {
            let node = node.clone();
            move |_| std::future::ready(node.answer_ready())
        }));
        tokio::spawn(serve(self.directory, rules.clone(), {
            let node = node.clone();
            move |request| std::future::ready(directory(&node, &request))
        }));
        if let Some(listener) = self.metrics {
            let metrics = node.metrics.clone();
            let answer = move |_| {
                let body = AnswerBody::whole(metrics.render());
                std::future::ready(Response::new(body))
            };
            tokio::spawn(serve(listener, rules, answer));
        }
        tokio::spawn(exchange_reports(node.clone(), self.reports));
        tokio::spawn(catch_up(node.clone()));
        tokio::spawn(node.clone().sweep());
        for scope in [ConfigScope::Operator, ConfigScope::Servers] {
            tokio::spawn(follow(node.clone(), source.clone(), scope));
        }
        tokio::spawn(announce(node.clone(), source));
        RunningNode { node, open }
    }
}

impl<B: WireProtocol> RunningNode<B> {
    /// Stops without cutting calls: announces the stop, then lets open calls
    /// end, at most until shortly before the end of the grace period.
    pub async fn stop(self) {
        let grace = self
            .node
            .settings
            .bounds
            .grace()
            .saturating_sub(EXIT_MARGIN);
        // A second stop keeps the end of the first one.
        let _ = self.node.exit.set(Instant::now() + grace);
        let ended = async {
            self.node.stop.send_replace(StopStep::Announced);
            tokio::time::sleep(ANNOUNCE_TIME.min(grace)).await;
            self.node.stop.send_replace(StopStep::Closing);
            self.open.close();
            self.open.wait().await;
            self.node.tasks.close();
            self.node.tasks.wait().await;
        };
        if tokio::time::timeout(grace, ended).await.is_err() {
            log::warn!(open_connections = self.open.len(), streams = self.node.tasks.len();
                "calls are still open at the end of the grace period");
        }
    }
}

async fn bind_field(field: &'static str, address: &mut SocketAddr) -> Result<TcpListener> {
    let listener = bind(field, *address).await?;
    let bound = listener.local_addr();
    *address = bound.map_err(|source| Error::Listen {
        field,
        address: *address,
        source,
    })?;
    Ok(listener)
}

async fn answer_peer<B: WireProtocol>(
    node: Arc<FrontNode<B>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.uri().path() == SNAPSHOT_PATH {
        return node.answer_snapshot(request.uri().query());
    }
    node.answer(request, CallOrigin::Vm).await
}
