//! Clients that send more, or more slowly, than the process can hold.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

/// Largest body within the limits.
pub const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Body far over the limit.
const LONG_BODY_BYTES: usize = 8 * BODY_BYTES;
/// Size of a write of a client that sends its body piece by piece.
const PIECE_BYTES: usize = 64 * 1024;
/// Size of a large chunk.
const CHUNK_BYTES: usize = 256 * 1024;
/// Chunks of one byte that a client sends.
const SMALL_CHUNKS: usize = 400_000;
/// Bytes of a head that is sent without its end, within the limit on heads.
const HALF_HEAD_BYTES: usize = 15 * 1024;
/// Time after which a client that cannot send any more only holds its connection.
const SEND_LIMIT: Duration = Duration::from_secs(12);

/// What a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodKind {
    /// Whole bodies at once.
    WholeBodies,
    /// Bodies without their last byte, at once.
    AlmostWhole,
    /// Bodies without their last byte, piece by piece.
    AlmostWholePieces,
    /// Large chunks without the last one.
    LargeChunks,
    /// Chunks of one byte without the last one.
    SmallChunks,
    /// A declared length over the limit, sent all the same.
    DeclaredTooLong,
    /// Chunks beyond the limit.
    ChunkedTooLong,
    /// A head without its end.
    HalfHead,
    /// No byte.
    Idle,
}

impl FloodKind {
    /// Sends what the kind says; returns early if the connection ends. `head` is the
    /// request line with the headers of every request.
    async fn send(self, stream: &mut TcpStream, head: &str) -> Option<()> {
        let declared = match self {
            Self::Idle => return Some(()),
            Self::HalfHead => {
                let text = format!("{head}Fill: {}", "x".repeat(HALF_HEAD_BYTES));
                return stream.write_all(text.as_bytes()).await.ok();
            }
            Self::WholeBodies | Self::AlmostWhole | Self::AlmostWholePieces => Some(BODY_BYTES),
            Self::DeclaredTooLong => Some(LONG_BODY_BYTES),
            Self::LargeChunks | Self::SmallChunks | Self::ChunkedTooLong => None,
        };
        let framing = match declared {
            Some(length) => format!("Content-Length: {length}"),
            None => "Transfer-Encoding: chunked".to_owned(),
        };
        let head = format!("{head}{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        match self {
            Self::AlmostWhole => send_body(stream, BODY_BYTES - 1, BODY_BYTES).await,
            Self::AlmostWholePieces => send_body(stream, BODY_BYTES - 1, PIECE_BYTES).await,
            Self::LargeChunks => send_chunks(stream, BODY_BYTES / CHUNK_BYTES).await,
            Self::ChunkedTooLong => send_chunks(stream, LONG_BODY_BYTES / CHUNK_BYTES).await,
            Self::SmallChunks => {
                let block = "1\r\nx\r\n".repeat(1_000);
                for _ in 0..SMALL_CHUNKS / 1_000 {
                    stream.write_all(block.as_bytes()).await.ok()?;
                }
                // The kernel takes these bodies before the process has read them.
                let _ = stream.read_to_end(&mut Vec::new()).await;
                Some(())
            }
            _ => send_body(stream, declared.unwrap_or_default(), BODY_BYTES).await,
        }
    }
}

async fn send_body(stream: &mut TcpStream, length: usize, piece: usize) -> Option<()> {
    let bytes = vec![b'x'; piece.min(length)];
    let mut left = length;
    while left > 0 {
        let next = left.min(bytes.len());
        stream.write_all(&bytes[..next]).await.ok()?;
        left -= next;
    }
    Some(())
}

async fn send_chunks(stream: &mut TcpStream, count: usize) -> Option<()> {
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + CHUNK_BYTES, b'x');
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..count {
        stream.write_all(&chunk).await.ok()?;
    }
    Some(())
}

/// Clients that have sent what they can and hold their connections.
pub struct RunningFlood {
    clients: JoinSet<()>,
    resets: watch::Sender<Option<bool>>,
}

impl RunningFlood {
    /// Starts one client for each kind of `kinds`, and returns once all of them have sent
    /// what they can.
    pub async fn start(
        address: SocketAddr,
        head: &str,
        kinds: impl Iterator<Item = FloodKind>,
    ) -> Self {
        let (resets, ended) = watch::channel(None);
        let mut clients = JoinSet::new();
        let mut sent = JoinSet::new();
        for kind in kinds {
            let (head, mut ended) = (head.to_owned(), ended.clone());
            let (done, is_done) = oneshot::channel::<()>();
            sent.spawn(is_done);
            clients.spawn(async move {
                // The kernel drops connections that wait once too many do.
                let connecting = TcpStream::connect(address);
                let connected = tokio::time::timeout(SEND_LIMIT, connecting).await;
                let Ok(Ok(mut stream)) = connected else {
                    return;
                };
                let sending = kind.send(&mut stream, &head);
                let whole = tokio::time::timeout(SEND_LIMIT, sending).await;
                drop(done);
                // A connection that the process has ended is not held any longer.
                if whole == Ok(None) {
                    return;
                }
                let end = ended.wait_for(Option::is_some).await.map(|end| *end);
                if let Ok(Some(true)) = end {
                    let _ = stream.set_zero_linger();
                }
            });
        }
        while sent.join_next().await.is_some() {}
        Self { clients, resets }
    }

    /// Ends all connections, with resets if `resets`.
    pub async fn end(self, resets: bool) {
        self.resets.send_replace(Some(resets));
        self.clients.join_all().await;
    }
}

/// Sends a request on a new connection and returns the answer; empty if there is none.
pub async fn ask(address: SocketAddr, head: &str, body: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let length = body.len();
    let request = format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    // A refusal may arrive although the body was not taken.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
