//! Polling of the engines of this data centre for the models they have loaded.
//!
//! Every node polls the engines itself, so that it learns of a completed order
//! without the node that sent the order and without the platform store. An engine
//! gets no requests for models that it does not list.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Method;
use hyper::header::HeaderMap;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use verbenaring_policy::id::{AttemptId, ModelName};
use verbenaring_protocol::document::ServerTerms;

use crate::attempt::{AttemptClient, AttemptRequest, EchoRule, ReceiverKind};
use crate::controller::NodeCore;
use crate::store::PlatformStore;

/// Interval at which the node checks which engines are due for a poll.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one poll of an engine.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest model list that is read.
const MAX_LIST_BYTES: usize = 256 * 1024;

/// Answer of an engine to `GET /v1/models`.
#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
}

/// Polls the engines until `shutdown` and records their loaded models.
pub async fn poll_models<S: PlatformStore>(core: Arc<NodeCore<S>>, shutdown: CancellationToken) {
    let mut poll_ticks = tokio::time::interval(POLL_INTERVAL);
    poll_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = poll_ticks.tick() => {}
        }
        for terms in core.backends.due_listings(&core.catalog.load()) {
            let core = core.clone();
            tokio::spawn(async move {
                if let Some(models) = fetch_models(&core.client, &terms).await {
                    core.backends.record_models(&terms, &models);
                }
            });
        }
    }
}

/// Models that an engine lists, without invalid names; `None` if it does not answer
/// with a valid list in time.
async fn fetch_models(client: &AttemptClient, terms: &ServerTerms) -> Option<Vec<ModelName>> {
    let headers = HeaderMap::new();
    let request = AttemptRequest {
        address: terms.address,
        attempt: AttemptId(Uuid::new_v4()),
        method: &Method::GET,
        path: "/v1/models",
        headers: &headers,
        body: Bytes::new(),
        echo: EchoRule::IfPresent,
        receiver: ReceiverKind::Server,
    };
    let read = async {
        let answer = client.send(&request, LIST_TIMEOUT).await.ok()?;
        let success = answer.status().is_success();
        let body = Limited::new(answer.into_body(), MAX_LIST_BYTES);
        let text = body.collect().await.ok()?.to_bytes();
        success.then_some(text)
    };
    let text = tokio::time::timeout(LIST_TIMEOUT, read).await.ok()??;
    let list: ModelList = serde_json::from_slice(&text).ok()?;
    let names = list.data.iter().map(|model| ModelName::new(&model.id).ok());
    Some(names.flatten().collect())
}
