//! Finds the software version at which a stream that a caller takes up has begun.
//!
//! The VM that passed on its first event knows it, and so do those that it has told. If no
//! VM knows, the store may: VMs write there what they would lose together. Otherwise the
//! stream goes on only where a single version can have begun it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode};
use verbenaring_policy::dispatch::build::BuildId;
use verbenaring_policy::dispatch::origin::{OriginRecord, StreamId};
use verbenaring_policy::dispatch::prompt::rendezvous_score;
use verbenaring_policy::id::ServiceName;
use verbenaring_policy::time::Moment;

use super::call::{CallOrigin, PendingCall};
use super::refusal::CallRefusal;
use crate::caller::body::AnswerBody;
use crate::node::FrontNode;
use crate::state::FrontState;
use crate::upstream::pool::ConnectOptions;
use crate::upstream::request_body::RequestBody;
use crate::wire::WireProtocol;

/// Path at the peer address that answers where a stream began.
pub const ORIGIN_PATH: &str = "/verbenaring/origin";
/// VMs that are told where a stream began, where reports go through relays, and most VMs
/// that are asked for it.
pub(crate) const ORIGIN_HOLDERS: usize = 3;
/// Time limit for asking; covers a round trip between regions.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection to another VM is not reused.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Limit on the body of an answer.
const MAX_ANSWER_BYTES: usize = 64;
/// `Retry-After` of a stream of which no VM knows where it began. Another VM may be back by
/// then.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl<P: WireProtocol> FrontNode<P> {
    /// Binds a stream that is taken up to the version that began it.
    pub(super) async fn bind_to_origin(
        self: &Arc<Self>,
        call: &PendingCall,
    ) -> Result<(), CallRefusal> {
        if !call.continues_stream() || call.build.get().is_some() {
            return Ok(());
        }
        let stream = call.stream_id();
        let (found, place) = self.find_origin(call, stream).await;
        let origins = &self.metrics.stream_origins;
        origins.with_label_values(&[place]).inc();
        match found {
            Some(build) => {
                call.set_build(build);
                Ok(())
            }
            None => Err(CallRefusal::busy(
                "stream_origin_unknown",
                UNKNOWN_RETRY_AFTER,
            )),
        }
    }

    /// The version that began a stream, and where this was found.
    async fn find_origin(
        self: &Arc<Self>,
        call: &PendingCall,
        stream: StreamId,
    ) -> (Option<BuildId>, &'static str) {
        let recorded = || self.lock().origins.find(stream);
        if let Some(build) = recorded() {
            return (Some(build), "known");
        }
        if let Some(build) = self.sole_build(&call.service).await {
            return (Some(build), "sole_version");
        }
        if let Some(build) = self.ask_origin(stream).await {
            return (Some(build), "other_vm");
        }
        // All VMs that knew may have ended.
        if self.refresh_origins().await
            && let Some(build) = recorded()
        {
            return (Some(build), "store");
        }
        (None, "unknown")
    }

    /// The only version that can have begun a stream before now, if there is one.
    async fn sole_build(&self, service: &ServiceName) -> Option<BuildId> {
        let sole = || self.lock().servers.sole_build(service, self.clock.now());
        sole()?;
        match self.refresh_declarations().await {
            true => sole(),
            false => None,
        }
    }

    /// Asks the VMs that are most likely to know.
    async fn ask_origin(self: &Arc<Self>, stream: StreamId) -> Option<BuildId> {
        let addresses: Vec<SocketAddr> = {
            let state = self.lock();
            let holders = state.origin_holders(stream, self.clock.now());
            holders.map(|(_, peer)| peer).collect()
        };
        let asked = addresses.into_iter().map(|address| async move {
            let asking = self.ask_vm(address, stream);
            tokio::time::timeout(ASK_TIMEOUT, asking).await.ok()?
        });
        let mut answers: FuturesUnordered<_> = asked.collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn ask_vm(&self, address: SocketAddr, stream: StreamId) -> Option<BuildId> {
        let request = Request::get(format!("{ORIGIN_PATH}?{:x}", stream.0))
            .header("host", address.to_string())
            .body(RequestBody::default());
        let options = ConnectOptions {
            connect_timeout: ASK_TIMEOUT,
            max_idle: MAX_IDLE,
            probe: false,
        };
        let sent = self.pool.send(address, request.ok()?, options).await;
        let (answer, lease) = sent.ok()?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?;
        lease.release();
        if head.status != StatusCode::OK {
            return None;
        }
        let body = body.to_bytes();
        let text = std::str::from_utf8(&body).ok()?;
        text.parse().ok().map(BuildId)
    }

    /// Answers another VM that asks where a stream began.
    pub(crate) fn answer_origin(&self, query: Option<&str>) -> Response<AnswerBody> {
        let stream = query.and_then(|query| u64::from_str_radix(query, 16).ok());
        let build = stream.and_then(|stream| self.lock().origins.find(StreamId(stream)));
        let mut answer = Response::new(AnswerBody::whole(match build {
            Some(BuildId(build)) => Bytes::from(build.to_string()),
            None => Bytes::new(),
        }));
        if build.is_none() {
            *answer.status_mut() = StatusCode::NOT_FOUND;
        }
        answer
    }

    /// Records where a stream has begun, before its first event goes to the caller.
    pub(super) fn record_origin(&self, call: &PendingCall, build: BuildId) {
        call.set_build(build);
        if call.origin == CallOrigin::Vm {
            // The VM that has the caller records it.
            return;
        }
        let origin = OriginRecord {
            stream: call.stream_id(),
            build,
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let mixed = state.servers.builds.is_mixed(&call.service, now);
        state.origins.record(origin, mixed, now);
        drop(state);
        if mixed {
            self.origin_recorded.notify_one();
        }
    }
}

impl FrontState {
    /// VMs that know where a stream began, as far as they are told: the address for reports
    /// and the one for calls of each.
    pub(crate) fn origin_holders(
        &self,
        stream: StreamId,
        now: Moment,
    ) -> impl Iterator<Item = (SocketAddr, SocketAddr)> {
        let score = |vm: u64| rendezvous_score(stream.0, vm);
        let live = self.vms.live(now);
        let mut live: Vec<_> = live.map(|(_, record)| record).collect();
        live.sort_unstable_by_key(|record| std::cmp::Reverse(score(record.name_hash)));
        let addresses = live
            .into_iter()
            .map(|record| (record.report_address, record.peer_address));
        let addresses: Vec<_> = addresses.take(ORIGIN_HOLDERS).collect();
        addresses.into_iter()
    }
}
