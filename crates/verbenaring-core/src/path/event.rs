//! Whole events of a stream.
//!
//! A server may stop in the middle of an event. If another server continues
//! the stream, the caller must not have seen the begun event, so only whole
//! events are passed on.

use bytes::{Bytes, BytesMut};

/// Largest event that is held back; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a stream after whole events and remembers the last identifier.
#[derive(Debug, Default)]
pub struct EventSplitter {
    begun: BytesMut,
    last: Option<String>,
}

/// An event is longer than any that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

impl EventSplitter {
    /// Takes received bytes and returns the events that are whole now.
    pub fn take(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, EventTooLong> {
        self.begun.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.begun) else {
            if self.begun.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let whole = self.begun.split_to(end).freeze();
        if let Some(last) = last_identifier(&whole) {
            self.last = Some(last);
        }
        Ok(Some(whole))
    }

    /// Identifier of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Bytes of an event that has not ended.
    pub fn rest(&mut self) -> Bytes {
        self.begun.split().freeze()
    }
}

/// Position after the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let newline = (0..bytes.len()).rev().filter(|&at| bytes[at] == b'\n');
    let mut ends = newline.filter(|&at| {
        let before = &bytes[..at];
        before.ends_with(b"\n") || before.ends_with(b"\n\r")
    });
    ends.next().map(|at| at + 1)
}

fn last_identifier(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}
