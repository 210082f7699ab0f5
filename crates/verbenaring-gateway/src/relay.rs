//! Eighth filter: relays the answer of a backend server or node to the caller.
//!
//! A streamed answer of an engine is checked event by event ([`crate::event`]). Only
//! an incomplete event is buffered. A stream that breaks is resumed if the engine
//! supports it. The answer of a plain service passes as it arrives. It is broken if it
//! is a stream that ends inside an event, or if its end is not marked and its server has
//! ended or reset the connection. Dropping the stream, as happens when the caller goes away, closes the
//! connection to the backend server.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, Sleep};
use tokio_util::task::AbortOnDropHandle;
use verbenaring_core::path::event::EventProgress;
use verbenaring_core::path::framing::AnswerFraming;
use verbenaring_core::upstream::reset::EndWatcher;

use crate::account::AnswerRecord;
use crate::attempt::AnswerFuture;
use crate::body::BrokenStream;
use crate::check::may_be_cut;
use crate::event::EventReader;
use crate::resume::{ResumeAnswer, ResumeRequest};

/// How the end of a relayed answer is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Server-sent events of an engine, complete with the end marker.
    Events,
    /// Server-sent events of a plain service, complete if they end between two events.
    PlainEvents(AnswerFraming),
    /// Any other body of a plain service, complete at the end that its framing marks.
    Plain(AnswerFraming),
}

impl RelayMode {
    /// Whether the end of the connection is all that shows the end of the answer.
    fn is_unframed(self) -> bool {
        matches!(
            self,
            Self::PlainEvents(AnswerFraming::Connection) | Self::Plain(AnswerFraming::Connection)
        )
    }
}

/// What the stream waits for next.
enum RelaySource {
    Body(Incoming),
    /// Wait before the next resume.
    Delay(Pin<Box<Sleep>>),
    /// Answer to a resume.
    Resume(AnswerFuture),
    /// Whether an unframed answer that has ended may have been cut.
    Check(AbortOnDropHandle<bool>),
    Ended,
    /// The error event was passed on; once it is flushed, the connection is closed
    /// with an error.
    Failed {
        reason: &'static str,
        flushed: bool,
    },
}

type PartPoll = Poll<Option<Result<Bytes, BrokenStream>>>;

/// Answer that is being relayed to a caller.
pub struct RelayStream {
    source: RelaySource,
    mode: RelayMode,
    reader: EventReader,
    progress: EventProgress,
    deadline: Pin<Box<Sleep>>,
    resume: Option<Box<ResumeRequest>>,
    end: Option<EndWatcher>,
    record: AnswerRecord,
}

impl RelayStream {
    /// Creates a stream of `upstream`, which fails if it is incomplete at `deadline`.
    pub fn new(
        upstream: Incoming,
        mode: RelayMode,
        attempt_id: String,
        deadline: Instant,
        record: AnswerRecord,
    ) -> Self {
        Self {
            source: RelaySource::Body(upstream),
            mode,
            reader: EventReader::new(attempt_id),
            progress: EventProgress::default(),
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            resume: None,
            end: None,
            record,
        }
    }

    /// Sets the request by which the stream is resumed when it breaks; without one, it
    /// fails.
    pub fn with_resume(self, request: Option<ResumeRequest>) -> Self {
        let resume = request.map(Box::new);
        Self { resume, ..self }
    }

    /// Sets the watcher of the server's connection.
    pub fn with_end(self, end: Option<EndWatcher>) -> Self {
        Self { end, ..self }
    }

    /// Polls for the next bytes for the caller; `None` is the regular end.
    pub fn poll_part(&mut self, context: &mut Context<'_>) -> PartPoll {
        loop {
            match &mut self.source {
                RelaySource::Ended => return Poll::Ready(None),
                RelaySource::Failed { reason, flushed } => {
                    if *flushed {
                        return Poll::Ready(Some(Err(BrokenStream(reason))));
                    }
                    // The server flushes the connection before it polls the stream again.
                    *flushed = true;
                    context.waker().wake_by_ref();
                    return Poll::Pending;
                }
                _ => {}
            }
            if self.deadline.as_mut().poll(context).is_ready() {
                return self.fail("deadline exceeded");
            }
            if let Some(part) = ready!(self.poll_source(context)) {
                return part;
            }
        }
    }

    /// Advances the source; `None` means that it must be polled again.
    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<PartPoll>> {
        match &mut self.source {
            RelaySource::Body(upstream) => {
                let frame = ready!(Pin::new(upstream).poll_frame(context));
                Poll::Ready(match frame {
                    None => self.finish(),
                    Some(Err(_)) => {
                        self.record.record_crash();
                        self.resume_or_fail("connection broke")
                    }
                    Some(Ok(frame)) => frame
                        .into_data()
                        .ok()
                        .and_then(|data| self.relay_data(data)),
                })
            }
            RelaySource::Delay(delay) => {
                ready!(delay.as_mut().poll(context));
                Poll::Ready(self.start_resume())
            }
            RelaySource::Resume(answer) => {
                let answer = ready!(Pin::new(answer).poll(context));
                if matches!(&answer, Err(error) if !error.is_connect()) {
                    self.record.record_crash();
                }
                Poll::Ready(self.handle_resume_answer(answer.ok()))
            }
            RelaySource::Check(cut) => {
                let cut = ready!(Pin::new(cut).poll(context));
                Poll::Ready(match cut {
                    Ok(false) => self.complete(),
                    _ => Some(self.fail("the server ended or reset the connection")),
                })
            }
            RelaySource::Ended | RelaySource::Failed { .. } => Poll::Ready(None),
        }
    }

    fn relay_data(&mut self, data: Bytes) -> Option<PartPoll> {
        if self.mode != RelayMode::Events {
            self.progress.push(&data);
            return Some(Poll::Ready(Some(Ok(data))));
        }
        let before = self.reader.tokens();
        match self.reader.push(data) {
            Ok(events) => {
                self.record.add_streamed(self.reader.tokens() - before);
                events.map(|events| Poll::Ready(Some(Ok(events))))
            }
            Err(reason) => Some(self.fail(reason)),
        }
    }

    fn finish(&mut self) -> Option<PartPoll> {
        if self.mode == RelayMode::Events && !self.reader.is_complete() {
            return self.resume_or_fail("stream ended without its end marker");
        }
        if let RelayMode::PlainEvents(framing) = self.mode
            && !self.progress.position().completes(framing)
        {
            return Some(self.fail("stream ended inside an event"));
        }
        if self.mode.is_unframed() {
            let check = may_be_cut(self.record.serving_address(), self.end.take());
            let check = tokio::spawn(check);
            self.source = RelaySource::Check(AbortOnDropHandle::new(check));
            return None;
        }
        self.complete()
    }

    fn complete(&mut self) -> Option<PartPoll> {
        self.source = RelaySource::Ended;
        self.record.succeed();
        Some(Poll::Ready(None))
    }

    /// Schedules a resume of a stream that broke, or fails it if none is left.
    fn resume_or_fail(&mut self, reason: &'static str) -> Option<PartPoll> {
        if self.mode == RelayMode::Events && self.reader.is_complete() {
            return self.finish();
        }
        let delay = self.resume.as_mut().and_then(|resume| resume.next_delay());
        match delay {
            Some(delay) => {
                let delay = tokio::time::sleep(delay);
                self.source = RelaySource::Delay(Box::pin(delay));
                None
            }
            None => Some(self.fail(reason)),
        }
    }

    fn start_resume(&mut self) -> Option<PartPoll> {
        let tokens = self.reader.tokens();
        let resume = self.resume.as_ref().filter(|_| self.record.may_resume());
        match resume.and_then(|resume| resume.start(tokens)) {
            Some(answer) => {
                self.record.start_resume();
                self.source = RelaySource::Resume(answer);
                None
            }
            None => Some(self.fail("stream cannot be resumed")),
        }
    }

    fn handle_resume_answer(
        &mut self,
        answer: Option<hyper::Response<Incoming>>,
    ) -> Option<PartPoll> {
        let tokens = self.reader.tokens();
        let checked = match (&self.resume, answer) {
            (Some(resume), Some(answer)) => resume.check(answer, tokens),
            _ => ResumeAnswer::NotReady,
        };
        match checked {
            ResumeAnswer::Continued(upstream) => {
                self.reader.resume();
                self.source = RelaySource::Body(upstream);
                self.record.record_resume();
                None
            }
            ResumeAnswer::NotReady => {
                self.record.end_resume();
                self.resume_or_fail("stream cannot be resumed")
            }
            ResumeAnswer::Refused => Some(self.fail("engine did not confirm the resume")),
        }
    }

    /// Sends an error event, then closes the connection with an error, so that a
    /// partial answer never looks complete to the caller. A plain body gets no
    /// event.
    fn fail(&mut self, reason: &'static str) -> PartPoll {
        self.record.fail(reason);
        let flushed = self.mode != RelayMode::Events;
        self.source = RelaySource::Failed { reason, flushed };
        if flushed {
            return Poll::Ready(Some(Err(BrokenStream(reason))));
        }
        let event = serde_json::json!({ "error": {
            "message": format!("answer is not complete: {reason}"),
            "type": "server_error",
            "code": "stream_broken",
            "param": null,
            "outcome": "unknown",
        }});
        Poll::Ready(Some(Ok(Bytes::from(format!("data: {event}\n\n")))))
    }
}
