//! One VM of the gateway: its sockets, background tasks and shutdown.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use verbenaring_policy::dispatch::call::RouteTable;
use verbenaring_policy::dispatch::presence::VmState;
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::id::{CentreName, DataCentre};
use verbenaring_policy::memory::MemoryAccount;
use verbenaring_policy::time::Moment;

use crate::caller::body::AnswerBody;
use crate::caller::listener::{ClientTimeouts, ListenerOptions, ShutdownPhase, bind, serve};
use crate::clock::NodeClock;
use crate::cluster::report::{ReportTargets, exchange_reports};
use crate::cluster::snapshot::{SNAPSHOT_PATH, poll_snapshots};
use crate::config::builds::{read_declarations_for_calls, sync_declarations};
use crate::config::origins::{publish_origins, read_origins_for_calls};
use crate::config::quarantine::sync_quarantines;
use crate::config::shared_read::SharedReads;
use crate::config::source::{ConfigScope, ConfigSource};
use crate::config::sync::{ScopeStatus, run_announcements, sync_scope};
use crate::error::{Error, Result};
use crate::observe::metrics::FrontMetrics;
use crate::path::call::{CallOrigin, PendingCall};
use crate::path::origin::ORIGIN_PATH;
use crate::path::quota::ReturnedCharges;
use crate::settings::FrontSettings;
use crate::state::FrontState;
use crate::supervisor::supervise;
use crate::upstream::check::check_servers;
use crate::upstream::contact::probe_servers;
use crate::upstream::pool::ConnectionPool;
use crate::wire::WireProtocol;

/// Time between removals of expired state and connections.
const CLEANUP_PERIOD: Duration = Duration::from_millis(500);
/// Time between log lines about learned engine times.
const LEARNED_TIMES_LOG_PERIOD: Duration = Duration::from_secs(5);
/// Limit on log lines per second about refusals and failed attempts.
const FAILURE_LINES_PER_S: u32 = 200;

/// State and resources of one VM, shared by all of its tasks.
pub struct FrontNode<P: WireProtocol> {
    /// Settings with the bound addresses.
    pub settings: FrontSettings,
    /// Data centre of the VM with its region.
    pub location: DataCentre,
    /// Clock of all decisions; starts with the VM.
    pub clock: NodeClock,
    /// Start of the process as Unix time in ms; distinguishes restarts of a VM.
    pub boot: u64,
    /// Routes in force; empty until [`FrontNode::has_routes`] is true.
    pub routes: ArcSwap<RouteTable>,
    /// Whether routes have been applied since the start.
    pub routes_known: AtomicBool,
    /// Connections to backend servers and other VMs.
    pub pool: Arc<ConnectionPool>,
    /// Metrics of this process.
    pub metrics: Arc<FrontMetrics>,
    /// Addresses to which reports are sent besides those of known VMs.
    pub reports: ReportTargets,
    /// Tasks that relay streams.
    pub stream_tasks: TaskTracker,
    /// Memory for long answers and events that are buffered: a permit per byte.
    pub(crate) answer_memory: Arc<Semaphore>,
    /// Charges of calls that were not sent.
    pub(crate) returned_charges: Arc<ReturnedCharges>,
    /// Memory for the heads and bodies of requests.
    pub(crate) client_memory: Arc<MemoryAccount>,
    /// Timeouts of connections from clients.
    pub(crate) caller_timeouts: Arc<ClientTimeouts>,
    /// Notified when servers are to be checked.
    pub(crate) server_check: Notify,
    pub(crate) declaration_reads: SharedReads,
    pub(crate) origin_reads: SharedReads,
    /// Notified when a stream has begun while several software versions serve.
    pub(crate) origin_recorded: Notify,
    /// Notified when the configuration source left a watch without an answer.
    pub(crate) source_silent: Notify,
    operator_status: ScopeStatus,
    servers_status: ScopeStatus,
    state: Mutex<FrontState>,
    /// Sequence number of the newest report; it must not start again within a boot.
    pub(crate) report_sequence: AtomicU32,
    pub(crate) is_relayed: AtomicBool,
    pub(crate) is_relay: AtomicBool,
    failure_lines: Mutex<crate::observe::logger::LogRateLimiter>,
    pub(crate) shutdown_phase: watch::Sender<ShutdownPhase>,
    /// End of the process, once a stop has begun.
    pub(crate) exit_deadline: OnceLock<Instant>,
    protocol: PhantomData<fn() -> P>,
}

impl<P: WireProtocol> FrontNode<P> {
    fn new(settings: FrontSettings) -> Self {
        let clock = NodeClock::default();
        Self {
            location: settings.location(),
            boot: clock.unix_ms(),
            clock,
            routes: ArcSwap::default(),
            routes_known: AtomicBool::new(false),
            pool: Arc::new(ConnectionPool::with_call_ids(P::call_id_header())),
            metrics: Arc::default(),
            reports: ReportTargets::default(),
            stream_tasks: TaskTracker::new(),
            answer_memory: Arc::new(Semaphore::new(settings.resources.answer_memory_bytes())),
            returned_charges: Arc::default(),
            client_memory: MemoryAccount::new(settings.client_memory_bytes()),
            caller_timeouts: Arc::default(),
            server_check: Notify::new(),
            declaration_reads: SharedReads::default(),
            origin_reads: SharedReads::default(),
            origin_recorded: Notify::new(),
            source_silent: Notify::new(),
            operator_status: ScopeStatus::default(),
            servers_status: ScopeStatus::default(),
            state: Mutex::new(FrontState::new(&settings)),
            report_sequence: AtomicU32::new(0),
            is_relayed: AtomicBool::new(false),
            is_relay: AtomicBool::new(false),
            failure_lines: Mutex::default(),
            shutdown_phase: watch::channel(ShutdownPhase::Serving).0,
            exit_deadline: OnceLock::new(),
            protocol: PhantomData,
            settings,
        }
    }

    /// Locks the state on which decisions are based.
    pub(crate) fn lock(&self) -> MutexGuard<'_, FrontState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn status(&self, scope: ConfigScope) -> &ScopeStatus {
        match scope {
            ConfigScope::Operator => &self.operator_status,
            ConfigScope::Servers => &self.servers_status,
        }
    }

    /// Whether routes are in force.
    pub fn has_routes(&self) -> bool {
        self.routes_known.load(Ordering::Relaxed)
    }

    /// Whether routes and servers have been loaded since the start.
    pub fn is_configured(&self) -> bool {
        self.has_routes() && self.servers_status.is_known()
    }

    /// State that this VM reports to others; tells which calls it accepts.
    pub fn vm_state(&self) -> VmState {
        match (*self.shutdown_phase.borrow(), self.is_configured()) {
            (ShutdownPhase::Serving, true) => VmState::Ready,
            (ShutdownPhase::Serving, false) => VmState::Starting,
            (ShutdownPhase::Announced, _) => VmState::Leaving,
            (ShutdownPhase::Closing | ShutdownPhase::Closed, _) => VmState::Closing,
        }
    }

    /// Whether this VM has working watches on all scopes of the source.
    pub fn is_watching(&self) -> bool {
        let watched = |scope: &ScopeStatus| scope.watched.load(Ordering::Relaxed);
        watched(&self.operator_status) && watched(&self.servers_status)
    }

    /// Whether this VM should watch the configuration source itself.
    pub(crate) fn should_watch(&self) -> bool {
        let now = self.clock.now();
        self.lock().should_watch(self.is_watching(), now)
    }

    /// Data centres whose servers take no calls.
    pub fn evacuated_centres(&self) -> Vec<CentreName> {
        self.lock().servers.evacuated().iter().cloned().collect()
    }

    /// Number of servers whose entries are known.
    pub fn listed_servers(&self) -> usize {
        self.lock().servers.entries().count()
    }

    /// Highest revision of the servers that has been applied.
    pub fn servers_revision(&self) -> u64 {
        self.lock().servers.applied_revision()
    }

    pub(crate) fn server_name(&self, key: ServerKey) -> String {
        let state = self.lock();
        let entry = state.servers.entry(key);
        entry.map_or_else(|| "removed server".to_owned(), |entry| entry.id.to_string())
    }

    pub(crate) fn observe_first_event(&self, call: &PendingCall) {
        let kind = if call.route.kind.is_stream() {
            "stream"
        } else {
            "plain"
        };
        let seconds = call.received_at.elapsed().as_secs_f64();
        let first_event = &self.metrics.first_event;
        first_event.with_label_values(&[kind]).observe(seconds);
    }

    pub(crate) fn count_call(&self, outcome: &str) {
        self.metrics.calls.with_label_values(&[outcome]).inc();
    }

    /// Returns `None` if a line about a call may not be logged now, else the
    /// number of lines left out since the last one.
    pub(crate) fn allow_log_line(&self, failed: bool) -> Option<u64> {
        let now = self.clock.now();
        if failed {
            let mut lines = self
                .failure_lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            return lines.try_acquire(FAILURE_LINES_PER_S, now);
        }
        let limit = self.settings.tuning.routine_lines_per_s;
        self.lock().routine_lines.try_acquire(limit, now)
    }

    fn answer_ready(&self) -> Response<AnswerBody> {
        let state = self.vm_state();
        let mut answer = Response::new(AnswerBody::whole(format!("{state:?}\n")));
        if state != VmState::Ready {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        answer
    }

    fn log_learned_times(&self, now: Moment) {
        let routes = self.routes.load();
        let state = self.lock();
        let waits = state.servers.waits(routes.services(), now);
        for (service, model) in state.servers.first_event_models() {
            let times = model.learned();
            let wait = waits.iter().find(|wait| wait.service == *service);
            log::info!(service:% = service, base_ms = times.base_ms, ktoken_ms = times.own_ktoken_ms,
                ahead_ktoken_ms = times.ahead_ktoken_ms,
                wait_ms = wait.map_or(0, |wait| wait.wait_ms),
                busy_percent = wait.map_or(0, |wait| wait.busy_percent),
                servers = wait.map_or(0, |wait| wait.servers); "engine times learned");
        }
    }

    async fn run_cleanup(self: Arc<Self>) {
        let mut logged = Instant::now();
        loop {
            tokio::time::sleep(CLEANUP_PERIOD).await;
            let now = self.clock.now();
            if logged.elapsed() >= LEARNED_TIMES_LOG_PERIOD {
                logged = Instant::now();
                self.log_learned_times(now);
            }
            self.pool.close_expired();
            let held = self.client_memory.held();
            self.metrics.client_memory.set(held as i64);
            let mut state = self.lock();
            state.expire(now);
            self.metrics
                .live_vms
                .set(state.vms.live(now).count() as i64);
            self.metrics
                .limited_servers
                .set(state.servers.limited_servers() as i64);
            self.metrics
                .brittle_services
                .set(state.servers.brittle_services(now) as i64);
            self.metrics
                .unreached_services
                .set(state.servers.lost_services() as i64);
            drop(state);
            self.show_quotas();
            self.log_quarantines();
            let opened = self.pool.opened_connections();
            let counted = self.metrics.connections.get();
            self.metrics
                .connections
                .inc_by(opened.saturating_sub(counted));
        }
    }
}

/// VM whose sockets are bound and whose tasks have not started.
pub struct BoundNode<P: WireProtocol> {
    node: FrontNode<P>,
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
    reports: UdpSocket,
}

/// VM whose tasks are running.
pub struct RunningNode<P: WireProtocol> {
    /// State and resources shared with the tasks.
    pub node: Arc<FrontNode<P>>,
    /// Connections of callers.
    pub(crate) connections: TaskTracker,
}

impl<P: WireProtocol> BoundNode<P> {
    /// Binds all sockets. A port of 0 in the settings is replaced by the port
    /// that the system assigned.
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

    /// Metrics of the VM, also updated by the client of the platform store.
    pub fn metrics(&self) -> &Arc<FrontMetrics> {
        &self.node.metrics
    }

    /// Starts all tasks. `directory` answers callers that look up VMs.
    pub fn start<S, D>(self, source: S, directory: D) -> RunningNode<P>
    where
        S: ConfigSource,
        D: Fn(&FrontNode<P>, &Request<Incoming>) -> Response<AnswerBody>
            + Clone
            + Send
            + Sync
            + 'static,
    {
        let node = Arc::new(self.node);
        let source = Arc::new(source);
        let connections = TaskTracker::new();
        let limits = node.settings.connection_limits();
        let options = ListenerOptions {
            shutdown_phase: node.shutdown_phase.subscribe(),
            connections: connections.clone(),
            max_connections: limits.callers,
            timeouts: node.caller_timeouts.clone(),
            memory: node.client_memory.clone(),
            metrics: node.metrics.clone(),
        };
        tokio::spawn(serve(self.callers, options.clone(), {
            let node = node.clone();
            move |request| node.clone().answer(request, CallOrigin::Caller)
        }));
        // The shutdown does not wait for connections of health checks and other VMs.
        let options = ListenerOptions {
            connections: TaskTracker::new(),
            ..options
        };
        let limited = |max_connections: usize| ListenerOptions {
            max_connections,
            ..options.clone()
        };
        tokio::spawn(serve(self.peers, limited(limits.peers), {
            let node = node.clone();
            move |request| answer_peer(node.clone(), request)
        }));
        tokio::spawn(serve(self.ready, limited(limits.operations), {
            let node = node.clone();
            move |_| std::future::ready(node.answer_ready())
        }));
        tokio::spawn(serve(self.directory, limited(limits.directory), {
            let node = node.clone();
            move |request| std::future::ready(directory(&node, &request))
        }));
        if let Some(listener) = self.metrics {
            let metrics = node.metrics.clone();
            let answer = move |_| {
                let body = AnswerBody::whole(metrics.render());
                std::future::ready(Response::new(body))
            };
            tokio::spawn(serve(listener, limited(limits.operations), answer));
        }
        let reports = Arc::new(self.reports);
        supervise("reports", {
            let node = node.clone();
            move || exchange_reports(node.clone(), reports.clone())
        });
        supervise("snapshots", {
            let node = node.clone();
            move || poll_snapshots(node.clone())
        });
        supervise("server checks", {
            let node = node.clone();
            move || check_servers(node.clone())
        });
        supervise("server probes", {
            let node = node.clone();
            move || probe_servers(node.clone())
        });
        supervise("cleanup", {
            let node = node.clone();
            move || node.clone().run_cleanup()
        });
        for scope in [ConfigScope::Operator, ConfigScope::Servers] {
            let (node, source) = (node.clone(), source.clone());
            supervise(scope.name(), move || {
                sync_scope(node.clone(), source.clone(), scope)
            });
        }
        supervise("quarantines", {
            let (node, source) = (node.clone(), source.clone());
            move || sync_quarantines(node.clone(), source.clone())
        });
        supervise("declared versions", {
            let (node, source) = (node.clone(), source.clone());
            move || sync_declarations(node.clone(), source.clone())
        });
        supervise("declared versions for calls", {
            let (node, source) = (node.clone(), source.clone());
            move || read_declarations_for_calls(node.clone(), source.clone())
        });
        supervise("origins of streams", {
            let (node, source) = (node.clone(), source.clone());
            move || publish_origins(node.clone(), source.clone())
        });
        supervise("origins of streams for calls", {
            let (node, source) = (node.clone(), source.clone());
            move || read_origins_for_calls(node.clone(), source.clone())
        });
        supervise("announcements", {
            let node = node.clone();
            move || run_announcements(node.clone(), source.clone())
        });
        RunningNode { node, connections }
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

async fn answer_peer<P: WireProtocol>(
    node: Arc<FrontNode<P>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.uri().path() == SNAPSHOT_PATH {
        return node.answer_snapshot(request.uri().query());
    }
    if request.uri().path() == ORIGIN_PATH {
        return node.answer_origin(request.uri().query());
    }
    node.answer(request, CallOrigin::Vm).await
}
