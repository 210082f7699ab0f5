//! Splits a stream of server-sent events into whole events.
//!
//! A server may stop in the middle of an event. If another server continues
//! the stream, the caller must not have received the incomplete event, so only
//! whole events are passed on.

use bytes::{Bytes, BytesMut};

use super::framing::AnswerFraming;

/// Largest incomplete event that is buffered; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers a stream up to the end of an event and remembers the last event id.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
    progress: EventProgress,
    last_id: Option<String>,
    /// Whether the next event must continue the stream after `last_id`.
    continues: bool,
}

/// Why the bytes of a stream cannot be passed on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The incomplete event exceeds the buffer limit.
    #[error("event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The first event of a resumed stream does not follow the last one before.
    #[error("event {found:?} does not follow event {last}")]
    NotNext {
        /// ID of the last event before the resume.
        last: String,
        /// ID of the first event after it, if it has one.
        found: Option<String>,
    },
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete, if any.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, EventError> {
        let known = self.incomplete.len();
        self.incomplete.extend_from_slice(bytes);
        let Some(end) = self.progress.push(bytes) else {
            if self.incomplete.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            return Ok(None);
        };
        let whole = self.incomplete.split_to(known + end).freeze();
        if std::mem::take(&mut self.continues) {
            self.check_next(&whole)?;
        }
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Number of bytes of the incomplete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete.len()
    }

    /// Last id among the whole events; `None` if none had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.progress = EventProgress::default();
        self.incomplete.split().freeze()
    }

    /// Expects another stream that continues this one after its last whole event.
    pub fn continue_elsewhere(&mut self) {
        self.take_incomplete();
        self.continues = self.last_id.is_some();
    }

    /// Checks that events follow the last one. A server that cannot continue a stream may
    /// state its error in the form of an event.
    fn check_next(&self, events: &[u8]) -> Result<(), EventError> {
        let Some(last) = &self.last_id else {
            return Ok(());
        };
        let found = find_first_id(events);
        let is_next = found.as_ref().is_some_and(|found| {
            let numbers = found.parse::<u64>().ok().zip(last.parse::<u64>().ok());
            numbers.map_or(found != last, |(found, last)| found > last)
        });
        match is_next {
            true => Ok(()),
            false => Err(EventError::NotNext {
                last: last.clone(),
                found,
            }),
        }
    }
}

/// Finds the ends of events in a stream, looking at each byte once.
///
/// An event ends with a blank line. A stream makes progress only when an event
/// ends: a server in trouble may send bytes that never complete one.
#[derive(Debug, Default)]
pub struct EventProgress {
    line: LineState,
    has_data: bool,
    has_event: bool,
}

/// Where a stream stands after the bytes that have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamPosition {
    /// No event has ended yet, and none has begun.
    BeforeEvents,
    /// An event has begun and not ended.
    InsideEvent,
    /// The last event has ended.
    BetweenEvents,
}

impl StreamPosition {
    /// Whether a stream that ends here, without an error of its connection, is complete.
    ///
    /// The end of a connection alone does not show that the server has sent an answer.
    /// A stream that is resumed after its last event has no events, but marks its end.
    pub fn completes(self, framing: AnswerFraming) -> bool {
        match self {
            Self::InsideEvent => false,
            Self::BetweenEvents => true,
            Self::BeforeEvents => framing != AnswerFraming::Connection,
        }
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BeforeEvents => "before_events",
            Self::InsideEvent => "inside_event",
            Self::BetweenEvents => "between_events",
        }
    }
}

/// What the current line holds so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineState {
    #[default]
    Empty,
    CarriageReturn,
    Text,
}

impl EventProgress {
    /// Looks at further bytes; returns the position after the last event that ends
    /// in them, if one does.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            self.line = match (byte, self.line) {
                (b'\n', LineState::Text) => LineState::Empty,
                (b'\n', _) => {
                    if std::mem::take(&mut self.has_data) {
                        self.has_event = true;
                        end = Some(at + 1);
                    }
                    LineState::Empty
                }
                (b'\r', LineState::Empty) => LineState::CarriageReturn,
                _ => {
                    self.has_data = true;
                    LineState::Text
                }
            };
        }
        end
    }

    /// Position after the bytes looked at so far.
    pub fn position(&self) -> StreamPosition {
        match (self.has_data, self.has_event) {
            (true, _) => StreamPosition::InsideEvent,
            (false, true) => StreamPosition::BetweenEvents,
            (false, false) => StreamPosition::BeforeEvents,
        }
    }
}

fn find_last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(read_id)
}

/// ID of the first event; `None` if it has none. Comments are no events.
fn find_first_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut fields = lines
        .by_ref()
        .skip_while(|line| line.is_empty() || line.starts_with(b":"))
        .take_while(|line| !line.is_empty());
    fields.find_map(read_id)
}

fn read_id(line: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    Some(text.trim().to_owned())
}
