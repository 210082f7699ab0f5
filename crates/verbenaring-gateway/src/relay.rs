//! Eighth filter: relays the answer of a backend server to the caller.
//!
//! A streamed answer is checked event by event ([`crate::event`]). Only an
//! event that is not yet complete is buffered. A stream that breaks is resumed
//! where the engine allows it. Dropping the stream, as happens when the caller
//! goes away, closes the connection to the backend server.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::ResponseFuture;
use tokio::time::{Instant, Sleep};

use crate::account::AnswerRecord;
use crate::body::BrokenStream;
use crate::event::EventReader;
use crate::resume::{ResumeAnswer, ResumeSource};

/// How the end of a relayed answer is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Server-sent events of an engine, whole with the end marker.
    Events,
    /// Any other body, whole with its announced length.
    Plain,
}

/// Where the next part comes from.
enum RelaySource {
    Body(Incoming),
    Delay(Pin<Box<Sleep>>),
    Resume(ResponseFuture),
    Ended,
    /// The error event was handed out; the connection breaks once it is flushed.
    Failed {
        reason: &'static str,
        flushed: bool,
    },
}

type Part = Poll<Option<Result<Bytes, BrokenStream>>>;

/// Answer being relayed to a caller.
pub struct RelayStream {
    source: RelaySource,
    mode: RelayMode,
    reader: EventReader,
    deadline: Pin<Box<Sleep>>,
    resume: Option<Box<ResumeSource>>,
    record: AnswerRecord,
}

impl RelayStream {
    /// Stream of `upstream` that must be whole before `deadline`.
    pub fn new(
        upstream: Incoming,
        mode: RelayMode,
        identity: String,
        deadline: Instant,
        record: AnswerRecord,
    ) -> Self {
        Self {
            source: RelaySource::Body(upstream),
            mode,
            reader: EventReader::new(identity),
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            resume: None,
            record,
        }
    }

    /// Same stream, resumed from `source` when it breaks.
    pub fn with_resume(self, source: Option<ResumeSource>) -> Self {
        let resume = source.map(Box::new);
        Self { resume, ..self }
    }

    /// Next part for the caller.
    pub fn poll_part(&mut self, context: &mut Context<'_>) -> Part {
        loop {
            match &mut self.source {
                RelaySource::Ended => return Poll::Ready(None),
                RelaySource::Failed { reason, flushed } => {
                    if *flushed {
                        return Poll::Ready(Some(Err(BrokenStream(reason))));
                    }
                    // The connection is flushed before the stream is polled again.
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

    /// Advances the source; without a part the source has changed.
    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<Option<Part>> {
        match &mut self.source {
            RelaySource::Body(upstream) => {
                let frame = ready!(Pin::new(upstream).poll_frame(context));
                Poll::Ready(match frame {
                    None => self.finish(),
                    Some(Err(_)) => {
                        self.record.set_crashed();
                        self.interrupt("connection broke")
                    }
                    Some(Ok(frame)) => frame.into_data().ok().and_then(|data| self.pass(data)),
                })
            }
            RelaySource::Delay(delay) => {
                ready!(delay.as_mut().poll(context));
                Poll::Ready(self.start_resume())
            }
            RelaySource::Resume(answer) => {
                let answer = ready!(Pin::new(answer).poll(context));
                Poll::Ready(self.settle_resume(answer.ok()))
            }
            RelaySource::Ended | RelaySource::Failed { .. } => Poll::Ready(None),
        }
    }

    fn pass(&mut self, data: Bytes) -> Option<Part> {
        if self.mode == RelayMode::Plain {
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

    fn finish(&mut self) -> Option<Part> {
        if self.mode == RelayMode::Events && !self.reader.is_complete() {
            return self.interrupt("stream ended without its end marker");
        }
        self.source = RelaySource::Ended;
        self.record.succeed();
        Some(Poll::Ready(None))
    }

    /// Resumes a stream that broke, or fails.
    fn interrupt(&mut self, reason: &'static str) -> Option<Part> {
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

    fn start_resume(&mut self) -> Option<Part> {
        let tokens = self.reader.tokens();
        match self.resume.as_ref().and_then(|resume| resume.start(tokens)) {
            Some(answer) => {
                self.source = RelaySource::Resume(answer);
                None
            }
            None => Some(self.fail("stream cannot be resumed")),
        }
    }

    fn settle_resume(&mut self, answer: Option<hyper::Response<Incoming>>) -> Option<Part> {
        let tokens = self.reader.tokens();
        let checked = match (&self.resume, answer) {
            (Some(resume), Some(answer)) => resume.check(answer, tokens),
            _ => ResumeAnswer::Unready,
        };
        match checked {
            ResumeAnswer::Continued(upstream) => {
                self.reader.resume();
                self.source = RelaySource::Body(upstream);
                self.record.resume();
                None
            }
            ResumeAnswer::Unready => self.interrupt("stream cannot be resumed"),
            ResumeAnswer::Refused => Some(self.fail("engine did not confirm the resume")),
        }
    }

    /// Sends an error event, then breaks the connection, so that the caller
    /// never sees a clean end of a partial answer.
    fn fail(&mut self, reason: &'static str) -> Part {
        self.record.fail(reason);
        let flushed = self.mode == RelayMode::Plain;
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
