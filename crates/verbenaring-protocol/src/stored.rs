//! Encoding of configuration entries in the platform store.
//!
//! Each entry stores a document together with the identifier of the amendment
//! that wrote it and the revision that it amended. A deletion is stored as an
//! entry without a document, so that the amendment that deleted it can be found.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use verbenaring_policy::config::{ConfigEntry, ConfigValue};
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::ChangeId;

/// Configuration entry as it is encoded in the platform store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredEntry {
    /// Identifier of the amendment that wrote the entry.
    pub change: ChangeId,
    /// Revision that the amendment expected; 0 for a new entry.
    pub base: Revision,
    /// Document as the operator wrote it; `None` if it was deleted.
    pub document: Option<Box<RawValue>>,
}

impl StoredEntry {
    /// Creates an entry from the text of a JSON document, or a deletion from `None`.
    /// Fails if the text is not valid JSON.
    pub fn new(
        change: ChangeId,
        base: Revision,
        document: Option<&str>,
    ) -> Result<Self, serde_json::Error> {
        let document = document
            .map(|text| RawValue::from_string(text.to_owned()))
            .transpose()?;
        Ok(Self {
            change,
            base,
            document,
        })
    }

    /// Encodes the entry as the value to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an entry can be encoded as JSON")
    }
}

/// Decodes the value of a key in the platform store. `None` means that the key does
/// not exist, and gives a deletion.
///
/// A value that is not a [`StoredEntry`] gives an entry with an empty text. No
/// document type accepts an empty text, so the entry is reported as faulty and the
/// previous one stays in force.
pub fn decode_entry(key: &str, revision: Revision, value: Option<&[u8]>) -> ConfigEntry {
    let stored = value.map(serde_json::from_slice::<StoredEntry>);
    let (change, base, value) = match stored {
        None => (None, 0, ConfigValue::Deleted),
        Some(Err(_)) => (None, 0, ConfigValue::Text(String::new())),
        Some(Ok(stored)) => {
            let value = stored.document.map_or(ConfigValue::Deleted, |document| {
                ConfigValue::Text(document.get().to_owned())
            });
            (Some(stored.change), stored.base, value)
        }
    };
    ConfigEntry {
        key: key.to_owned(),
        revision,
        change: change.unwrap_or_default(),
        base,
        value,
    }
}
