//! JSON messages of the etcd v3 API.
//!
//! As in the JSON mapping of protobuf, keys and values are base64, 64-bit
//! integers are strings, and fields with their default value may be left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::{Value, json};

/// Bytes of a key or value, in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

impl Blob {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Blob)
            .map_err(serde::de::Error::custom)
    }
}

/// 64-bit integer, written as a string and read as a string or a number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Integer(pub(crate) i64);

impl Integer {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Integer {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Integer {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let parsed = match Value::deserialize(deserializer)? {
            Value::String(text) => text.parse().ok(),
            Value::Number(number) => number.as_i64(),
            _ => None,
        };
        parsed
            .map(Integer)
            .ok_or_else(|| serde::de::Error::custom("not a 64-bit integer"))
    }
}

/// Stored entry.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct KeyValue {
    pub(crate) key: Blob,
    /// Revision in which the key was created.
    pub(crate) create_revision: Integer,
    /// Revision of the last write of the key.
    pub(crate) mod_revision: Integer,
    /// Number of writes of the key since its creation, which counts as the first.
    pub(crate) version: Integer,
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub(crate) value: Blob,
    /// ID of the lease that the key is attached to; zero for none.
    #[serde(skip_serializing_if = "Integer::is_zero")]
    pub(crate) lease: Integer,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeRequest {
    pub(crate) key: Blob,
    pub(crate) range_end: Blob,
    /// Largest number of returned entries; zero for no limit.
    pub(crate) limit: Integer,
    /// Revision to read; zero for the current one.
    pub(crate) revision: Integer,
    pub(crate) keys_only: bool,
    pub(crate) count_only: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutRequest {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    pub(crate) lease: Integer,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DeleteRequest {
    pub(crate) key: Blob,
    pub(crate) range_end: Blob,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnRequest {
    /// Conditions; an empty list is met.
    pub(crate) compare: Vec<Compare>,
    /// Operations that run if all conditions are met.
    pub(crate) success: Vec<RequestOp>,
    /// Operations that run otherwise.
    pub(crate) failure: Vec<RequestOp>,
}

#[derive(Debug, Deserialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
    #[serde(rename = "request_txn")]
    Txn(TxnRequest),
}

/// Condition of a transaction: the field of the stored entry that `target` names
/// must relate as `result` says to the field given here.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    pub(crate) result: CompareResult,
    pub(crate) target: CompareTarget,
    pub(crate) version: Integer,
    pub(crate) create_revision: Integer,
    pub(crate) mod_revision: Integer,
    pub(crate) value: Blob,
    pub(crate) lease: Integer,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Integer,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Integer,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    pub(crate) key: Blob,
    pub(crate) range_end: Blob,
    /// First revision to report; zero for changes from now on.
    pub(crate) start_revision: Integer,
    pub(crate) filters: Vec<WatchFilter>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) enum WatchFilter {
    #[serde(rename = "NOPUT")]
    NoPut,
    #[serde(rename = "NODELETE")]
    NoDelete,
}

/// Error answer to a request: gRPC status code and message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: u32,
    pub(crate) message: String,
}

impl Refusal {
    /// Refusal with the gRPC status `INVALID_ARGUMENT`.
    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self {
            code: 3,
            message: message.into(),
        }
    }

    /// Refusal with the gRPC status `NOT_FOUND`.
    pub(crate) fn not_found(message: &str) -> Self {
        Self {
            code: 5,
            message: message.to_owned(),
        }
    }

    /// Refusal with the gRPC status `OUT_OF_RANGE`.
    pub(crate) fn out_of_range(message: &str) -> Self {
        Self {
            code: 11,
            message: message.to_owned(),
        }
    }

    pub(crate) fn to_json(&self) -> Value {
        json!({"error": self.message, "code": self.code, "message": self.message})
    }
}
