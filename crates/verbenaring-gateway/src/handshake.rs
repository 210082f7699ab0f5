//! Proof that both ends of a control connection hold a cluster key.
//!
//! Each side sends a fresh nonce and a tag over both nonces, so a recorded
//! handshake is of no use later.

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use verbenaring_policy::id::Digest;

use crate::config::ClusterKey;

const NONCE_BYTES: usize = 32;
const TAG_BYTES: usize = 32;
/// Longest identifier of a cluster key.
pub const MAX_KEY_ID_BYTES: usize = 64;
const CLIENT_LABEL: &[u8] = b"verbenaring control client 1";
const SERVER_LABEL: &[u8] = b"verbenaring control server 1";

/// Why a control connection was refused.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The connection broke.
    #[error("handshake broke: {0}")]
    Connection(#[from] std::io::Error),
    /// The key of the other side is not accepted.
    #[error("cluster key is not accepted")]
    UnknownKey,
    /// The other side does not hold the key.
    #[error("proof of the cluster key does not match")]
    WrongProof,
}

/// Proves the signing key to the accepting side and checks its proof.
pub async fn initiate<T: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut T,
    key: &ClusterKey,
) -> Result<(), HandshakeError> {
    let id = key.id.as_bytes();
    let own: [u8; NONCE_BYTES] = rand::random();
    stream
        .write_u8(id.len().min(MAX_KEY_ID_BYTES) as u8)
        .await?;
    stream
        .write_all(&id[..id.len().min(MAX_KEY_ID_BYTES)])
        .await?;
    stream.write_all(&own).await?;
    stream.flush().await?;
    let mut other = [0; NONCE_BYTES];
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut other).await?;
    stream.read_exact(&mut proof).await?;
    check_proof(&key.secret, SERVER_LABEL, &own, &other, proof)?;
    let tag = proof_of(&key.secret, CLIENT_LABEL, &own, &other);
    stream.write_all(&tag.0).await?;
    stream.flush().await?;
    Ok(())
}

/// Proves a key that the initiating side names and checks its proof.
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
    let mut other = [0; NONCE_BYTES];
    stream.read_exact(&mut other).await?;
    let key = keys
        .iter()
        .find(|key| key.id.as_bytes() == id)
        .ok_or(HandshakeError::UnknownKey)?;
    let own: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&own).await?;
    stream
        .write_all(&proof_of(&key.secret, SERVER_LABEL, &other, &own).0)
        .await?;
    stream.flush().await?;
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    check_proof(&key.secret, CLIENT_LABEL, &other, &own, proof)
}

fn proof_of(secret: &[u8; 32], label: &[u8], client: &[u8], server: &[u8]) -> Digest {
    Digest::keyed(secret, &[label, client, server].concat())
}

fn check_proof(
    secret: &[u8; 32],
    label: &[u8],
    client: &[u8],
    server: &[u8],
    proof: [u8; TAG_BYTES],
) -> Result<(), HandshakeError> {
    if proof_of(secret, label, client, server).matches(&Digest(proof)) {
        Ok(())
    } else {
        Err(HandshakeError::WrongProof)
    }
}
