//! Bodies of answers, sent whole or in parts.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer cannot be completed, for the given reason. The connection is
/// closed without the final chunk.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("answer is incomplete: {0}")]
pub struct AbortedAnswer(pub &'static str);

/// Parts of an answer that are buffered for the caller. Few, so that a caller
/// that does not read slows the server down instead of filling the VM's memory.
const MAX_BUFFERED_PARTS: usize = 4;

/// Sends the parts of an answer to its body; an error aborts the answer.
pub type PartSender = mpsc::Sender<Result<Bytes, AbortedAnswer>>;

/// Body of an answer to a caller or to another VM.
#[derive(Debug)]
pub enum AnswerBody {
    /// Whole body; `None` if it is empty or was sent.
    Whole(Option<Bytes>),
    /// Parts, sent as they arrive.
    Parts(mpsc::Receiver<Result<Bytes, AbortedAnswer>>),
}

impl AnswerBody {
    /// Body whose bytes are all known.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// Body that is fed in parts through the returned sender.
    pub fn parts() -> (PartSender, Self) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        (sender, Self::Parts(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AbortedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedAnswer>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(receiver) => {
                let part = ready!(receiver.poll_recv(context));
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
