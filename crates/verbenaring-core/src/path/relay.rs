//! Relays a stream to its caller.
//!
//! A stream that completes no event for longer than callers wait counts as broken,
//! whatever bytes arrive, and so does one that ends inside an event, however its end
//! is marked, or together with its server if nothing marks it. A broken stream is
//! resumed at another server if its route allows it and that server goes on after the
//! last event. Otherwise the connection to the caller is closed without the last chunk,
//! so that a partial answer never looks complete. The relay states a regular end
//! explicitly; if it stops for any other reason, the answer is incomplete.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use verbenaring_policy::dispatch::build::BuildId;
use verbenaring_policy::dispatch::call::CallKind;
use verbenaring_policy::dispatch::server::CallOutcome;

use super::call::{PendingCall, TriedTargets, strip_connection_headers};
use super::controller::UpstreamAnswer;
use super::event::{EventProgress, EventSplitter};
use super::exchange::UpstreamStream;
use super::framing::AnswerFraming;
use super::reserve::{AnswerReserve, with_memory};
use crate::caller::body::{AnswerBody, AnswerPart, PartSender};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Bytes of an incomplete event that take no part of the memory for answers; nearly all
/// events are smaller.
const FREE_EVENT_BYTES: usize = 16 * 1024;
/// Largest part of a stream that takes none of the memory for answers; nearly all parts are
/// smaller.
const FREE_PART_BYTES: usize = 4 * 1024;

/// Why relaying a stream ended.
enum RelayOutcome {
    /// The whole stream was passed on.
    Complete,
    /// The caller closed its connection.
    CallerGone,
    /// The deadline of the call has passed.
    TimedOut,
    /// No event has ended for longer than callers wait.
    Stalled,
    /// The server or the connection to it failed.
    Broken(String),
}

/// What the head of an answer states about its body. A stream is continued only by an
/// answer of the same form.
#[derive(Debug, PartialEq)]
struct AnswerForm {
    status: StatusCode,
    /// Media type without parameters, in lower case; empty if it is not stated.
    media_type: String,
}

impl AnswerForm {
    fn of(head: &Parts) -> Self {
        let stated = head.headers.get(CONTENT_TYPE);
        let stated = stated.and_then(|value| value.to_str().ok());
        let media_type = stated.and_then(|value| value.split(';').next());
        Self {
            status: head.status,
            media_type: media_type.unwrap_or_default().trim().to_ascii_lowercase(),
        }
    }

    fn matches(&self, head: &Parts) -> bool {
        *self == Self::of(head)
    }
}

/// Task that relays one stream, with the figures that are logged at its end.
pub struct StreamRelay<P: WireProtocol> {
    node: Arc<FrontNode<P>>,
    call: Arc<PendingCall>,
    tried: TriedTargets,
    sender: PartSender,
    splitter: Option<EventSplitter>,
    /// Memory for the incomplete event.
    reserve: AnswerReserve,
    form: AnswerForm,
    progress: EventProgress,
    framing: AnswerFraming,
    first_part_at: Option<Instant>,
    last_part_at: Instant,
    longest_pause: Duration,
    parts: u32,
}

impl<P: WireProtocol> StreamRelay<P> {
    /// Starts a task that relays the body and returns the answer to the caller.
    pub fn start(
        node: &Arc<FrontNode<P>>,
        call: &Arc<PendingCall>,
        tried: TriedTargets,
        mut stream: Box<UpstreamStream<P>>,
    ) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::parts();
        strip_connection_headers(&mut stream.head.headers);
        let (server, build) = (stream.guard.current_server(), stream.build);
        node.name_server(call, server, build, &mut stream.head.headers);
        // A resumed stream may have another length than its first server stated.
        stream.head.headers.remove(CONTENT_LENGTH);
        let mut answer = Response::new(body);
        *answer.status_mut() = stream.head.status;
        *answer.headers_mut() = stream.head.headers.clone();
        let resumable = call.route.kind == CallKind::Stream { resumable: true };
        if !call.may_repeat_after_attempt() {
            call.release_body();
        }
        let relay = Self {
            node: node.clone(),
            call: call.clone(),
            tried,
            sender,
            splitter: resumable.then(EventSplitter::default),
            reserve: AnswerReserve::new(&node.answer_memory, FREE_EVENT_BYTES),
            form: AnswerForm::of(&stream.head),
            progress: EventProgress::default(),
            framing: stream.framing,
            first_part_at: None,
            last_part_at: Instant::now(),
            longest_pause: Duration::ZERO,
            parts: 0,
        };
        node.stream_tasks.spawn(relay.run(stream));
        answer
    }

    async fn run(mut self, mut stream: Box<UpstreamStream<P>>) {
        loop {
            let outcome = self.relay_stream(&mut stream).await;
            let reason = match outcome {
                RelayOutcome::Complete => {
                    stream.guard.set_end(CallOutcome::Good);
                    stream.lease.release();
                    drop(stream.guard);
                    match self.send(AnswerPart::End).await {
                        true => self.log_end("complete", ""),
                        false => self.log_end("caller_gone", ""),
                    }
                    return;
                }
                RelayOutcome::CallerGone => {
                    self.log_end("caller_gone", "");
                    return;
                }
                RelayOutcome::TimedOut => {
                    self.log_end("timed_out", "");
                    return;
                }
                RelayOutcome::Stalled => "no event within the longest pause".to_owned(),
                RelayOutcome::Broken(reason) => reason,
            };
            stream.guard.set_end(CallOutcome::Broken);
            let target = self.exclude_target(&stream);
            drop(stream);
            log::warn!(request = self.call.metadata.attempt_id.as_str(), target = target.as_str(),
                reason = reason.as_str(), parts = self.parts,
                build = self.call.build.get().map_or(0, |build| build.0),
                resumable = self.splitter.is_some(); "stream broke");
            stream = match self.resume().await {
                Some(stream) => stream,
                None => {
                    self.log_end("broken", &reason);
                    return;
                }
            };
        }
    }

    async fn relay_stream(&mut self, stream: &mut UpstreamStream<P>) -> RelayOutcome {
        let deadline = sleep_until(self.call.deadline);
        tokio::pin!(deadline);
        let max_pause = self.call.route.max_pause();
        let stall = sleep(max_pause);
        tokio::pin!(stall);
        self.progress = EventProgress::default();
        self.framing = stream.framing;
        loop {
            let frame = tokio::select! {
                biased;
                () = stall.as_mut() => return RelayOutcome::Stalled,
                frame = stream.body.frame() => frame,
                () = self.sender.closed() => return RelayOutcome::CallerGone,
                () = deadline.as_mut() => return RelayOutcome::TimedOut,
            };
            let data = match frame {
                None => return self.finish(stream).await,
                Some(Err(error)) => return RelayOutcome::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => data,
                    _ => continue,
                },
            };
            self.record_part();
            stream.guard.record_part();
            if self.progress.push(&data).is_some() {
                stream.guard.record_first_event();
                stall.as_mut().reset(Instant::now() + max_pause);
            }
            let whole = match &mut self.splitter {
                None => Some(data),
                Some(splitter) => match splitter.push(&data) {
                    Ok(whole) => whole,
                    Err(error) => return RelayOutcome::Broken(error.to_string()),
                },
            };
            let incomplete = self.splitter.as_ref();
            if !self
                .reserve
                .hold(incomplete.map_or(0, EventSplitter::incomplete_bytes))
            {
                return RelayOutcome::Broken("no memory is left for long events".to_owned());
            }
            if let Some(whole) = whole {
                self.bind(stream.build);
                if !self.send_data(whole).await {
                    return RelayOutcome::CallerGone;
                }
            }
        }
    }

    /// Binds the stream to the version of its first server, before its first event goes to
    /// the caller.
    fn bind(&mut self, build: Option<BuildId>) {
        let resumable = self.splitter.is_some();
        if let Some(build) = build.filter(|_| resumable && self.parts == 0) {
            self.node.record_origin(&self.call, build);
        }
    }

    fn record_part(&mut self) {
        let now = Instant::now();
        match self.first_part_at {
            Some(_) => {
                let pause = now.saturating_duration_since(self.last_part_at);
                self.longest_pause = self.longest_pause.max(pause);
            }
            None => {
                self.first_part_at = Some(now);
                self.node.observe_first_event(&self.call);
            }
        }
        self.last_part_at = now;
    }

    /// Ends a stream whose connection reported no error. Blank lines after the last event
    /// belong to the answer and are passed on.
    async fn finish(&mut self, stream: &UpstreamStream<P>) -> RelayOutcome {
        let position = self.progress.position();
        let ends = &self.node.metrics.stream_ends;
        ends.with_label_values(&[self.framing.as_str(), position.as_str()])
            .inc();
        if !position.completes(self.framing) {
            return RelayOutcome::Broken(format!(
                "the stream ended at position {}",
                position.as_str()
            ));
        }
        let server = stream.guard.server();
        let ended = self
            .node
            .ended_with_answer(self.framing, server, &stream.lease);
        if timeout_at(self.call.deadline, ended).await == Ok(true) {
            return RelayOutcome::Broken("the server ended or reset the connection".to_owned());
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_incomplete);
        match rest {
            Some(rest) if !rest.is_empty() => match self.send_data(rest).await {
                true => RelayOutcome::Complete,
                false => RelayOutcome::CallerGone,
            },
            _ => RelayOutcome::Complete,
        }
    }

    async fn send_data(&mut self, data: Bytes) -> bool {
        self.parts += 1;
        let Some(data) = self.hold_part(data).await else {
            return false;
        };
        self.send(AnswerPart::Data(data)).await
    }

    /// Joins a part with its memory. While callers that do not read take up the memory, the
    /// server is slowed down; `None` at the deadline.
    async fn hold_part(&self, data: Bytes) -> Option<Bytes> {
        if data.len() <= FREE_PART_BYTES {
            return Some(data);
        }
        let memory = &self.node.answer_memory;
        let total = self.node.settings.resources.answer_memory_bytes();
        let permits = data.len().min(total) as u32;
        let held = memory.clone().acquire_many_owned(permits);
        let held = timeout_at(self.call.deadline, held).await.ok()?.ok()?;
        Some(with_memory(data, held))
    }

    async fn send(&mut self, part: AnswerPart) -> bool {
        let sending = self.sender.send(part);
        // A caller that does not read is disconnected at the deadline.
        matches!(timeout_at(self.call.deadline, sending).await, Ok(Ok(())))
    }

    /// Excludes the target of a broken stream and returns its name for logs.
    fn exclude_target(&mut self, stream: &UpstreamStream<P>) -> String {
        self.call.runs.fetch_add(1, Ordering::Relaxed);
        match (&stream.vm, stream.guard.server()) {
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

    /// Opens a stream at another target that continues after the last whole
    /// event. `None` if the stream cannot be resumed.
    async fn resume(&mut self) -> Option<Box<UpstreamStream<P>>> {
        let splitter = self.splitter.as_mut()?;
        splitter.continue_elsewhere();
        // The caller has events of a version that is not known.
        let unbound = self.parts > 0 && self.call.build.get().is_none();
        if unbound || !self.call.may_run_again() || self.sender.is_closed() {
            return None;
        }
        self.call.reached_server.store(true, Ordering::Relaxed);
        let last_id = splitter.last_id().map(str::to_owned);
        let last_id = last_id.or_else(|| self.call.metadata.last_event_id.clone());
        let resuming = self
            .node
            .try_targets(&self.call, &mut self.tried, last_id.as_deref());
        match timeout_at(self.call.deadline, resuming).await {
            Ok(Ok(UpstreamAnswer::Stream(stream))) if !self.form.matches(&stream.head) => {
                log::warn!(request = self.call.metadata.attempt_id.as_str(),
                    status = stream.head.status.as_u16(); "stream not resumed: answer of another form");
                None
            }
            Ok(Ok(UpstreamAnswer::Stream(stream))) => {
                log::info!(request = self.call.metadata.attempt_id.as_str(),
                    after = last_id.as_deref().unwrap_or("start"); "stream resumed");
                Some(stream)
            }
            Ok(Ok(UpstreamAnswer::Whole(answer))) => {
                log::warn!(request = self.call.metadata.attempt_id.as_str(),
                    status = answer.status().as_u16(); "stream not resumed");
                None
            }
            Ok(Err(refusal)) => {
                log::warn!(request = self.call.metadata.attempt_id.as_str(), reason = refusal.reason; "stream not resumed");
                None
            }
            Err(_) => None,
        }
    }

    fn log_end(&self, outcome: &'static str, reason: &str) {
        self.node.count_call(outcome);
        let failed = !matches!(outcome, "complete" | "caller_gone");
        let Some(suppressed) = self.node.allow_log_line(failed) else {
            return;
        };
        let first = self
            .first_part_at
            .map(|first| first.saturating_duration_since(self.call.received_at));
        log::info!(request = self.call.metadata.attempt_id.as_str(), route = self.call.route.name.as_str(),
            outcome = outcome, reason = reason, parts = self.parts,
            framing = self.framing.as_str(), position = self.progress.position().as_str(),
            first_ms = first.map_or(0, |first| first.as_millis() as u64),
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            prompt_tokens = self.call.placement_request(&[]).prompt_tokens(),
            total_ms = self.call.received_at.elapsed().as_millis() as u64,
            suppressed_lines = suppressed; "stream ended");
    }
}
