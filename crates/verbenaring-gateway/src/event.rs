//! Reader of the server-sent events of one streamed answer.
//!
//! Only complete events are passed on. Each event with a JSON payload must
//! carry the attempt identifier, and an answer without its end marker is
//! incomplete. The reader counts what was passed on, so that a broken stream
//! can be resumed without a missing or repeated event.

use std::borrow::Cow;

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Largest incomplete event that is buffered.
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

/// Role of one event in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEventKind {
    /// One generated token.
    Token,
    /// Finish reason or token counts after the last token.
    Trailer { usage: bool },
    /// End marker.
    Done,
    /// Error object, or event without a payload, such as a comment.
    Other,
}

/// Splits, checks and counts the events of one answer.
#[derive(Debug)]
pub struct EventReader {
    attempt_id: String,
    /// Bytes of an event that is not yet complete.
    partial: BytesMut,
    /// Leading bytes of `partial` that are known to hold no event end.
    scanned: usize,
    done: bool,
    tokens: u32,
    trailers: u32,
    /// Trailers that a resumed stream is still going to repeat.
    repeated_trailers: u32,
    /// Tokens passed on before the last resume; `None` without a resume.
    resumed_from: Option<u32>,
}

impl EventReader {
    /// Creates a reader of an answer whose events carry `attempt_id`.
    pub fn new(attempt_id: String) -> Self {
        Self {
            attempt_id,
            partial: BytesMut::new(),
            scanned: 0,
            done: false,
            tokens: 0,
            trailers: 0,
            repeated_trailers: 0,
            resumed_from: None,
        }
    }

    /// Attempt identifier that the events must carry.
    pub fn attempt_id(&self) -> &str {
        &self.attempt_id
    }

    /// Tokens passed on so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Whether the end marker was passed on and no bytes are left over.
    pub fn is_complete(&self) -> bool {
        self.done && self.partial.is_empty()
    }

    /// Switches to a new stream that starts after the tokens passed on so far.
    ///
    /// The bytes of an incomplete event are dropped.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.repeated_trailers = self.trailers;
        self.resumed_from = Some(self.tokens);
    }

    /// Adds received bytes and returns the events that they complete, to be passed
    /// on; `None` if there are none. Errors say why the stream is not valid.
    pub fn push(&mut self, mut data: Bytes) -> Result<Option<Bytes>, &'static str> {
        if self.done && !data.is_empty() {
            return Err("data after the end marker");
        }
        // Most frames hold only complete events and are passed on without a copy.
        let complete = if self.partial.is_empty() && data.ends_with(b"\n\n") {
            std::mem::take(&mut data)
        } else {
            self.partial.extend_from_slice(&data);
            self.split_complete()?
        };
        let mut unseen = BytesMut::new();
        let mut rest = complete.clone();
        while let Some(end) = event_end(&rest, 0) {
            let event = rest.split_to(end);
            if let Some(event) = self.accept_event(event)?
                && self.resumed_from.is_some()
            {
                unseen.extend_from_slice(&event);
            }
        }
        let events = match self.resumed_from {
            None => complete,
            Some(_) => unseen.freeze(),
        };
        Ok(events.has_remaining().then_some(events))
    }

    /// Splits off everything up to the last event end.
    fn split_complete(&mut self) -> Result<Bytes, &'static str> {
        let mut end = 0;
        let mut from = self.scanned;
        while let Some(next) = event_end(&self.partial, from) {
            end = next;
            from = next;
        }
        let complete = self.partial.split_to(end).freeze();
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err("event is too large");
        }
        // An event end has up to three bytes and may be split between frames.
        self.scanned = self.partial.len().saturating_sub(2);
        Ok(complete)
    }

    /// Checks and counts one event; `None` if it was passed on before the resume.
    fn accept_event(&mut self, event: Bytes) -> Result<Option<Bytes>, &'static str> {
        if self.done {
            return Err("event after the end marker");
        }
        match self.classify_event(&event)? {
            StreamEventKind::Token => self.tokens += 1,
            StreamEventKind::Done => self.done = true,
            StreamEventKind::Trailer { .. } if self.repeated_trailers > 0 => {
                self.repeated_trailers -= 1;
                return Ok(None);
            }
            StreamEventKind::Trailer { usage } => {
                self.trailers += 1;
                if let (true, Some(tokens)) = (usage, self.resumed_from) {
                    return Ok(Some(add_token_counts(&event, tokens)));
                }
            }
            StreamEventKind::Other => {}
        }
        Ok(Some(event))
    }

    fn classify_event(&self, event: &[u8]) -> Result<StreamEventKind, &'static str> {
        let payload = read_payload(event)?;
        let payload = payload.trim_ascii();
        if payload.is_empty() {
            return Ok(StreamEventKind::Other);
        }
        if payload == DONE_PAYLOAD {
            return Ok(StreamEventKind::Done);
        }
        let head: EventHead<'_> =
            serde_json::from_slice(payload).map_err(|_| "event is not a JSON object")?;
        match head.id {
            Some(id) if !id.ends_with(&self.attempt_id) => return Err("event of another answer"),
            None if head.error.is_none() => return Err("event without an identifier"),
            _ => {}
        }
        if head.error.is_some() {
            return Ok(StreamEventKind::Other);
        }
        let finished = |choice: &ChoiceHead| choice.finish_reason.is_some();
        if head.choices.is_empty() || head.choices.iter().any(finished) {
            let usage = head.usage.is_some();
            return Ok(StreamEventKind::Trailer { usage });
        }
        Ok(StreamEventKind::Token)
    }
}

/// Offset behind the first event that ends after `from`, blank line included.
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

/// Joined text of the `data` lines of an event.
fn read_payload(event: &[u8]) -> Result<Cow<'_, [u8]>, &'static str> {
    let mut payload = Cow::Borrowed(&[][..]);
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        // A caller's parser may take it for a line end and so see other events.
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

/// Adds `tokens` to the token counts of an event.
///
/// The counts of a resumed stream leave out the tokens before the resume. An event
/// without counts is returned unchanged.
fn add_token_counts(event: &Bytes, tokens: u32) -> Bytes {
    let updated = || {
        let payload = read_payload(event).ok()?;
        let mut value: serde_json::Value = serde_json::from_slice(&payload).ok()?;
        for field in ["completion_tokens", "total_tokens"] {
            let count = value["usage"][field].as_u64()?;
            value["usage"][field] = serde_json::json!(count + u64::from(tokens));
        }
        Some(Bytes::from(format!("data: {value}\n\n")))
    };
    updated().unwrap_or_else(|| event.clone())
}

/// Whether the top-level `id` of an answer or event names another attempt.
///
/// Engines put a prefix such as `chatcmpl-` before the identifier.
pub fn has_foreign_attempt_id(answer: &[u8], attempt_id: &str) -> bool {
    let head: Result<EventHead<'_>, _> = serde_json::from_slice(answer);
    head.is_ok_and(|head| head.id.is_some_and(|id| !id.ends_with(attempt_id)))
}
