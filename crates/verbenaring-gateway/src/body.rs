//! Body of an answer to a caller, sent at once or relayed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::relay::RelayStream;

/// Error that closes the connection to a caller without a regular end of the body,
/// so that the caller notices the partial answer.
#[derive(Debug, thiserror::Error)]
#[error("stream of the backend server broke: {0}")]
pub struct BrokenStream(pub &'static str);

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// Complete body, sent as one frame; `None` once it was sent.
    Full(Option<Bytes>),
    /// Body relayed from a backend server or node.
    Relayed(Box<RelayStream>),
}

impl From<String> for AnswerBody {
    fn from(text: String) -> Self {
        AnswerBody::Full(Some(Bytes::from(text)))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match self.get_mut() {
            AnswerBody::Full(bytes) => Poll::Ready(bytes.take().map(|data| Ok(Frame::data(data)))),
            AnswerBody::Relayed(stream) => stream
                .poll_part(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Relayed(_) => SizeHint::default(),
        }
    }
}
