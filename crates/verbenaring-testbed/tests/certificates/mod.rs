//! Certificate authorities and certificates that a test creates.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, date_time_ymd};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{ClientConfig, RootCertStore};
use verbenaring_gateway::tls::{CallerTls, CallerTlsFiles, NODE_NAME, NodeTls, NodeTlsFiles};

/// Directory for the files of a test, deleted on drop.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    pub fn new(test: &str) -> Self {
        let name = format!("{test}-{}", std::process::id());
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).unwrap();
        Self(directory)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, text).unwrap();
        file
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Certificate and its private key, both as PEM.
pub struct TlsIdentity {
    pub certificate: String,
    pub key: String,
}

impl TlsIdentity {
    pub fn certificate_chain(&self) -> Vec<CertificateDer<'static>> {
        vec![CertificateDer::from_pem_slice(self.certificate.as_bytes()).unwrap()]
    }

    pub fn private_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::from_pem_slice(self.key.as_bytes()).unwrap()
    }

    /// Writes this identity and the PEM of the accepted authorities to files.
    pub fn node_files(
        &self,
        directory: &TestDirectory,
        accepted_authorities: &str,
    ) -> NodeTlsFiles {
        NodeTlsFiles {
            certificate_file: directory.write("node.pem", &self.certificate),
            key_file: directory.write("node.key", &self.key),
            authority_file: directory.write("authority.pem", accepted_authorities),
        }
    }

    pub fn node_tls(&self, directory: &TestDirectory, accepted_authorities: &str) -> NodeTls {
        NodeTls::load(&self.node_files(directory, accepted_authorities)).unwrap()
    }

    pub fn caller_tls(&self, directory: &TestDirectory) -> CallerTls {
        CallerTls::load(&CallerTlsFiles {
            certificate_file: directory.write("caller.pem", &self.certificate),
            key_file: directory.write("caller.key", &self.key),
        })
        .unwrap()
    }
}

/// Authority that signs certificates, with its own certificate as PEM.
pub struct TestAuthority {
    pub pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl TestAuthority {
    pub fn new(name: &str) -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().unwrap();
        let pem = params.self_signed(&key).unwrap().pem();
        Self {
            pem,
            issuer: Issuer::new(params, key),
        }
    }

    /// Issues a valid certificate of a node.
    pub fn issue_node(&self) -> TlsIdentity {
        self.issue(CertificateParams::new(vec![NODE_NAME.into()]).unwrap())
    }

    /// Issues a valid certificate for `name` instead of the name of nodes.
    pub fn issue_named(&self, name: &str) -> TlsIdentity {
        self.issue(CertificateParams::new(vec![name.into()]).unwrap())
    }

    /// Issues a certificate of a node that expired in 2001.
    pub fn issue_expired(&self) -> TlsIdentity {
        let mut params = CertificateParams::new(vec![NODE_NAME.into()]).unwrap();
        params.not_before = date_time_ymd(2000, 1, 1);
        params.not_after = date_time_ymd(2001, 1, 1);
        self.issue(params)
    }

    fn issue(&self, params: CertificateParams) -> TlsIdentity {
        let key = KeyPair::generate().unwrap();
        TlsIdentity {
            certificate: params.signed_by(&key, &self.issuer).unwrap().pem(),
            key: key.serialize_pem(),
        }
    }

    /// Configuration of a client that trusts this authority and presents `identity`,
    /// if any.
    pub fn client_config(&self, identity: Option<&TlsIdentity>) -> Arc<ClientConfig> {
        let mut roots = RootCertStore::empty();
        roots
            .add(CertificateDer::from_pem_slice(self.pem.as_bytes()).unwrap())
            .unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots);
        Arc::new(match identity {
            Some(identity) => builder
                .with_client_auth_cert(identity.certificate_chain(), identity.private_key())
                .unwrap(),
            None => builder.with_no_client_auth(),
        })
    }
}
