//! Names, identifiers and digests.
//!
//! Names are short strings of a restricted alphabet, so they can be used in store
//! keys, headers and metric labels without escaping. They are cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::error::{Error, Result};

const MAX_NAME_BYTES: usize = 64;

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-')
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name of 1 to 64 letters, digits, dots, underscores and hyphens.
            ///
            /// Fails with [`Error::InvalidName`] for any other text.
            pub fn new(text: &str) -> Result<Self> {
                let valid = !text.is_empty()
                    && text.len() <= MAX_NAME_BYTES
                    && text.bytes().all(is_name_byte);
                if valid {
                    Ok(Self(text.into()))
                } else {
                    Err(Error::InvalidName { kind: $kind, value: text.chars().take(80).collect() })
                }
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                Self::new(&text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:?}", &*self.0)
            }
        }
    };
}

name_type!(
    /// Name of a region of the deployment.
    RegionName,
    "region"
);
name_type!(
    /// Name of a data centre; unique in the deployment.
    CentreName,
    "data centre"
);
name_type!(
    /// Name of an entry VM, on which one gateway node runs.
    VmId,
    "entry VM"
);
name_type!(
    /// Name of a backend server, which is a model engine or a plain service.
    ServerId,
    "backend server"
);
name_type!(
    /// Name of a customer, who holds one contract.
    CustomerId,
    "customer"
);
name_type!(
    /// Name of a member organisation of the consortium.
    MemberId,
    "member"
);
name_type!(
    /// Name of a tenant, whose callers identify themselves with its keys.
    TenantName,
    "tenant"
);
name_type!(
    /// Name of a model that engines serve.
    ModelName,
    "model"
);
name_type!(
    /// Name of a plain service that is reached through the gateway.
    ServiceName,
    "service"
);

/// Location of a process: a data centre and its region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DataCentre {
    /// Region that holds the data centre.
    pub region: RegionName,
    /// Name of the data centre.
    pub name: CentreName,
}

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub Uuid);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

uuid_type!(
    /// Identifier of one attempt of a request at one backend server; never reused.
    AttemptId
);
uuid_type!(
    /// Identifier of one amendment of a configuration entry.
    ChangeId
);

/// BLAKE3 digest of content that must not itself be stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of `content` without a key.
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }

    /// Digest of `content` under a secret key. Without the key, content that has few
    /// possible values could be found by trying them all.
    pub fn keyed(key: &[u8; 32], content: &[u8]) -> Self {
        Self(*blake3::keyed_hash(key, content).as_bytes())
    }

    /// First 32 bits, for places where a digest would take too much room.
    pub fn short_id(&self) -> u32 {
        let [b0, b1, b2, b3, ..] = self.0;
        u32::from_le_bytes([b0, b1, b2, b3])
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Digest) -> bool {
        blake3::Hash::from(self.0) == blake3::Hash::from(other.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        let hash = blake3::Hash::from_hex(&text).map_err(|_| Error::InvalidDigest(text))?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
