//! Models that the engines of this data centre have loaded.
//!
//! Every node asks the engines itself, so that it learns of a completed order
//! without the node that gave it and without the platform store. A model that
//! an engine does not list gets no requests there.

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

/// Time between two looks for engines that are due.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Longest time for one listing.
const LISTING_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest list that is read.
const MAX_LIST_BYTES: usize = 256 * 1024;

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ListedModel>,
}

#[derive(Deserialize)]
struct ListedModel {
    id: String,
}

/// Keeps the loaded models of all engines up to date until `shutdown`.
pub async fn poll_models<S: PlatformStore>(core: Arc<NodeCore<S>>, shutdown: CancellationToken) {
    let mut looks = tokio::time::interval(LOOK_PERIOD);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = looks.tick() => {}
        }
        for terms in core.backends.due_listings(&core.catalog.load()) {
            let core = core.clone();
            tokio::spawn(async move {
                if let Some(models) = list_engine(&core.client, &terms).await {
                    core.backends.record_models(&terms, &models);
                }
            });
        }
    }
}

/// Models of one engine; none if it does not answer.
async fn list_engine(client: &AttemptClient, terms: &ServerTerms) -> Option<Vec<ModelName>> {
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
        let answer = client.send(&request, LISTING_TIMEOUT).await.ok()?;
        let success = answer.status().is_success();
        let body = Limited::new(answer.into_body(), MAX_LIST_BYTES);
        let text = body.collect().await.ok()?.to_bytes();
        success.then_some(text)
    };
    let text = tokio::time::timeout(LISTING_TIMEOUT, read).await.ok()??;
    let list: ModelList = serde_json::from_slice(&text).ok()?;
    let names = list.data.iter().map(|model| ModelName::new(&model.id).ok());
    Some(names.flatten().collect())
}
