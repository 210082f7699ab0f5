//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke; the connection ends without its end mark.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("answer is not complete: {0}")]
pub struct BrokenAnswer(pub &'static str);

/// Parts of an answer that wait for the caller. Few, so that a caller that does
/// not read stops the server instead of filling the memory of the VM.
const PARTS_AHEAD: usize = 4;

/// Sends the parts of an answer.
pub type PartSender = mpsc::Sender<Result<Bytes, BrokenAnswer>>;

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Whole body; none once it was sent.
    Whole(Option<Bytes>),
    /// Parts as they arrive.
    Parts(mpsc::Receiver<Result<Bytes, BrokenAnswer>>),
}

impl AnswerBody {
    /// Body that is known.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// Body that arrives in parts.
    pub fn parts() -> (PartSender, Self) {
        let (sender, receiver) = mpsc::channel(PARTS_AHEAD);
        (sender, Self::Parts(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
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
