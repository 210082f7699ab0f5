//! Bodies of answers, sent whole or in parts.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer was not completed. The connection is closed without the last chunk.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("answer is incomplete")]
pub struct IncompleteAnswer;

/// Part of an answer that is sent as it arrives.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// Some bytes of the body.
    Data(Bytes),
    /// Regular end of the body. Without it, the answer is incomplete.
    End,
}

/// Parts of an answer that are buffered for the caller. Few, so that a caller
/// that does not read slows the server down instead of filling the VM's memory.
const MAX_BUFFERED_PARTS: usize = 4;

/// Sends the parts of an answer to its body. A sender that is dropped before
/// [`AnswerPart::End`] leaves the answer incomplete, for whatever reason it is dropped.
pub type PartSender = mpsc::Sender<AnswerPart>;

/// Body of an answer to a caller or to another VM.
#[derive(Debug)]
pub enum AnswerBody {
    /// Whole body; `None` if it is empty or was sent.
    Whole(Option<Bytes>),
    /// Parts, sent as they arrive.
    Parts(mpsc::Receiver<AnswerPart>),
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
    type Error = IncompleteAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(receiver) => Poll::Ready(match ready!(receiver.poll_recv(context)) {
                Some(AnswerPart::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(AnswerPart::End) => None,
                None => Some(Err(IncompleteAnswer)),
            }),
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
