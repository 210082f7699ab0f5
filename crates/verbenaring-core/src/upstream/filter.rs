//! Skips copies of earlier answers on a connection.
//!
//! `hyper` takes the next answer on a connection for the one that is due and cannot read on
//! after another one. This filter sits between the socket and `hyper`: while an answer is
//! awaited on a connection that has carried other calls, it reads the heads of answers and
//! drops those that name an earlier call, with their bodies. So it does with successes that
//! name no call on a connection that has carried a request without a name. All other bytes
//! pass unchanged, malformed ones too.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::io::poll_read_buf;

use super::history::{CallHash, CallHistory};

/// Limit on the head of an answer; a longer one passes and is judged by `hyper`.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Limit on the copies that are skipped before one answer. Refusals are short; a longer
/// copy ends the connection.
const MAX_SKIPPED_BYTES: usize = 256 * 1024;
/// Bytes that are read at a time while an answer is awaited.
const READ_BYTES: usize = 8 * 1024;
/// Limit on the header lines of an answer, that of `hyper`.
const MAX_HEADERS: usize = 100;
/// First bytes of every answer.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// Connection on which copies of earlier answers are skipped.
#[derive(Debug)]
pub(super) struct AnswerFilter<S> {
    stream: S,
    id_header: HeaderName,
    history: CallHistory,
    /// Bytes that were read and not yet judged.
    held: BytesMut,
    /// Bytes that were judged and pass.
    passing: Bytes,
    position: FilterPosition,
    skipped_bytes: usize,
}

/// Position in the copies that precede an awaited answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FilterPosition {
    /// At the head of an answer.
    Head,
    /// After the head of a copy, whose body may be missing.
    BodyStart(SkippedBody),
    /// In the body of a copy.
    Body(SkippedBody),
}

/// Rest of the body of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SkippedBody {
    /// So many bytes.
    Length(u64),
    /// Chunks, at the line with the size of one.
    ChunkSize,
    /// So many bytes of a chunk with its line end, then further chunks.
    Chunk(u64),
    /// Lines up to a blank one.
    Trailers,
    /// All bytes of the connection.
    Unlimited,
}

/// What a step of the filter needs next.
enum FilterStep {
    /// Another step.
    Continue,
    /// More bytes.
    Read,
    /// Nothing: the awaited answer has begun.
    Pass,
}

impl<S> AnswerFilter<S> {
    pub(super) fn new(stream: S, id_header: HeaderName, history: CallHistory) -> Self {
        Self {
            stream,
            id_header,
            history,
            held: BytesMut::new(),
            passing: Bytes::new(),
            position: FilterPosition::Head,
            skipped_bytes: 0,
        }
    }

    /// Judges the held bytes as far as possible. Afterwards the answer is still awaited
    /// only if more bytes are needed.
    fn judge(&mut self) -> io::Result<()> {
        loop {
            let step = match self.position {
                FilterPosition::Head => self.judge_head(),
                FilterPosition::BodyStart(body) => self.judge_body_start(body),
                FilterPosition::Body(body) => self.skip_body(body)?,
            };
            match step {
                FilterStep::Continue => {}
                FilterStep::Read => return Ok(()),
                FilterStep::Pass => {
                    self.pass();
                    return Ok(());
                }
            }
        }
    }

    fn pass(&mut self) {
        self.history.end_wait();
        self.position = FilterPosition::Head;
        self.skipped_bytes = 0;
        self.passing = std::mem::take(&mut self.held).freeze();
    }

    fn judge_head(&mut self) -> FilterStep {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut answer = httparse::Response::new(&mut headers);
        let length = match answer.parse(&self.held) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.held.len() < MAX_HEAD_BYTES => {
                return FilterStep::Read;
            }
            _ => return FilterStep::Pass,
        };
        let named = header_text(answer.headers, &self.id_header);
        let is_success = matches!(answer.code, Some(200..=299));
        if !self.history.is_copy(named.map(CallHash::of), is_success) {
            return FilterStep::Pass;
        }
        let body = SkippedBody::of(answer.code.unwrap_or_default(), answer.headers);
        self.history.record_skipped();
        self.skip(length);
        self.position = FilterPosition::BodyStart(body);
        FilterStep::Continue
    }

    /// A server may send the head of a copy only; the next answer then follows at once.
    fn judge_body_start(&mut self, body: SkippedBody) -> FilterStep {
        let compared = self.held.len().min(ANSWER_START.len());
        let may_be_head = self.held[..compared] == ANSWER_START[..compared];
        self.position = match body {
            SkippedBody::Length(0) => FilterPosition::Head,
            _ if may_be_head && compared < ANSWER_START.len() => return FilterStep::Read,
            _ if may_be_head => FilterPosition::Head,
            _ => FilterPosition::Body(body),
        };
        FilterStep::Continue
    }

    fn skip_body(&mut self, body: SkippedBody) -> io::Result<FilterStep> {
        let (rest, needs_bytes) = match body {
            SkippedBody::Length(length) => {
                let left = length - self.skip_up_to(length);
                (SkippedBody::Length(left), left > 0)
            }
            SkippedBody::Chunk(length) => match length - self.skip_up_to(length) {
                0 => (SkippedBody::ChunkSize, false),
                left => (SkippedBody::Chunk(left), true),
            },
            SkippedBody::ChunkSize => match httparse::parse_chunk_size(&self.held) {
                Ok(httparse::Status::Complete((length, 0))) => {
                    self.skip(length);
                    (SkippedBody::Trailers, false)
                }
                Ok(httparse::Status::Complete((length, size))) => {
                    self.skip(length);
                    let line_end = 2;
                    (SkippedBody::Chunk(size.saturating_add(line_end)), false)
                }
                Ok(httparse::Status::Partial) => (SkippedBody::ChunkSize, true),
                Err(_) => return Err(malformed("malformed chunk in the copy of an answer")),
            },
            SkippedBody::Trailers => match self.held.iter().position(|byte| *byte == b'\n') {
                Some(end) => {
                    let blank = self.held[..end].trim_ascii().is_empty();
                    self.skip(end + 1);
                    match blank {
                        true => (SkippedBody::Length(0), false),
                        false => (SkippedBody::Trailers, false),
                    }
                }
                None => (SkippedBody::Trailers, true),
            },
            SkippedBody::Unlimited => {
                self.skip(self.held.len());
                (SkippedBody::Unlimited, true)
            }
        };
        if self.skipped_bytes + self.held.len() > MAX_SKIPPED_BYTES {
            return Err(malformed("copies of earlier answers are too long"));
        }
        self.position = match rest {
            SkippedBody::Length(0) => FilterPosition::Head,
            rest => FilterPosition::Body(rest),
        };
        Ok(match needs_bytes {
            true => FilterStep::Read,
            false => FilterStep::Continue,
        })
    }

    fn skip(&mut self, length: usize) {
        self.held.advance(length);
        self.skipped_bytes += length;
    }

    /// Skips held bytes, `limit` at most; returns their number.
    fn skip_up_to(&mut self, limit: u64) -> u64 {
        let held = self.held.len();
        let length = usize::try_from(limit).map_or(held, |limit| limit.min(held));
        self.skip(length);
        length as u64
    }
}

impl SkippedBody {
    /// Body that follows a head (RFC 9112, section 6.3).
    fn of(status: u16, headers: &[httparse::Header<'_>]) -> Self {
        if matches!(status, 100..=199 | 204 | 304) {
            return Self::Length(0);
        }
        if header_text(headers, &TRANSFER_ENCODING).is_some() {
            return Self::ChunkSize;
        }
        match header_text(headers, &CONTENT_LENGTH) {
            Some(length) => length.trim().parse().map_or(Self::Unlimited, Self::Length),
            None => Self::Unlimited,
        }
    }
}

fn header_text<'a>(headers: &'a [httparse::Header<'_>], name: &HeaderName) -> Option<&'a str> {
    let mut headers = headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case(name.as_str()))?;
    std::str::from_utf8(header.value).ok()
}

fn malformed(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

impl<S: AsyncRead + Unpin> AsyncRead for AnswerFilter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let this = &mut *self;
            if !this.passing.is_empty() {
                let length = this.passing.len().min(buffer.remaining());
                buffer.put_slice(&this.passing.split_to(length));
                return Poll::Ready(Ok(()));
            }
            if !this.history.awaits_answer() {
                return Pin::new(&mut this.stream).poll_read(context, buffer);
            }
            this.held.reserve(READ_BYTES);
            let read = poll_read_buf(Pin::new(&mut this.stream), context, &mut this.held);
            if ready!(read)? > 0 {
                this.judge()?;
                continue;
            }
            // The connection has ended; the next read passes that on.
            this.pass();
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AnswerFilter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
