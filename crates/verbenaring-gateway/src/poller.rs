//! Polling of load reports from the engines in this data centre.
//!
//! Rendezvous hashing assigns each engine to one of the live nodes, which polls it
//! and passes the report on to the other nodes by gossip.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Method;
use hyper::header::HeaderMap;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use verbenaring_policy::id::{AttemptId, VmId};
use verbenaring_policy::rendezvous::rendezvous;
use verbenaring_protocol::control::ReportedLoad;
use verbenaring_protocol::document::{KindDocument, ServerTerms};

use crate::attempt::{AttemptClient, AttemptRequest, EchoRule, ReceiverKind};
use crate::backend::EVALUATE_PERIOD;
use crate::controller::NodeCore;
use crate::server::server_hash;
use crate::store::PlatformStore;

/// Interval between polls of a server.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Time limit for the response head and for the body of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a load report in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Polls load reports and evaluates stragglers until `shutdown` is cancelled.
pub async fn poll_loads<S: PlatformStore>(core: Arc<NodeCore<S>>, shutdown: CancellationToken) {
    let mut polls = tokio::time::interval(POLL_PERIOD);
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut evaluations = tokio::time::interval(EVALUATE_PERIOD);
    evaluations.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = evaluations.tick() => core.backends.evaluate(),
            _ = polls.tick() => poll_once(&core).await,
        }
    }
}

/// Polls all engines assigned to this node; those that fail have no report.
async fn poll_once<S: PlatformStore>(core: &Arc<NodeCore<S>>) {
    let servers = assigned_servers(core);
    let polls = servers.iter().map(|terms| poll_server(&core.client, terms));
    let loads: Vec<ReportedLoad> = futures::future::join_all(polls)
        .await
        .into_iter()
        .flatten()
        .collect();
    core.backends.record_loads(&loads, Duration::ZERO);
    *core
        .cluster
        .loads
        .lock()
        .unwrap_or_else(|error| error.into_inner()) = loads;
}

/// Engines assigned to this node by rendezvous hashing.
fn assigned_servers<S: PlatformStore>(core: &Arc<NodeCore<S>>) -> Vec<Arc<ServerTerms>> {
    let nodes = core.cluster.nodes.load();
    let own = &core.settings.vm;
    let vms: Vec<&VmId> = nodes
        .local
        .iter()
        .map(|node| &node.vm)
        .chain([own])
        .collect();
    let catalog = core.catalog.load();
    let polled = |terms: &&Arc<ServerTerms>| {
        terms.kind == KindDocument::Engine
            && terms.data_centre == core.settings.data_centre
            && rendezvous(terms.server.as_str(), vms.iter().copied(), 1) == [own]
    };
    catalog.servers().iter().filter(polled).cloned().collect()
}

/// Reads the load gauges from the metrics of an engine; `None` if any step fails.
async fn poll_server(client: &AttemptClient, terms: &ServerTerms) -> Option<ReportedLoad> {
    let headers = HeaderMap::new();
    let request = AttemptRequest {
        address: terms.address,
        attempt: AttemptId(Uuid::new_v4()),
        method: &Method::GET,
        path: "/metrics",
        headers: &headers,
        body: Bytes::new(),
        echo: EchoRule::IfPresent,
        receiver: ReceiverKind::Server,
    };
    let answer = client.send(&request, POLL_TIMEOUT).await.ok()?;
    let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES).collect();
    let text = tokio::time::timeout(POLL_TIMEOUT, body)
        .await
        .ok()?
        .ok()?
        .to_bytes();
    let text = std::str::from_utf8(&text).ok()?;
    Some(ReportedLoad {
        server: server_hash(&terms.server),
        running: read_gauge(text, "num_requests_running")?,
        waiting: read_gauge(text, "num_requests_waiting")?,
    })
}

/// Sum of a gauge over all label sets; `None` if no series has a number.
///
/// The name may have a prefix that ends with a colon.
fn read_gauge(text: &str, name: &str) -> Option<u16> {
    let values = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            let series = series.split('{').next()?;
            let matches = series == name || series.ends_with(&format!(":{name}"));
            matches.then(|| value.parse::<f64>().ok()).flatten()
        });
    let values: Vec<f64> = values.collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>().min(f64::from(u16::MAX)) as u16)
}

#[cfg(test)]
mod tests {
    use super::read_gauge;

    /// Engines export these gauges with a prefix and labels, which must not prevent
    /// them from being found.
    #[test]
    fn reads_gauges_with_prefix_and_labels() {
        let text = "# HELP x y\nvllm:num_requests_running{model=\"a\"} 3\n\
                    vllm:num_requests_running{model=\"b\"} 2.0\nnum_requests_waiting 7\n";
        assert_eq!(read_gauge(text, "num_requests_running"), Some(5));
        assert_eq!(read_gauge(text, "num_requests_waiting"), Some(7));
        assert_eq!(read_gauge(text, "absent"), None);
    }
}
