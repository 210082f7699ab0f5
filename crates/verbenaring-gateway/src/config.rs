//! Settings of the daemon.
//!
//! The settings file is JSON. Its types are generated from
//! `schemas/settings.schema.json`. This module performs the checks that the
//! schema cannot express and converts strings into typed values.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use verbenaring_policy::id::{CentreName, DataCentre, RegionName, VmId};
use verbenaring_protocol::document::{SettingsDocument, read_address, read_document};
use verbenaring_protocol::generated::settings::{LevelDocument, PeerDocument};

use crate::error::{Error, Result};
use crate::handshake::MAX_KEY_ID_BYTES;
use crate::tls::{CallerTls, CallerTlsFiles, NodeTls, NodeTlsFiles};

/// Numeric fields with their minimum and maximum, as in the schema.
const FIELD_RANGES: [(&str, u64, u64); 8] = [
    ("max_head_bytes", 8_192, 1_048_576),
    ("max_body_bytes", 1_024, 67_108_864),
    ("header_timeout_ms", 100, 60_000),
    ("body_timeout_ms", 100, 600_000),
    ("stall_timeout_ms", 100, 600_000),
    ("connect_timeout_ms", 10, 60_000),
    ("max_connections", 1, 1_000_000),
    ("store_timeout_ms", 10, 60_000),
];

/// Address record of another entry VM, from the settings or from the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the entry VM.
    pub vm: VmId,
    /// Data centre and region of the entry VM.
    pub data_centre: DataCentre,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other nodes forward requests to.
    pub peer_address: SocketAddr,
    /// Address that other nodes send control messages to.
    pub control_address: SocketAddr,
}

/// Secret key shared by all nodes, for signatures and control connections.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey {
    /// Identifier that tells the receiver which key was used.
    pub id: String,
    /// Key material; not printed by `Debug`.
    pub secret: [u8; 32],
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ClusterKey({})", self.id)
    }
}

/// Limits on requests and connections that bound the memory of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head, and for the TLS handshake before it.
    pub header_timeout: Duration,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Time after which a connection is closed whose caller accepts no data.
    pub stall_timeout: Duration,
    /// Time limit for connecting to a backend server or another node.
    pub connect_timeout: Duration,
    /// Maximum number of open connections per listener.
    pub max_connections: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            max_connections: 20_000,
        }
    }
}

/// Validated settings of one process.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of this entry VM.
    pub vm: VmId,
    /// Data centre and region of this entry VM.
    pub data_centre: DataCentre,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other nodes forward requests to.
    pub peer_address: SocketAddr,
    /// Address that other nodes send control messages to.
    pub control_address: SocketAddr,
    /// Address of the operators' interface.
    pub operator_address: SocketAddr,
    /// Digest of the operators' bearer key; `None` disables the operators' interface.
    pub operator_key: Option<verbenaring_policy::id::Digest>,
    /// Addresses of the platform store; at least one.
    pub store_addresses: Vec<SocketAddr>,
    /// Time limit for one call to the platform store.
    pub store_timeout: Duration,
    /// Other entry VMs known at start.
    pub peers: Vec<PeerSettings>,
    /// Accepted cluster keys, at least one; the last one signs.
    pub cluster_keys: Vec<ClusterKey>,
    /// Limits on requests and connections.
    pub limits: LimitSettings,
    /// Time at a shutdown during which the node reports not ready but still serves.
    pub drain: Duration,
    /// Mutual TLS between nodes; `None` for plaintext connections.
    pub node_tls: Option<NodeTls>,
    /// TLS for callers; `None` for plaintext connections.
    pub caller_tls: Option<CallerTls>,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl NodeSettings {
    /// Reads and validates a settings file.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read(file).map_err(|source| Error::File {
            file: file.to_owned(),
            source,
        })?;
        let directory = file.parent().unwrap_or(Path::new(""));
        Self::read(&text, directory).map_err(|source| Error::Settings {
            file: file.to_owned(),
            source,
        })
    }

    /// Validates the text of a settings file; file names in it are relative to `directory`.
    pub fn read(text: &[u8], directory: &Path) -> verbenaring_protocol::Result<Self> {
        let document: SettingsDocument = read_document(text).map_err(add_range)?;
        Self::check(&document, directory)
    }

    fn check(document: &SettingsDocument, directory: &Path) -> verbenaring_protocol::Result<Self> {
        check_range("max_head_bytes", document.max_head_bytes)?;
        check_range("max_body_bytes", document.max_body_bytes)?;
        check_range("header_timeout_ms", document.header_timeout_ms)?;
        check_range("body_timeout_ms", document.body_timeout_ms)?;
        check_range("stall_timeout_ms", document.stall_timeout_ms)?;
        check_range("connect_timeout_ms", document.connect_timeout_ms)?;
        check_range("max_connections", document.max_connections.get())?;
        check_range("drain_ms", document.drain_ms)?;
        check_range("store_timeout_ms", document.store_timeout_ms)?;
        let stores = document.store_addresses.iter().enumerate();
        let keys = document.cluster_keys.iter().enumerate();
        let peers = document.peers.iter().enumerate();
        let settings = Self {
            vm: check_name("vm", VmId::new(&document.vm))?,
            data_centre: read_centre("", &document.region, &document.data_centre)?,
            caller_address: read_address("caller_address", &document.caller_address)?,
            peer_address: read_address("peer_address", &document.peer_address)?,
            control_address: read_address("control_address", &document.control_address)?,
            operator_address: match &document.operator_address {
                Some(address) => read_address("operator_address", address)?,
                None => SocketAddr::from(([127, 0, 0, 1], 0)),
            },
            operator_key: match &document.operator_key_digest {
                Some(text) => Some(read_digest("operator_key_digest", text)?),
                None => None,
            },
            store_addresses: stores
                .map(|(index, text)| read_address(&format!("store_addresses[{index}]"), text))
                .collect::<verbenaring_protocol::Result<_>>()?,
            store_timeout: millis(document.store_timeout_ms),
            peers: peers
                .map(|(index, peer)| read_peer(index, peer))
                .collect::<verbenaring_protocol::Result<_>>()?,
            cluster_keys: keys
                .map(|(index, key)| read_key(index, &key.id, &key.secret))
                .collect::<verbenaring_protocol::Result<_>>()?,
            limits: LimitSettings {
                max_head_bytes: document.max_head_bytes as usize,
                max_body_bytes: document.max_body_bytes as usize,
                header_timeout: millis(document.header_timeout_ms),
                body_timeout: millis(document.body_timeout_ms),
                stall_timeout: millis(document.stall_timeout_ms),
                connect_timeout: millis(document.connect_timeout_ms),
                max_connections: document.max_connections.get() as usize,
            },
            drain: millis(document.drain_ms),
            node_tls: match &document.node_tls {
                Some(files) => Some(NodeTls::load(&NodeTlsFiles {
                    certificate_file: directory.join(&files.certificate_file),
                    key_file: directory.join(&files.key_file),
                    authority_file: directory.join(&files.authority_file),
                })?),
                None => None,
            },
            caller_tls: match &document.caller_tls {
                Some(files) => Some(CallerTls::load(&CallerTlsFiles {
                    certificate_file: directory.join(&files.certificate_file),
                    key_file: directory.join(&files.key_file),
                })?),
                None => None,
            },
            log_level: match document.log_level {
                LevelDocument::Error => log::LevelFilter::Error,
                LevelDocument::Warn => log::LevelFilter::Warn,
                LevelDocument::Info => log::LevelFilter::Info,
                LevelDocument::Debug => log::LevelFilter::Debug,
            },
        };
        settings.check_references()?;
        Ok(settings)
    }

    fn check_references(&self) -> verbenaring_protocol::Result<()> {
        if self.store_addresses.is_empty() {
            return Err(field_error(
                "store_addresses",
                "at least one address is required",
            ));
        }
        if self.cluster_keys.is_empty() {
            return Err(field_error("cluster_keys", "at least one key is required"));
        }
        self.check_key_ids()?;
        self.check_peers()
    }

    fn check_key_ids(&self) -> verbenaring_protocol::Result<()> {
        for (index, key) in self.cluster_keys.iter().enumerate() {
            let field = format!("cluster_keys[{index}].id");
            // A colon is the separator after the identifier in the signature header.
            let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
            if !(1..=MAX_KEY_ID_BYTES).contains(&key.id.len()) || !key.id.bytes().all(allowed) {
                let reason = format!("use 1 to {MAX_KEY_ID_BYTES} letters, digits, -, _ or .");
                return Err(field_error(&field, &reason));
            }
            if self.cluster_keys[..index]
                .iter()
                .any(|other| other.id == key.id)
            {
                let reason = format!("{:?} names two keys, use each identifier once", key.id);
                return Err(field_error(&field, &reason));
            }
        }
        Ok(())
    }

    fn check_peers(&self) -> verbenaring_protocol::Result<()> {
        for (index, peer) in self.peers.iter().enumerate() {
            let earlier = &self.peers[..index];
            if peer.vm == self.vm || earlier.iter().any(|other| other.vm == peer.vm) {
                let reason = format!("{} names two entry VMs, use each name once", peer.vm);
                return Err(field_error(&format!("peers[{index}].vm"), &reason));
            }
            let mut centres = earlier.iter().map(|other| &other.data_centre);
            let same_name = |centre: &&DataCentre| centre.name == peer.data_centre.name;
            let known = Some(&self.data_centre).filter(same_name);
            let known = known.or_else(|| centres.find(same_name));
            if let Some(known) = known.filter(|known| known.region != peer.data_centre.region) {
                let reason = format!(
                    "data centre {} is unknown in region {}, use region {}",
                    known.name, peer.data_centre.region, known.region
                );
                return Err(field_error(&format!("peers[{index}].region"), &reason));
            }
        }
        Ok(())
    }
}

fn field_error(field: &str, reason: &str) -> verbenaring_protocol::Error {
    verbenaring_protocol::Error::Field {
        field: field.to_owned(),
        reason: reason.to_owned(),
    }
}

fn check_range(field: &str, value: impl Into<u64>) -> verbenaring_protocol::Result<()> {
    let value = value.into();
    match range_of(field) {
        Some((low, high)) if !(low..=high).contains(&value) => Err(field_error(
            field,
            &format!("{value} is outside {low} to {high}"),
        )),
        _ => Ok(()),
    }
}

fn range_of(field: &str) -> Option<(u64, u64)> {
    let found = FIELD_RANGES.iter().find(|(name, _, _)| *name == field);
    found.map(|(_, low, high)| (*low, *high))
}

/// Adds the allowed range to the error about a number that does not fit its type.
fn add_range(error: verbenaring_protocol::Error) -> verbenaring_protocol::Error {
    use verbenaring_protocol::Error::Document;
    match error {
        Document {
            line,
            column,
            field,
            reason,
        } => {
            let reason = match range_of(&field) {
                Some((low, high)) => format!("{reason}, use {low} to {high}"),
                None => reason,
            };
            Document {
                line,
                column,
                field,
                reason,
            }
        }
        other => other,
    }
}

fn millis(value: impl Into<u64>) -> Duration {
    Duration::from_millis(value.into())
}

fn check_name<T>(
    field: &str,
    name: verbenaring_policy::Result<T>,
) -> verbenaring_protocol::Result<T> {
    name.map_err(|error| field_error(field, &error.to_string()))
}

fn read_centre(prefix: &str, region: &str, name: &str) -> verbenaring_protocol::Result<DataCentre> {
    Ok(DataCentre {
        region: check_name(&format!("{prefix}region"), RegionName::new(region))?,
        name: check_name(&format!("{prefix}data_centre"), CentreName::new(name))?,
    })
}

fn read_peer(index: usize, peer: &PeerDocument) -> verbenaring_protocol::Result<PeerSettings> {
    let prefix = format!("peers[{index}].");
    let address = |field: &str, text: &str| read_address(&format!("{prefix}{field}"), text);
    Ok(PeerSettings {
        vm: check_name(&format!("{prefix}vm"), VmId::new(&peer.vm))?,
        data_centre: read_centre(&prefix, &peer.region, &peer.data_centre)?,
        caller_address: address("caller_address", &peer.caller_address)?,
        peer_address: address("peer_address", &peer.peer_address)?,
        control_address: address("control_address", &peer.control_address)?,
    })
}

fn read_digest(
    field: &str,
    text: &str,
) -> verbenaring_protocol::Result<verbenaring_policy::id::Digest> {
    let digest = verbenaring_policy::id::Digest::try_from(text.to_owned());
    digest.map_err(|_| field_error(field, "use 64 hexadecimal digits"))
}

fn read_key(index: usize, id: &str, secret: &str) -> verbenaring_protocol::Result<ClusterKey> {
    let digest = read_digest(&format!("cluster_keys[{index}].secret"), secret)?;
    Ok(ClusterKey {
        id: id.to_owned(),
        secret: digest.0,
    })
}
