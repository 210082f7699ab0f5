//! Passing a stream on to its caller.
//!
//! A stream that breaks is continued at another server if its route allows
//! it. Otherwise the connection to the caller ends without the end mark, so
//! that a part never looks complete.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::{Instant, sleep_until, timeout_at};
use verbenaring_policy::dispatch::call::CallKind;
use verbenaring_policy::dispatch::server::CallOutcome;

use super::call::{PendingCall, TriedTargets, strip_connection};
use super::controller::SettledCall;
use super::event::EventSplitter;
use super::exchange::BegunStream;
use crate::caller::body::{AnswerBody, BrokenAnswer, PartSender};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Why passing on ended.
enum RelayEnd {
    /// Last event passed on.
    Complete,
    /// The caller has left.
    CallerGone,
    /// The time of the call is over.
    TimedOut,
    /// The server or the way to it broke.
    Broken(String),
}

/// Stream on its way to the caller.
pub struct StreamRelay<B: WireProtocol> {
    node: Arc<FrontNode<B>>,
    call: Arc<PendingCall>,
    tried: TriedTargets,
    sender: PartSender,
    events: Option<EventSplitter>,
    first: Option<Instant>,
    last: Instant,
    longest_pause: Duration,
    parts: u32,
}

impl<B: WireProtocol> StreamRelay<B> {
    /// Answer whose body is passed on by a task of its own.
    pub fn start(
        node: &Arc<FrontNode<B>>,
        call: &Arc<PendingCall>,
        tried: TriedTargets,
        mut begun: Box<BegunStream<B>>,
    ) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::parts();
        strip_connection(&mut begun.head.headers);
        let mut answer = Response::new(body);
        *answer.status_mut() = begun.head.status;
        *answer.headers_mut() = begun.head.headers.clone();
        let resumable = call.route.kind == CallKind::Stream { resumable: true };
        let relay = Self {
            node: node.clone(),
            call: call.clone(),
            tried,
            sender,
            events: resumable.then(EventSplitter::default),
            first: None,
            last: Instant::now(),
            longest_pause: Duration::ZERO,
            parts: 0,
        };
        node.tasks.spawn(relay.run(begun));
        answer
    }

    async fn run(mut self, mut begun: Box<BegunStream<B>>) {
        loop {
            let end = self.pass_on(&mut begun).await;
            let reason = match end {
                RelayEnd::Complete => {
                    begun.guard.set_end(CallOutcome::Good);
                    begun.lease.release();
                    self.report("complete", "");
                    return;
                }
                RelayEnd::CallerGone => {
                    self.report("caller_gone", "");
                    return;
                }
                RelayEnd::TimedOut => {
                    self.report("timed_out", "");
                    self.break_off("time limit reached").await;
                    return;
                }
                RelayEnd::Broken(reason) => reason,
            };
            begun.guard.set_end(CallOutcome::Broken);
            let excluded = self.exclude(&begun);
            drop(begun);
            log::warn!(request = self.call.facts.attempt_id.as_str(), target = excluded.as_str(),
                reason = reason.as_str(), parts = self.parts,
                resumable = self.events.is_some(); "stream broke");
            begun = match self.resume().await {
                Some(begun) => begun,
                None => {
                    self.report("broken", &reason);
                    self.break_off("server broke off").await;
                    return;
                }
            };
        }
    }

    async fn pass_on(&mut self, begun: &mut BegunStream<B>) -> RelayEnd {
        let limit = sleep_until(self.call.limit);
        tokio::pin!(limit);
        loop {
            let frame = tokio::select! {
                biased;
                frame = begun.body.frame() => frame,
                () = self.sender.closed() => return RelayEnd::CallerGone,
                () = limit.as_mut() => return RelayEnd::TimedOut,
            };
            let data = match frame {
                None => return self.finish().await,
                Some(Err(error)) => return RelayEnd::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => data,
                    _ => continue,
                },
            };
            self.record_part();
            begun.guard.record_first();
            let whole = match &mut self.events {
                None => Some(data),
                Some(events) => match events.take(&data) {
                    Ok(whole) => whole,
                    Err(error) => return RelayEnd::Broken(error.to_string()),
                },
            };
            if let Some(whole) = whole
                && !self.send(whole).await
            {
                return RelayEnd::CallerGone;
            }
        }
    }

    fn record_part(&mut self) {
        let now = Instant::now();
        match self.first {
            Some(_) => {
                let pause = now.saturating_duration_since(self.last);
                self.longest_pause = self.longest_pause.max(pause);
            }
            None => {
                self.first = Some(now);
                self.node.observe_first(&self.call);
            }
        }
        self.last = now;
    }

    /// Passes on what follows the last event.
    async fn finish(&mut self) -> RelayEnd {
        let rest = self.events.as_mut().map(EventSplitter::rest);
        match rest {
            Some(rest) if !rest.is_empty() => match self.send(rest).await {
                true => RelayEnd::Complete,
                false => RelayEnd::CallerGone,
            },
            _ => RelayEnd::Complete,
        }
    }

    async fn send(&mut self, part: Bytes) -> bool {
        self.parts += 1;
        let sending = self.sender.send(Ok(part));
        // A caller that does not read is given up at the end of its time.
        matches!(timeout_at(self.call.limit, sending).await, Ok(Ok(())))
    }

    fn exclude(&mut self, begun: &BegunStream<B>) -> String {
        self.call.runs.fetch_add(1, Ordering::Relaxed);
        match (&begun.vm, begun.guard.server()) {
            (Some(vm), _) => {
                self.tried.vms.push(vm.clone());
                vm.to_string()
            }
            (None, Some(server)) => {
                self.tried.servers.push(server);
                self.node.server_name(server)
            }
            (None, None) => String::new(),
        }
    }

    /// Stream of another server that goes on after the last whole event.
    async fn resume(&mut self) -> Option<Box<BegunStream<B>>> {
        let events = self.events.as_mut()?;
        drop(events.rest());
        if !self.call.may_run_again() || self.sender.is_closed() {
            return None;
        }
        self.call.seen.store(true, Ordering::Relaxed);
        let last = events.last().map(str::to_owned);
        let last = last.or_else(|| self.call.facts.last_event_id.clone());
        let resumed = self
            .node
            .try_targets(&self.call, &mut self.tried, last.as_deref());
        match timeout_at(self.call.limit, resumed).await {
            Ok(Ok(SettledCall::Stream(begun))) => {
                log::info!(request = self.call.facts.attempt_id.as_str(),
                    after = last.as_deref().unwrap_or("start"); "stream resumed");
                Some(begun)
            }
            Ok(Ok(SettledCall::Whole(answer))) => {
                log::warn!(request = self.call.facts.attempt_id.as_str(),
                    status = answer.status().as_u16(); "stream not resumed");
                None
            }
            Ok(Err(refusal)) => {
                log::warn!(request = self.call.facts.attempt_id.as_str(), reason = refusal.reason; "stream not resumed");
                None
            }
            Err(_) => None,
        }
    }

    /// Ends the caller's connection without the end mark.
    async fn break_off(&mut self, reason: &'static str) {
        // The caller may have left; then there is nobody to tell.
        let _ = self.sender.send(Err(BrokenAnswer(reason))).await;
    }

    fn report(&self, outcome: &'static str, reason: &str) {
        self.node.count_call(outcome);
        let failed = !matches!(outcome, "complete" | "caller_gone");
        let Some(suppressed) = self.node.take_line(failed) else {
            return;
        };
        let first = self
            .first
            .map(|first| first.saturating_duration_since(self.call.arrived));
        log::info!(request = self.call.facts.attempt_id.as_str(), route = self.call.route.name.as_str(),
            outcome = outcome, reason = reason, parts = self.parts,
            first_ms = first.map_or(0, |first| first.as_millis() as u64),
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            prompt_tokens = self.call.demand(&[]).prompt_tokens(),
            total_ms = self.call.arrived.elapsed().as_millis() as u64,
            suppressed_lines = suppressed; "stream ended");
    }
}
