//! Form of configuration entries in the platform store.
//!
//! A document is wrapped with the identifier of the amendment that wrote it
//! and the revision that it amended. A deletion is an entry without a
//! document, so that it can be traced as well.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use verbenaring_policy::config::{ConfigEntry, ConfigValue};
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::ChangeId;

/// Configuration entry as stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredEntry {
    /// Amendment that wrote the entry.
    pub change: ChangeId,
    /// Revision that the amendment expected; 0 for a new entry.
    pub base: Revision,
    /// Document; none if the entry is deleted.
    pub document: Option<Box<RawValue>>,
}

impl StoredEntry {
    /// Wraps the text of a JSON document.
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

    /// Value for the platform store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an entry is JSON")
    }
}

/// Entry of a key as read from the platform store; none for a missing value.
///
/// A value that is not a stored entry becomes an empty text, which no reader
/// accepts, so that it is reported and the previous entry stays in force.
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
