//! Collects whole answers, within the memory of the node.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use super::reserve::{AnswerReserve, with_memory};

/// Largest answer that is not a stream; it is buffered as a whole.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of an answer that are buffered without a part of the node's memory for
/// answers; nearly all answers are smaller.
const FREE_WHOLE_BYTES: usize = 64 * 1024;

/// Why a whole answer was not read.
#[derive(Debug, thiserror::Error)]
pub(super) enum CollectError {
    /// The connection failed or the answer is malformed.
    #[error("{0}")]
    Connection(#[from] hyper::Error),
    /// The answer is larger than the limit.
    #[error("longer than {MAX_WHOLE_BYTES} bytes")]
    TooLong,
    /// The server ended or reset the connection, and the answer has no mark of its end.
    #[error("the server ended or reset the connection")]
    Ended,
    /// Other long answers take up the memory.
    #[error("no memory is left for long answers")]
    NoMemory,
}

/// Collects a body. Beyond [`FREE_WHOLE_BYTES`], it takes its part of `memory`, so
/// that servers that send without end and callers that do not read cannot exhaust the memory
/// of the process. The part is returned once the answer has been sent.
pub(super) async fn collect_answer(
    mut body: Incoming,
    memory: &Arc<Semaphore>,
) -> Result<Bytes, CollectError> {
    let mut collected = BytesMut::new();
    let mut reserve = AnswerReserve::new(memory, FREE_WHOLE_BYTES);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if collected.len() + data.len() > MAX_WHOLE_BYTES {
            return Err(CollectError::TooLong);
        }
        if !reserve.hold(collected.len() + data.len()) {
            return Err(CollectError::NoMemory);
        }
        collected.extend_from_slice(&data);
    }
    let collected = collected.freeze();
    Ok(match reserve.is_empty() {
        true => collected,
        false => with_memory(collected, reserve),
    })
}
