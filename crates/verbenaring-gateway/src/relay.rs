//! Eighth filter: relays the answer of a backend server to the caller.
//!
//! A streamed answer is checked event by event: each event carries the attempt
//! identifier, and the stream is whole only with its end marker. Only an event
//! that is not yet complete is buffered. Dropping the stream, as happens when
//! the caller goes away, closes the connection to the backend server.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, Sleep};

use crate::account::AnswerRecord;
use crate::body::BrokenStream;

/// Largest event that is buffered.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const EVENT_END: &[u8] = b"\n\n";
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// How the end of a relayed answer is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Server-sent events, whole with the end marker.
    Events,
    /// Any other body, whole with its announced length.
    Plain,
}

/// Answer being relayed to a caller.
pub struct RelayStream {
    upstream: Incoming,
    mode: RelayMode,
    identity: String,
    partial: BytesMut,
    deadline: Pin<Box<Sleep>>,
    done: bool,
    ended: bool,
    failed: Option<&'static str>,
    flushed: bool,
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
            upstream,
            mode,
            identity,
            partial: BytesMut::new(),
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            done: false,
            ended: false,
            failed: None,
            flushed: false,
            record,
        }
    }

    /// Next part for the caller.
    pub fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        if let Some(reason) = self.failed {
            if !std::mem::replace(&mut self.flushed, true) {
                // The connection drops what it has not written when the body
                // fails, so the error event is written first.
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            return Poll::Ready(Some(Err(BrokenStream(reason))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        loop {
            if self.deadline.as_mut().poll(context).is_ready() {
                return self.fail("deadline exceeded");
            }
            let frame = match Pin::new(&mut self.upstream).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return self.finish(),
                Poll::Ready(Some(Err(_))) => {
                    self.record.set_crashed();
                    return self.fail("connection broke");
                }
                Poll::Ready(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let part = match self.mode {
                RelayMode::Plain => Ok(Some(data)),
                RelayMode::Events => self.take_events(&data),
            };
            match part {
                Ok(Some(part)) => return Poll::Ready(Some(Ok(part))),
                Ok(None) => {}
                Err(reason) => return self.fail(reason),
            }
        }
    }

    fn take_events(&mut self, data: &[u8]) -> Result<Option<Bytes>, &'static str> {
        if self.done {
            return Err("data after the end marker");
        }
        self.partial.extend_from_slice(data);
        let Some(end) = find_last(&self.partial, EVENT_END) else {
            let oversize = self.partial.len() > MAX_EVENT_BYTES;
            return if oversize {
                Err("event is too large")
            } else {
                Ok(None)
            };
        };
        let events = self.partial.split_to(end + EVENT_END.len()).freeze();
        for event in split_events(&events) {
            self.check_event(event)?;
        }
        Ok(Some(events))
    }

    fn check_event(&mut self, event: &[u8]) -> Result<(), &'static str> {
        if event.starts_with(DONE_EVENT) {
            self.done = true;
            return Ok(());
        }
        if self.done {
            return Err("event after the end marker");
        }
        let Some(value) = event.strip_prefix(b"data:") else {
            return Ok(());
        };
        if has_foreign_identity(value, self.identity.as_bytes()) {
            return Err("event of another answer");
        }
        self.record.add_token();
        Ok(())
    }

    fn finish(&mut self) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        if self.mode == RelayMode::Events && !(self.done && self.partial.is_empty()) {
            return self.fail("stream ended without its end marker");
        }
        self.ended = true;
        self.record.succeed();
        Poll::Ready(None)
    }

    /// Sends an error event, then breaks the connection, so that the caller
    /// never sees a clean end of a partial answer.
    fn fail(&mut self, reason: &'static str) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        self.failed = Some(reason);
        self.record.fail(reason);
        if self.mode == RelayMode::Plain {
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

fn find_last(text: &[u8], pattern: &[u8]) -> Option<usize> {
    text.windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn split_events(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let end = rest
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)?;
        let event = &rest[..end];
        rest = &rest[end + EVENT_END.len()..];
        Some(event)
    })
}

/// Whether the event's top-level `id` names another attempt.
///
/// Engines put a prefix such as `chatcmpl-` before the identifier.
pub fn has_foreign_identity(event: &[u8], identity: &[u8]) -> bool {
    const FIELD: &[u8] = b"\"id\":";
    let Some(start) = event
        .windows(FIELD.len())
        .position(|window| window == FIELD)
    else {
        return false;
    };
    let value = &event[start + FIELD.len()..];
    let value = value.trim_ascii_start();
    let Some(value) = value.strip_prefix(b"\"") else {
        return false;
    };
    let end = value
        .iter()
        .position(|byte| *byte == b'"')
        .unwrap_or(value.len());
    !value[..end].ends_with(identity)
}
