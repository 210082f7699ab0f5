//! Which answers are final, and how their end is marked (RFC 9112, section 6).

use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, StatusCode};

/// Whether a status belongs to a final answer (RFC 9110, section 15). The gateway asks for no
/// change of protocol, and what lies above has no meaning.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Framing of an answer's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFraming {
    /// The last chunk marks the end.
    Chunks,
    /// `Content-Length` states it, or the status rules a body out.
    Length,
    /// The body ends with its connection, whether or not the server has sent all of it.
    Connection,
}

impl AnswerFraming {
    /// Framing of an answer whose body has not been read yet.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) || body.is_end_stream() {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chunks => "chunks",
            Self::Length => "length",
            Self::Connection => "connection",
        }
    }
}
