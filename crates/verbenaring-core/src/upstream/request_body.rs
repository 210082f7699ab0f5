//! Body of a request to a server or a VM, in parts.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Body whose bytes are all known. Copies share the bytes.
///
/// The parts are handed on one at a time and released as they are sent, so that a
/// connection never buffers a large body a second time.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    parts: VecDeque<Bytes>,
}

impl RequestBody {
    /// Appends a part.
    pub fn push(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.parts.push_back(part);
        }
    }

    /// The parts that have not been sent.
    pub fn parts(&self) -> impl Iterator<Item = &Bytes> {
        self.parts.iter()
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        let mut body = Self::default();
        body.push(bytes);
        body
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.get_mut().parts.pop_front();
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.parts.iter().map(|part| part.len() as u64).sum())
    }
}
