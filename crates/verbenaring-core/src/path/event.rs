//! Splits a stream of server-sent events into whole events.
//!
//! A server may stop in the middle of an event. If another server continues
//! the stream, the caller must not have received the incomplete event, so only
//! whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event that is buffered; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers a stream up to the end of an event and remembers the last event id.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
    last_id: Option<String>,
}

/// The incomplete event exceeds the buffer limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete, if any.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, EventTooLarge> {
        self.incomplete.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.incomplete) else {
            if self.incomplete.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let whole = self.incomplete.split_to(end).freeze();
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Last id among the whole events; `None` if none had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }
}

/// Position after the last blank line, which ends an event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let newline = (0..bytes.len()).rev().filter(|&at| bytes[at] == b'\n');
    let mut ends = newline.filter(|&at| {
        let before = &bytes[..at];
        before.ends_with(b"\n") || before.ends_with(b"\n\r")
    });
    ends.next().map(|at| at + 1)
}

fn find_last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}
