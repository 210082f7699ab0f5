//! Clients of a node with valid or invalid credentials: peers, intruders and
//! callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rustls::pki_types::ServerName;
use serde_json::Value;
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use uuid::Uuid;
use verbenaring_gateway::attempt::{
    AttemptClient, AttemptRequest, EchoRule, ReceiverKind, json_headers,
};
use verbenaring_gateway::config::{ClusterKey, NodeSettings};
use verbenaring_gateway::connector::NodeConnector;
use verbenaring_gateway::links::{ControlLinks, frame_codec};
use verbenaring_gateway::live::LiveSettings;
use verbenaring_gateway::node::RunningNode;
use verbenaring_gateway::peer::{ForwardHead, SignedMessage};
use verbenaring_gateway::tls::NODE_NAME;
use verbenaring_policy::id::{AttemptId, Digest, VmId};
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::control::NodeControlClient;
use verbenaring_testbed::client::chat_body;
use verbenaring_testbed::deployment::CUSTOMER_KEY;

use crate::certificates::{TestAuthority, TlsIdentity};

/// Timeout for a connection or an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

pub fn live_settings(settings: &NodeSettings) -> Arc<LiveSettings> {
    Arc::new(LiveSettings::new(settings))
}

/// Whether the node answers a control call on a new connection with the credentials
/// of `live`.
pub async fn answers_control(live: &Arc<LiveSettings>, node: &RunningNode) -> bool {
    answers_on_links(&ControlLinks::new(live), node).await
}

/// Whether the node answers a control call on `links`, which keep connections open.
pub async fn answers_on_links(links: &ControlLinks, node: &RunningNode) -> bool {
    let address = node.core().settings.control_address;
    let status = links.call(address, |client, context| async move {
        client.status(context).await
    });
    status.await.is_some()
}

/// Whether the node answers a control call of a process that authenticates with
/// `key` and does not check the proof of the node.
pub async fn accepts_claimed_key(
    live: &Arc<LiveSettings>,
    key: &ClusterKey,
    node: &RunningNode,
) -> bool {
    let connector = NodeConnector::new(live, CLIENT_TIMEOUT);
    let opened = connector.open(node.core().settings.control_address).await;
    let mut stream = opened.unwrap();
    let client_nonce = [1; 32];
    stream.write_u8(key.id.len() as u8).await.unwrap();
    stream.write_all(key.id.as_bytes()).await.unwrap();
    stream.write_all(&client_nonce).await.unwrap();
    let mut node_nonce = [0; 32];
    let mut node_proof = [0; 32];
    if stream.read_exact(&mut node_nonce).await.is_err()
        || stream.read_exact(&mut node_proof).await.is_err()
    {
        return false;
    }
    let content = [
        &b"verbenaring control client 1"[..],
        &client_nonce,
        &node_nonce,
    ]
    .concat();
    let tag = Digest::keyed(&key.secret, &content);
    stream.write_all(&tag.0).await.unwrap();
    let transport =
        tarpc::serde_transport::new(frame_codec().new_framed(stream), Bincode::default());
    let client = NodeControlClient::new(tarpc::client::Config::default(), transport).spawn();
    client.status(tarpc::context::current()).await.is_ok()
}

/// Forwards a request to the node with the credentials of `live`. Returns the HTTP
/// status or, if the attempt failed, its outcome.
pub async fn forward(live: &Arc<LiveSettings>, node: &RunningNode) -> Result<u16, RunOutcome> {
    let core = node.core();
    let body = chat_body("a bung", 3, false);
    let head = ForwardHead {
        visited: vec![VmId::new("dublin-a-vm-9").unwrap()],
        revision: core.catalog.load().contract_of("council").unwrap().revision,
        deadline_ms: 10_000,
        attempt: AttemptId(Uuid::new_v4()),
        customer: "council".into(),
    };
    let message = SignedMessage {
        method: "POST",
        path: "/v1/chat/completions",
        body: &body,
        unix_ms: core.clock.unix_ms(),
    };
    let mut headers = json_headers();
    let credentials = live.credentials();
    head.write(
        &mut headers,
        credentials.signing_key(),
        &core.settings.vm,
        &message,
    )
    .unwrap();
    let request = AttemptRequest {
        address: core.settings.peer_address,
        attempt: head.attempt,
        method: &Method::POST,
        path: message.path,
        headers: &headers,
        body: Bytes::from(body.clone()),
        echo: EchoRule::IfPresent,
        receiver: ReceiverKind::Node,
    };
    let client = AttemptClient::new(CLIENT_TIMEOUT, live);
    let answer = client.send(&request, CLIENT_TIMEOUT).await;
    answer
        .map(|answer| answer.status().as_u16())
        .map_err(|failure| failure.outcome)
}

/// Bytes that a node sends to a TLS client that presents `identity`; empty if the
/// node refuses the certificate.
pub async fn raw_answer(
    authority: &TestAuthority,
    identity: Option<&TlsIdentity>,
    address: SocketAddr,
) -> Vec<u8> {
    let socket = TcpStream::connect(address).await.unwrap();
    let name = ServerName::try_from(NODE_NAME).unwrap();
    let connector = TlsConnector::from(authority.client_config(identity));
    let mut answer = Vec::new();
    let Ok(mut stream) = connector.connect(name, socket).await else {
        return answer;
    };
    let request = b"GET /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    // A node that refused the certificate may have closed the connection already.
    let _ = stream.write_all(request).await;
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

/// HTTP status and text of a chat over TLS; `None` if it fails or the client does
/// not trust the certificate of the node.
pub async fn chat_over_tls(
    authority: &TestAuthority,
    address: SocketAddr,
) -> Option<(u16, String)> {
    let socket = TcpStream::connect(address).await.ok()?;
    let name = ServerName::try_from("gateway.example").unwrap();
    let connector = TlsConnector::from(authority.client_config(None));
    let stream = connector.connect(name, socket).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::post("/v1/chat/completions")
        .header("host", "gateway.example")
        .header("authorization", format!("Bearer {CUSTOMER_KEY}"))
        .body(Full::new(Bytes::from(chat_body("a bung", 5, false))))
        .unwrap();
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).ok()?;
    let text = body["choices"][0]["message"]["content"].as_str()?;
    Some((status, text.to_owned()))
}
