//! Prometheus metrics of a node. The number of label values is fixed and does not
//! grow with customers or requests.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::report::ContractCounterTable;

const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.36, 0.75, 1.5, 5.0, 20.0, 60.0,
];

/// Counters and histograms of one node.
pub struct NodeMetrics {
    registry: Registry,
    /// Requests by outcome: `ran`, `unknown`, `not_run` or `caller_gone`.
    pub requests: IntCounterVec,
    /// Seconds from acceptance to the end of the answer.
    pub request_seconds: Histogram,
    /// Seconds from acceptance to the first token of a streamed answer.
    pub first_token_seconds: Histogram,
    /// Tokens relayed to callers.
    pub answer_tokens: IntCounter,
    /// Attempts by target (`server`, `node`) and result (`ok`, `not_run`, `unknown`).
    pub attempts: IntCounterVec,
    /// Revision of the configuration in force.
    pub config_revision: IntGauge,
    /// Configuration documents that cannot be read.
    pub config_faults: IntGauge,
    /// Counters per contract; not exported as metrics.
    pub contract_counters: ContractCounterTable,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), label).expect("valid metric");
            registry
                .register(Box::new(counter.clone()))
                .expect("registered once");
            counter
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let histogram = Histogram::with_opts(options).expect("valid metric");
            registry
                .register(Box::new(histogram.clone()))
                .expect("registered once");
            histogram
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid metric");
            registry
                .register(Box::new(gauge.clone()))
                .expect("registered once");
            gauge
        };
        let answer_tokens = IntCounter::new(
            "verbenaring_answer_tokens_total",
            "Tokens relayed to callers",
        )
        .expect("valid metric");
        registry
            .register(Box::new(answer_tokens.clone()))
            .expect("registered once");
        Self {
            requests: counter(
                "verbenaring_requests_total",
                "Requests by outcome: ran, unknown, not_run, caller_gone",
                &["outcome"],
            ),
            request_seconds: histogram(
                "verbenaring_request_seconds",
                "Seconds from acceptance to the end of the answer",
            ),
            first_token_seconds: histogram(
                "verbenaring_first_token_seconds",
                "Seconds from acceptance to the first token of a streamed answer",
            ),
            answer_tokens,
            attempts: counter(
                "verbenaring_attempts_total",
                "Tries by target (server, node) and result (ok, not_run, unknown)",
                &["target", "result"],
            ),
            config_revision: gauge(
                "verbenaring_config_revision",
                "Revision of the configuration in force",
            ),
            config_faults: gauge(
                "verbenaring_config_faults",
                "Configuration documents that cannot be read",
            ),
            contract_counters: ContractCounterTable::default(),
            registry,
        }
    }
}

impl NodeMetrics {
    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::warn!("failed to render metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
