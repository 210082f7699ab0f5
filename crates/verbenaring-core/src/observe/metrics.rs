//! Counters and latency histograms of the request path.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

/// Prometheus metrics of one process.
pub struct FrontMetrics {
    registry: Registry,
    /// Calls by outcome.
    pub calls: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Repeats asked of the retry budgets, by result (`taken` or `refused`).
    pub retries: IntCounterVec,
    /// Quotas of the tenants with most refusals, by tenant and value (`rate`, `spent_per_s`,
    /// `level`, `share`, `charged` or `refused`).
    pub tenant_quotas: GaugeVec,
    /// Second attempts of calls that took long, by result (`sent`, `won` or `lost`).
    pub hedges: IntCounterVec,
    /// Calls that took long and were not hedged when it was due, by reason.
    pub withheld_hedges: IntCounterVec,
    /// Attempts by target (`server` or `vm`) and result.
    pub attempts: IntCounterVec,
    /// Streams that ended without an error of the connection, by framing and by the
    /// position at which they ended.
    pub stream_ends: IntCounterVec,
    /// Streams that callers took up, by where their origin was found (`known`,
    /// `sole_version`, `other_vm`, `store` or `unknown`).
    pub stream_origins: IntCounterVec,
    /// Servers that ended while they answered a call of this VM.
    pub ended_servers: IntCounter,
    /// Servers that stated another start than the one that was known.
    pub restarted_servers: IntCounter,
    /// Requests and parts of prompts whose calls are refused.
    pub quarantined_parts: IntGauge,
    /// Connections of clients that this VM closed, by reason.
    pub closed_connections: IntCounterVec,
    /// Bytes that clients hold of the memory account.
    pub client_memory: IntGauge,
    /// Seconds from acceptance to the first event or the whole answer, by kind
    /// (`stream` or `plain`).
    pub first_event: HistogramVec,
    /// Absolute difference between the predicted and the actual time to the
    /// first event, in seconds.
    pub forecast_error: Histogram,
    /// Calls sent to cold servers.
    pub paced_calls: IntCounter,
    /// Servers that name a limit.
    pub limited_servers: IntGauge,
    /// Services whose servers state that they are brittle.
    pub brittle_services: IntGauge,
    /// Services whose servers this VM cannot reach.
    pub unreached_services: IntGauge,
    /// New connections to servers and VMs.
    pub connections: IntCounter,
    /// Copies of earlier answers that preceded the answer to a call.
    pub skipped_answers: IntCounter,
    /// Calls to the platform store by operation and result.
    pub store_calls: IntCounterVec,
    /// Version of the routes in force.
    pub routes_version: IntGauge,
    /// Other VMs from which reports arrive.
    pub live_vms: IntGauge,
    /// Calls that are being processed, without streams that are being relayed.
    pub open_calls: IntGauge,
}

impl Default for FrontMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
            register(&registry, counter)
        };
        let gauge = |name: &str, help: &str| {
            register(&registry, IntGauge::new(name, help).expect("valid metric"))
        };
        let options = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec())
        };
        let first_event = options(
            "verbenaring_first_event_seconds",
            "Seconds from acceptance to the first event or the answer",
        );
        let forecast_error = options(
            "verbenaring_forecast_error_seconds",
            "Absolute difference between predicted and seen time to the first event",
        );
        let counter = |name: &str, help: &str| {
            register(
                &registry,
                IntCounter::new(name, help).expect("valid metric"),
            )
        };
        Self {
            calls: counters("verbenaring_calls_total", "Calls by outcome", &["outcome"]),
            refusals: counters(
                "verbenaring_refusals_total",
                "Refusals by reason",
                &["reason"],
            ),
            tenant_quotas: register(
                &registry,
                GaugeVec::new(
                    Opts::new("verbenaring_tenant_quota", "Quotas of tenants at this VM"),
                    &["tenant", "value"],
                )
                .expect("valid metric"),
            ),
            retries: counters(
                "verbenaring_retries_total",
                "Repeats asked of the retry budgets, by result (taken, refused)",
                &["result"],
            ),
            hedges: counters(
                "verbenaring_hedges_total",
                "Second attempts of slow calls, by result (sent, won, lost)",
                &["result"],
            ),
            withheld_hedges: counters(
                "verbenaring_hedges_withheld_total",
                "Slow calls that got no second attempt when it was due, by reason",
                &["reason"],
            ),
            attempts: counters(
                "verbenaring_call_attempts_total",
                "Attempts by target (server, vm) and result",
                &["target", "result"],
            ),
            stream_ends: counters(
                "verbenaring_stream_ends_total",
                "Streams that ended without a connection error, by framing and position",
                &["framing", "position"],
            ),
            stream_origins: counters(
                "verbenaring_stream_origins_total",
                "Streams that callers took up, by where their origin was found",
                &["found"],
            ),
            ended_servers: counter(
                "verbenaring_servers_ended_total",
                "Servers that ended while they answered a call",
            ),
            restarted_servers: counter(
                "verbenaring_servers_restarted_total",
                "Servers that stated another start than the one that was known",
            ),
            paced_calls: counter(
                "verbenaring_paced_calls_total",
                "Calls sent to cold servers",
            ),
            quarantined_parts: gauge(
                "verbenaring_quarantined_parts",
                "Requests and parts of prompts whose calls are refused",
            ),
            closed_connections: counters(
                "verbenaring_closed_connections_total",
                "Connections of clients that this VM closed, by reason",
                &["reason"],
            ),
            client_memory: gauge(
                "verbenaring_client_memory_bytes",
                "Bytes that clients hold of the memory account",
            ),
            first_event: register(
                &registry,
                HistogramVec::new(first_event, &["kind"]).expect("valid metric"),
            ),
            forecast_error: register(
                &registry,
                Histogram::with_opts(forecast_error).expect("valid metric"),
            ),
            limited_servers: gauge(
                "verbenaring_limited_servers",
                "Servers that name a limit for the requests of all VMs",
            ),
            brittle_services: gauge(
                "verbenaring_brittle_services",
                "Services whose servers fail when they refuse many calls",
            ),
            unreached_services: gauge(
                "verbenaring_unreached_services",
                "Services whose servers this VM cannot reach",
            ),
            connections: counter(
                "verbenaring_connections_total",
                "New connections to servers and VMs",
            ),
            skipped_answers: counter(
                "verbenaring_skipped_answers_total",
                "Copies of earlier answers that preceded the answer to a call",
            ),
            store_calls: counters(
                "verbenaring_store_calls_total",
                "Calls to the platform store",
                &["operation", "result"],
            ),
            routes_version: gauge(
                "verbenaring_routes_version",
                "Version of the routes in force",
            ),
            live_vms: gauge(
                "verbenaring_live_vms",
                "Other VMs from which reports arrive",
            ),
            open_calls: gauge("verbenaring_open_calls", "Calls in work"),
            registry,
        }
    }
}

fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: M) -> M {
    registry
        .register(Box::new(metric.clone()))
        .expect("registered once");
    metric
}

impl FrontMetrics {
    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("failed to render metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
