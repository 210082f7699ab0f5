//! Reader of the server-sent events of one streamed answer.
//!
//! Only whole events are passed on. Each event with a JSON payload must carry
//! the attempt identifier, and the answer is whole only with its end marker.
//! The reader counts what was passed on, so that a broken stream can be
//! continued without a missing or repeated event.

use std::borrow::Cow;

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Largest event that is buffered.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
const DONE_PAYLOAD: &[u8] = b"[DONE]";

#[derive(Deserialize)]
struct EventHead<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    #[serde(default)]
    choices: Vec<ChoiceHead>,
    usage: Option<IgnoredAny>,
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct ChoiceHead {
    finish_reason: Option<IgnoredAny>,
}

/// What one event contributes to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventKind {
    /// One generated token.
    Token,
    /// Finish reason or token counts after the last token.
    Tail { usage: bool },
    /// End marker.
    Done,
    /// Error object, comment or field without a payload.
    Other,
}

/// Reader of the events of one answer.
#[derive(Debug)]
pub struct EventReader {
    identity: String,
    partial: BytesMut,
    /// Leading bytes of `partial` that hold no event end.
    scanned: usize,
    done: bool,
    tokens: u32,
    tail: u32,
    /// Events after the last token that a resumed stream repeats.
    repeated: u32,
    /// Tokens before the present stream, none if it was not resumed.
    resumed_from: Option<u32>,
}

impl EventReader {
    /// Reader of an answer whose events carry `identity`.
    pub fn new(identity: String) -> Self {
        Self {
            identity,
            partial: BytesMut::new(),
            scanned: 0,
            done: false,
            tokens: 0,
            tail: 0,
            repeated: 0,
            resumed_from: None,
        }
    }

    /// Attempt identifier of the answer.
    pub fn attempt_id(&self) -> &str {
        &self.identity
    }

    /// Tokens passed on so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Whether the end marker was passed on and nothing follows it.
    pub fn is_complete(&self) -> bool {
        self.done && self.partial.is_empty()
    }

    /// Continues with a stream that starts after the tokens passed on so far.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.repeated = self.tail;
        self.resumed_from = Some(self.tokens);
    }

    /// Whole events that `data` completes, to be passed on.
    pub fn push(&mut self, mut data: Bytes) -> Result<Option<Bytes>, &'static str> {
        if self.done && !data.is_empty() {
            return Err("data after the end marker");
        }
        // Most frames hold whole events and are passed on without a copy.
        let whole = if self.partial.is_empty() && data.ends_with(b"\n\n") {
            std::mem::take(&mut data)
        } else {
            self.partial.extend_from_slice(&data);
            self.split_whole()?
        };
        let mut kept = BytesMut::new();
        let mut rest = whole.clone();
        while let Some(end) = event_end(&rest, 0) {
            let event = rest.split_to(end);
            if let Some(event) = self.read(event)?
                && self.resumed_from.is_some()
            {
                kept.extend_from_slice(&event);
            }
        }
        let events = match self.resumed_from {
            None => whole,
            Some(_) => kept.freeze(),
        };
        Ok(events.has_remaining().then_some(events))
    }

    /// Splits off everything up to the last event end.
    fn split_whole(&mut self) -> Result<Bytes, &'static str> {
        let mut end = 0;
        let mut from = self.scanned;
        while let Some(next) = event_end(&self.partial, from) {
            end = next;
            from = next;
        }
        let whole = self.partial.split_to(end).freeze();
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err("event is too large");
        }
        // An event end has up to three bytes and may be divided between frames.
        self.scanned = self.partial.len().saturating_sub(2);
        Ok(whole)
    }

    /// Checks one event and returns it unless it was passed on before.
    fn read(&mut self, event: Bytes) -> Result<Option<Bytes>, &'static str> {
        if self.done {
            return Err("event after the end marker");
        }
        match self.check(&event)? {
            EventKind::Token => self.tokens += 1,
            EventKind::Done => self.done = true,
            EventKind::Tail { .. } if self.repeated > 0 => {
                self.repeated -= 1;
                return Ok(None);
            }
            EventKind::Tail { usage } => {
                self.tail += 1;
                if let (true, Some(tokens)) = (usage, self.resumed_from) {
                    return Ok(Some(add_usage(&event, tokens)));
                }
            }
            EventKind::Other => {}
        }
        Ok(Some(event))
    }

    fn check(&self, event: &[u8]) -> Result<EventKind, &'static str> {
        let payload = read_payload(event)?;
        let payload = payload.trim_ascii();
        if payload.is_empty() {
            return Ok(EventKind::Other);
        }
        if payload == DONE_PAYLOAD {
            return Ok(EventKind::Done);
        }
        let head: EventHead<'_> =
            serde_json::from_slice(payload).map_err(|_| "event is not a JSON object")?;
        match head.id {
            Some(id) if !id.ends_with(&self.identity) => return Err("event of another answer"),
            None if head.error.is_none() => return Err("event without an identifier"),
            _ => {}
        }
        if head.error.is_some() {
            return Ok(EventKind::Other);
        }
        let finished = |choice: &ChoiceHead| choice.finish_reason.is_some();
        if head.choices.is_empty() || head.choices.iter().any(finished) {
            let usage = head.usage.is_some();
            return Ok(EventKind::Tail { usage });
        }
        Ok(EventKind::Token)
    }
}

/// End of the first event, blank line included, that ends after `from`.
fn event_end(text: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    loop {
        let line_end = start + text[start..].iter().position(|byte| *byte == b'\n')?;
        match text[line_end + 1..] {
            [b'\n', ..] => return Some(line_end + 2),
            [b'\r', b'\n', ..] => return Some(line_end + 3),
            _ => start = line_end + 1,
        }
    }
}

/// Text of the `data` lines of an event.
fn read_payload(event: &[u8]) -> Result<Cow<'_, [u8]>, &'static str> {
    let mut payload = Cow::Borrowed(&[][..]);
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        // A caller may take it for the end of a line and read other events.
        if line.contains(&b'\r') {
            return Err("event holds a bare carriage return");
        }
        let Some(text) = line.strip_prefix(b"data:") else {
            continue;
        };
        if payload.is_empty() {
            payload = Cow::Borrowed(text);
        } else {
            let joined = payload.to_mut();
            joined.push(b'\n');
            joined.extend_from_slice(text);
        }
    }
    Ok(payload)
}

/// Event with the token counts of a resumed stream, which leave out the tokens
/// before it.
fn add_usage(event: &Bytes, tokens: u32) -> Bytes {
    let read = || {
        let payload = read_payload(event).ok()?;
        let mut value: serde_json::Value = serde_json::from_slice(&payload).ok()?;
        for field in ["completion_tokens", "total_tokens"] {
            let count = value["usage"][field].as_u64()?;
            value["usage"][field] = serde_json::json!(count + u64::from(tokens));
        }
        Some(Bytes::from(format!("data: {value}\n\n")))
    };
    read().unwrap_or_else(|| event.clone())
}

/// Whether the top-level `id` of a whole answer names another attempt.
///
/// Engines put a prefix such as `chatcmpl-` before the identifier.
pub fn has_foreign_attempt_id(answer: &[u8], identity: &str) -> bool {
    let head: Result<EventHead<'_>, _> = serde_json::from_slice(answer);
    head.is_ok_and(|head| head.id.is_some_and(|id| !id.ends_with(identity)))
}
