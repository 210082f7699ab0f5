//! Control connections to other nodes.
//!
//! One connection per address is kept and opened again after a failure.

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

/// Longest time to open a control connection, TLS and proof included.
///
/// They take four round trips, which is 440 ms between regions.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for one control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest control message: a snapshot piece of less than 1 MB and its frame.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

type SharedClient = Arc<tokio::sync::Mutex<Option<OpenLink>>>;

/// Open connection and the credentials that it was opened with.
struct OpenLink {
    generation: u64,
    client: NodeControlClient,
}

/// Control connections of a node.
pub struct ControlLinks {
    live: Arc<LiveSettings>,
    connector: NodeConnector,
    links: Mutex<HashMap<SocketAddr, SharedClient>>,
}

impl ControlLinks {
    /// Links that prove the credentials in force.
    pub fn new(live: &Arc<LiveSettings>) -> Self {
        Self {
            live: live.clone(),
            connector: NodeConnector::new(live, OPEN_TIMEOUT),
            links: Mutex::default(),
        }
    }

    /// Calls the node at `address`; none if it cannot be reached in time.
    ///
    /// A kept connection that the other node has closed, for instance because
    /// it has new credentials, is opened again and the call repeated once. All
    /// calls of the service tolerate that.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(NodeControlClient, context::Context) -> F + Clone,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let link = self.link(address);
        let (client, kept) = self.client(address, &link).await?;
        match call_once(client, call.clone()).await {
            Ok(answer) => return Some(answer),
            Err(fault) => {
                *link.lock().await = None;
                if !kept || fault == CallFault::TimedOut {
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

    /// Closes connections to addresses that `keep` refuses.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(|error| error.into_inner());
        links.retain(|address, _| keep(address));
    }

    fn link(&self, address: SocketAddr) -> SharedClient {
        let mut links = self.links.lock().unwrap_or_else(|error| error.into_inner());
        links.entry(address).or_default().clone()
    }

    /// Client of the node at `address`, and whether its connection was open before.
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
        *slot = Some(OpenLink {
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
        if let Err(fault) = handshake::initiate(&mut stream, credentials.signing_key()).await {
            log::debug!("control connection to {address} refused: {fault}");
            return None;
        }
        let framed = frame_codec().new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        Some(NodeControlClient::new(client::Config::default(), transport).spawn())
    }
}

/// Why a control call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFault {
    /// No answer came in time.
    TimedOut,
    /// The connection is closed.
    Closed,
}

async fn call_once<T, F>(
    client: NodeControlClient,
    call: impl FnOnce(NodeControlClient, context::Context) -> F,
) -> Result<T, CallFault>
where
    F: Future<Output = Result<T, client::RpcError>>,
{
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    match tokio::time::timeout(CALL_TIMEOUT, call(client, context)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(client::RpcError::DeadlineExceeded)) | Err(_) => Err(CallFault::TimedOut),
        Ok(Err(_)) => Err(CallFault::Closed),
    }
}

/// Framing of control connections.
pub fn frame_codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
