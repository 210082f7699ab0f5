//! TLS between nodes, and between callers and nodes.
//!
//! Nodes authenticate each other with certificates of the authorities in
//! `node_tls.authority_file`, valid for [`NODE_NAME`]. One name for all nodes
//! is enough, because the cluster key, which every node holds, does not tell
//! nodes apart either, and addresses learned by gossip have no verified name.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::ring;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{CertificateError, ClientConfig, RootCertStore, ServerConfig};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use verbenaring_protocol::Error;

/// DNS name in the certificate of every node.
pub const NODE_NAME: &str = "node.verbenaring";
/// Byte that the accepting node sends once it has accepted the certificate.
///
/// In TLS 1.3 the connecting side completes its handshake before its certificate
/// is checked. Without this byte, it would learn of a refused certificate only
/// after it sent the request, and the outcome of the request would be unknown.
const CERTIFICATE_ACCEPTED: u8 = 1;

/// Files for mutual TLS between nodes, all in PEM format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeTlsFiles {
    /// Certificate chain of this node.
    pub certificate_file: PathBuf,
    /// Private key of the certificate.
    pub key_file: PathBuf,
    /// Certificate authorities whose certificates are accepted from other nodes.
    pub authority_file: PathBuf,
}

/// Files for TLS with callers, all in PEM format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerTlsFiles {
    /// Certificate chain that is presented to callers.
    pub certificate_file: PathBuf,
    /// Private key of the certificate.
    pub key_file: PathBuf,
}

/// Mutual TLS between nodes, for both sides of a connection.
#[derive(Clone)]
pub struct NodeTls {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
}

/// TLS for connections of callers.
#[derive(Clone)]
pub struct CallerTls {
    acceptor: TlsAcceptor,
}

// The debug output omits the TLS configurations, because they hold private keys.
impl fmt::Debug for NodeTls {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("NodeTls")
    }
}

impl fmt::Debug for CallerTls {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerTls")
    }
}

impl NodeTls {
    /// Reads the files and checks that the key belongs to the certificate and that
    /// the authorities accept the certificate.
    ///
    /// An expired certificate is no error here: the node still serves its
    /// callers, and the other nodes refuse it.
    pub fn load(files: &NodeTlsFiles) -> verbenaring_protocol::Result<Self> {
        let chain = read_chain("node_tls.certificate_file", &files.certificate_file)?;
        let key = read_key("node_tls.key_file", &files.key_file)?;
        let roots = Arc::new(read_roots(&files.authority_file)?);
        let provider = Arc::new(ring::default_provider());
        let client_verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
                .build()
                .map_err(|error| node_tls_error("authority_file", &files.authority_file, &error))?;
        let server_verifier =
            WebPkiServerVerifier::builder_with_provider(roots.clone(), provider.clone())
                .build()
                .map_err(|error| node_tls_error("authority_file", &files.authority_file, &error))?;
        check_own_certificate(&chain, server_verifier.as_ref(), client_verifier.as_ref())
            .map_err(|error| node_tls_error("certificate_file", &files.certificate_file, &error))?;
        let key_fault = |error: rustls::Error| node_tls_error("key_file", &files.key_file, &error);
        let client = ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(key_fault)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .map_err(key_fault)?;
        let mut server = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(key_fault)?
            .with_client_cert_verifier(client_verifier)
            .with_single_cert(chain, key)
            .map_err(key_fault)?;
        // No session tickets: a resumed session would skip the check of a certificate
        // that has expired in the meantime.
        server.send_tls13_tickets = 0;
        Ok(Self {
            connector: TlsConnector::from(Arc::new(client)),
            acceptor: TlsAcceptor::from(Arc::new(server)),
        })
    }

    async fn connect<T: AsyncRead + AsyncWrite + Unpin>(
        &self,
        socket: T,
    ) -> io::Result<TlsStream<T>> {
        let mut stream = self.connector.connect(node_name(), socket).await?;
        if stream.read_u8().await? != CERTIFICATE_ACCEPTED {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(stream.into())
    }

    async fn accept<T: AsyncRead + AsyncWrite + Unpin>(
        &self,
        socket: T,
    ) -> io::Result<TlsStream<T>> {
        let mut stream = self.acceptor.accept(socket).await?;
        check_peer_name(stream.get_ref().1.peer_certificates()).map_err(io::Error::other)?;
        stream.write_u8(CERTIFICATE_ACCEPTED).await?;
        stream.flush().await?;
        Ok(stream.into())
    }
}

impl CallerTls {
    /// Reads the files and checks that the key belongs to the certificate.
    pub fn load(files: &CallerTlsFiles) -> verbenaring_protocol::Result<Self> {
        let chain = read_chain("caller_tls.certificate_file", &files.certificate_file)?;
        let key = read_key("caller_tls.key_file", &files.key_file)?;
        let key_file_error = |error: rustls::Error| {
            field_error("caller_tls.key_file", &files.key_file, &error.to_string())
        };
        let mut server = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(key_file_error)?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(key_file_error)?;
        server.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(Self {
            acceptor: TlsAcceptor::from(Arc::new(server)),
        })
    }
}

/// Connection with or without TLS.
pub enum NodeStream<T> {
    /// Without TLS.
    Plain(T),
    /// With TLS; boxed because its state is much larger than a socket.
    Tls(Box<TlsStream<T>>),
}

impl<T: AsyncRead + AsyncWrite + Unpin> NodeStream<T> {
    /// Performs the connecting side of the handshake with another node.
    ///
    /// Without `tls` there is no handshake.
    pub async fn connect(tls: Option<&NodeTls>, socket: T) -> io::Result<Self> {
        match tls {
            Some(tls) => Ok(Self::Tls(Box::new(tls.connect(socket).await?))),
            None => Ok(Self::Plain(socket)),
        }
    }

    /// Performs the accepting side of the handshake with another node and checks its
    /// certificate.
    ///
    /// Without `tls` there is no handshake.
    pub async fn accept_node(tls: Option<&NodeTls>, socket: T) -> io::Result<Self> {
        match tls {
            Some(tls) => Ok(Self::Tls(Box::new(tls.accept(socket).await?))),
            None => Ok(Self::Plain(socket)),
        }
    }

    /// Performs the accepting side of the handshake with a caller.
    ///
    /// Without `tls` there is no handshake.
    pub async fn accept_caller(tls: Option<&CallerTls>, socket: T) -> io::Result<Self> {
        match tls {
            Some(tls) => {
                let stream = tls.acceptor.accept(socket).await?;
                Ok(Self::Tls(Box::new(stream.into())))
            }
            None => Ok(Self::Plain(socket)),
        }
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncRead for NodeStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_read(context, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for NodeStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_write(context, data),
            Self::Tls(stream) => Pin::new(stream).poll_write(context, data),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_write_vectored(context, data),
            Self::Tls(stream) => Pin::new(stream).poll_write_vectored(context, data),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Plain(socket) => socket.is_write_vectored(),
            Self::Tls(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_flush(context),
            Self::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_shutdown(context),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}

impl<T> Connection for NodeStream<T> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

fn node_name() -> ServerName<'static> {
    ServerName::try_from(NODE_NAME).expect("a constant DNS name is valid")
}

/// Checks that the certificate of a connecting node is valid for [`NODE_NAME`].
fn check_peer_name(chain: Option<&[CertificateDer<'_>]>) -> Result<(), rustls::Error> {
    let leaf = chain.and_then(|chain| chain.first());
    let leaf = leaf.ok_or(rustls::Error::NoCertificatesPresented)?;
    rustls::client::verify_server_name(&ParsedCertificate::try_from(leaf)?, &node_name())
}

/// Checks this node's own certificate as other nodes will check it, apart from its
/// validity period.
fn check_own_certificate(
    chain: &[CertificateDer<'_>],
    server: &impl ServerCertVerifier,
    client: &dyn ClientCertVerifier,
) -> Result<(), rustls::Error> {
    let (leaf, intermediates) = chain
        .split_first()
        .ok_or(rustls::Error::NoCertificatesPresented)?;
    let now = UnixTime::now();
    let as_server = server.verify_server_cert(leaf, intermediates, &node_name(), &[], now);
    let as_client = client.verify_client_cert(leaf, intermediates, now);
    for result in [as_server.map(drop), as_client.map(drop)] {
        match result {
            Err(error) if !is_outside_validity(&error) => return Err(error),
            _ => {}
        }
    }
    Ok(())
}

fn is_outside_validity(error: &rustls::Error) -> bool {
    matches!(
        error,
        rustls::Error::InvalidCertificate(
            CertificateError::Expired
                | CertificateError::ExpiredContext { .. }
                | CertificateError::NotValidYet
                | CertificateError::NotValidYetContext { .. }
        )
    )
}

fn read_pem(field: &str, file: &Path) -> verbenaring_protocol::Result<Vec<u8>> {
    std::fs::read(file)
        .map_err(|error| field_error(field, file, &format!("{error}, use a readable PEM file")))
}

fn read_chain(
    field: &str,
    file: &Path,
) -> verbenaring_protocol::Result<Vec<CertificateDer<'static>>> {
    let text = read_pem(field, file)?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    match chain {
        Ok(chain) if !chain.is_empty() => Ok(chain),
        _ => Err(field_error(field, file, "use PEM certificates")),
    }
}

fn read_key(field: &str, file: &Path) -> verbenaring_protocol::Result<PrivateKeyDer<'static>> {
    let text = read_pem(field, file)?;
    PrivateKeyDer::from_pem_slice(&text)
        .map_err(|_| field_error(field, file, "use a PEM private key"))
}

fn read_roots(file: &Path) -> verbenaring_protocol::Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for authority in read_chain("node_tls.authority_file", file)? {
        roots
            .add(authority)
            .map_err(|error| node_tls_error("authority_file", file, &error))?;
    }
    Ok(roots)
}

fn node_tls_error(field: &str, file: &Path, error: &dyn std::error::Error) -> Error {
    field_error(&format!("node_tls.{field}"), file, &error.to_string())
}

fn field_error(field: &str, file: &Path, reason: &str) -> Error {
    Error::Field {
        field: field.to_owned(),
        reason: format!("{}: {reason}", file.display()),
    }
}
