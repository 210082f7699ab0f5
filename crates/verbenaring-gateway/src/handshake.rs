//! Mutual challenge-response handshake on control connections.
//!
//! Proves that both sides hold a cluster key. Each side sends a fresh nonce and a
//! tag over both nonces, so a recorded handshake cannot be replayed.

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use verbenaring_policy::id::Digest;

use crate::config::ClusterKey;

const NONCE_BYTES: usize = 32;
const TAG_BYTES: usize = 32;
/// Maximum length of a cluster key identifier in bytes.
pub const MAX_KEY_ID_BYTES: usize = 64;
const CLIENT_LABEL: &[u8] = b"verbenaring control client 1";
const SERVER_LABEL: &[u8] = b"verbenaring control server 1";

/// Why a control connection was refused.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The connection failed during the handshake.
    #[error("connection failed during handshake: {0}")]
    Connection(#[from] std::io::Error),
    /// The initiating side names a key that is not accepted here.
    #[error("cluster key is not accepted")]
    UnknownKey,
    /// The tag of the other side is wrong, so it does not hold the key.
    #[error("proof of the cluster key does not match")]
    WrongProof,
}

/// Runs the initiating side with `key`: verifies the other side's tag, then sends its own.
pub async fn initiate<T: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut T,
    key: &ClusterKey,
) -> Result<(), HandshakeError> {
    let id = key.id.as_bytes();
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    stream
        .write_u8(id.len().min(MAX_KEY_ID_BYTES) as u8)
        .await?;
    stream
        .write_all(&id[..id.len().min(MAX_KEY_ID_BYTES)])
        .await?;
    stream.write_all(&own_nonce).await?;
    stream.flush().await?;
    let mut other_nonce = [0; NONCE_BYTES];
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut other_nonce).await?;
    stream.read_exact(&mut proof).await?;
    check_proof(&key.secret, SERVER_LABEL, &own_nonce, &other_nonce, proof)?;
    let tag = proof_tag(&key.secret, CLIENT_LABEL, &own_nonce, &other_nonce);
    stream.write_all(&tag.0).await?;
    stream.flush().await?;
    Ok(())
}

/// Runs the accepting side with the key of `keys` that the initiating side names.
pub async fn accept<T: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut T,
    keys: &[ClusterKey],
) -> Result<(), HandshakeError> {
    let length = usize::from(stream.read_u8().await?);
    if length > MAX_KEY_ID_BYTES {
        return Err(HandshakeError::UnknownKey);
    }
    let mut id = vec![0; length];
    stream.read_exact(&mut id).await?;
    let mut other_nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut other_nonce).await?;
    let key = keys
        .iter()
        .find(|key| key.id.as_bytes() == id)
        .ok_or(HandshakeError::UnknownKey)?;
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&own_nonce).await?;
    stream
        .write_all(&proof_tag(&key.secret, SERVER_LABEL, &other_nonce, &own_nonce).0)
        .await?;
    stream.flush().await?;
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    check_proof(&key.secret, CLIENT_LABEL, &other_nonce, &own_nonce, proof)
}

fn proof_tag(secret: &[u8; 32], label: &[u8], client_nonce: &[u8], server_nonce: &[u8]) -> Digest {
    Digest::keyed(secret, &[label, client_nonce, server_nonce].concat())
}

fn check_proof(
    secret: &[u8; 32],
    label: &[u8],
    client_nonce: &[u8],
    server_nonce: &[u8],
    proof: [u8; TAG_BYTES],
) -> Result<(), HandshakeError> {
    if proof_tag(secret, label, client_nonce, server_nonce).matches(&Digest(proof)) {
        Ok(())
    } else {
        Err(HandshakeError::WrongProof)
    }
}
