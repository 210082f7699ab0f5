//! Pool of control connections to other nodes.
//!
//! Keeps one connection per address and reconnects after a failure.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio_util::codec::LengthDelimitedCodec;
use verbenaring_protocol::control::NodeControlClient;

use crate::connector::NodeConnector;
use crate::handshake;
use crate::live::LiveSettings;

/// Time limit for opening a control connection, including TLS and the key handshake.
///
/// This takes four round trips, which is 440 ms between regions.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for one control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a control message; the largest is a snapshot page below 1 MB.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

type SharedClient = Arc<tokio::sync::Mutex<Option<OpenConnection>>>;

/// Open connection, tagged with the generation of the credentials that opened it.
struct OpenConnection {
    generation: u64,
    client: NodeControlClient,
}

/// Control connections of this node to other nodes, opened on demand.
pub struct ControlLinks {
    live: Arc<LiveSettings>,
    connector: NodeConnector,
    links: Mutex<HashMap<SocketAddr, SharedClient>>,
}

impl ControlLinks {
    /// Creates a pool without connections that authenticates with the live credentials.
    pub fn new(live: &Arc<LiveSettings>) -> Self {
        Self {
            live: live.clone(),
            connector: NodeConnector::new(live, OPEN_TIMEOUT),
            links: Mutex::default(),
        }
    }

    /// Calls the node at `address`; `None` if it cannot be reached in time.
    ///
    /// If a reused connection turns out to be closed, for instance because the
    /// other node has new credentials, it is opened again and the call repeated
    /// once. Every call of the control service may be repeated.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(NodeControlClient, context::Context) -> F + Clone,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let link = self.link(address);
        let (client, reused) = self.client(address, &link).await?;
        match call_once(client, call.clone()).await {
            Ok(answer) => return Some(answer),
            Err(error) => {
                *link.lock().await = None;
                if !reused || error == CallError::TimedOut {
                    return None;
                }
            }
        }
        let (client, _) = self.client(address, &link).await?;
        match call_once(client, call).await {
            Ok(answer) => Some(answer),
            Err(_) => {
                *link.lock().await = None;
                None
            }
        }
    }

    /// Closes the connections to addresses for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(|error| error.into_inner());
        links.retain(|address, _| keep(address));
    }

    fn link(&self, address: SocketAddr) -> SharedClient {
        let mut links = self.links.lock().unwrap_or_else(|error| error.into_inner());
        links.entry(address).or_default().clone()
    }

    /// Client for the node at `address`, and whether it reuses an open connection.
    async fn client(
        &self,
        address: SocketAddr,
        link: &SharedClient,
    ) -> Option<(NodeControlClient, bool)> {
        let mut slot = link.lock().await;
        let generation = *self.live.generation().borrow();
        if let Some(open) = slot.as_ref().filter(|open| open.generation == generation) {
            return Some((open.client.clone(), true));
        }
        *slot = None;
        let client = tokio::time::timeout(OPEN_TIMEOUT, self.open(address))
            .await
            .ok()??;
        *slot = Some(OpenConnection {
            generation,
            client: client.clone(),
        });
        Some((client, false))
    }

    async fn open(&self, address: SocketAddr) -> Option<NodeControlClient> {
        let opened = self.connector.open(address).await;
        let mut stream = opened
            .inspect_err(|error| log::debug!("control connection to {address} failed: {error}"))
            .ok()?;
        let credentials = self.live.credentials();
        if let Err(error) = handshake::initiate(&mut stream, credentials.signing_key()).await {
            log::debug!("control connection to {address} refused: {error}");
            return None;
        }
        let framed = frame_codec().new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        Some(NodeControlClient::new(client::Config::default(), transport).spawn())
    }
}

/// Why a control call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallError {
    /// No answer within the time limit.
    TimedOut,
    /// The connection was closed or the call failed on it.
    Closed,
}

async fn call_once<T, F>(
    client: NodeControlClient,
    call: impl FnOnce(NodeControlClient, context::Context) -> F,
) -> Result<T, CallError>
where
    F: Future<Output = Result<T, client::RpcError>>,
{
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    match tokio::time::timeout(CALL_TIMEOUT, call(client, context)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(client::RpcError::DeadlineExceeded)) | Err(_) => Err(CallError::TimedOut),
        Ok(Err(_)) => Err(CallError::Closed),
    }
}

/// Length-delimited framing of control connections, used by both sides.
pub fn frame_codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
