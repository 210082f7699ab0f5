//! Configuration entries and their replication to every node.
//!
//! A node keeps the entry with the highest store revision of each key, so all
//! nodes reach the same state for any order of messages and never go back to an
//! older entry. The specification is `docs/spec/config.md`.

pub use crate::amendment::{Amendment, AmendmentAction, AmendmentEvent, AmendmentReport};

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use crate::contract::Revision;
use crate::id::ChangeId;

/// Number of buckets in a digest. A digest takes about 1 KB, and a bucket covers
/// about 53 of 6,800 entries.
pub const DIGEST_BUCKETS: usize = 128;
/// Largest number of buckets listed in one delta request; about 4 KB at 6,800 entries.
pub const MAX_LISTED_BUCKETS: usize = 4;
/// Largest value of an entry, in bytes; a page with one such entry stays below 1 MB.
pub const MAX_VALUE_BYTES: usize = 900_000;
/// Largest page of a snapshot with more than one key, in bytes.
pub const MAX_PAGE_BYTES: usize = 950_000;
/// Bytes of an entry besides its key and value: revisions, change identifier and
/// length prefixes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigValue {
    /// The key was deleted.
    Deleted,
    /// JSON text.
    Text(String),
    /// A value above [`MAX_VALUE_BYTES`], stored without its content.
    Oversized,
}

/// Value of a key at one store revision.
///
/// Entries of one key are ordered by revision first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Key in the store.
    pub key: String,
    /// Store revision of the change.
    pub revision: Revision,
    /// Identifier of the change.
    pub change: ChangeId,
    /// Revision that the change amended; 0 for a new key.
    pub base: Revision,
    /// Content or deletion.
    pub value: ConfigValue,
}

impl ConfigEntry {
    /// Estimated size in a message, in bytes, rounded up.
    pub fn wire_bytes(&self) -> usize {
        let value = match &self.value {
            ConfigValue::Text(text) => text.len(),
            _ => 0,
        };
        ENTRY_OVERHEAD_BYTES + self.key.len() + value
    }
}

/// Decides whether the text of an entry is valid and can be put in force.
pub trait EntryValidator {
    /// Checks the text of a key; the error says what is wrong.
    fn validate(&self, key: &str, text: &str) -> Result<(), String>;
}

impl<F: Fn(&str, &str) -> Result<(), String>> EntryValidator for F {
    fn validate(&self, key: &str, text: &str) -> Result<(), String> {
        self(key, text)
    }
}

/// Effect of a merge on one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeEffect {
    /// The entry is in force.
    InForce,
    /// The entry is known already, or too old to change anything.
    Unchanged,
    /// The entry is newer but invalid for this reason; the previous value stays in force.
    Invalid(String),
}

/// Entries that a node keeps of one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ConfigSlot {
    /// Newest entry, valid or not.
    latest: ConfigEntry,
    /// Newest valid entry if it is not the latest.
    last_valid: Option<ConfigEntry>,
    /// Why the latest entry is invalid; `None` if it is in force.
    error: Option<String>,
}

impl ConfigSlot {
    fn in_force(&self) -> Option<&ConfigEntry> {
        match self.error {
            None => Some(&self.latest),
            Some(_) => self.last_valid.as_ref(),
        }
    }

    fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.last_valid.iter().chain([&self.latest])
    }
}

/// Configuration entries of one node, and their digest.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigTable {
    slots: BTreeMap<String, ConfigSlot>,
    digest: ConfigDigest,
}

impl Default for ConfigTable {
    fn default() -> Self {
        Self {
            slots: BTreeMap::new(),
            digest: ConfigDigest {
                highest: 0,
                buckets: vec![0; DIGEST_BUCKETS],
            },
        }
    }
}

impl ConfigTable {
    /// Merges an entry from the store or from a peer; entries may come in any order.
    pub fn merge(
        &mut self,
        mut entry: ConfigEntry,
        validator: &impl EntryValidator,
    ) -> MergeEffect {
        let error = match &entry.value {
            ConfigValue::Deleted => None,
            ConfigValue::Text(text) if text.len() > MAX_VALUE_BYTES => {
                Some("value too large".into())
            }
            ConfigValue::Text(text) => validator.validate(&entry.key, text).err(),
            ConfigValue::Oversized => Some("value too large".into()),
        };
        if matches!(&entry.value, ConfigValue::Text(text) if text.len() > MAX_VALUE_BYTES) {
            entry.value = ConfigValue::Oversized;
        }
        let Some(slot) = self.slots.get_mut(&entry.key) else {
            return self.insert(entry, error);
        };
        let before = slot_hash(slot);
        let effect = merge_slot(slot, entry, error);
        let after = slot_hash(slot);
        let (bucket, highest) = (bucket_of(&slot.latest.key), slot.latest.revision);
        self.digest.replace(bucket, before, after, highest);
        effect
    }

    fn insert(&mut self, entry: ConfigEntry, error: Option<String>) -> MergeEffect {
        let effect = match &error {
            None => MergeEffect::InForce,
            Some(error) => MergeEffect::Invalid(error.clone()),
        };
        let slot = ConfigSlot {
            latest: entry,
            last_valid: None,
            error,
        };
        let (key, highest) = (slot.latest.key.clone(), slot.latest.revision);
        self.digest
            .replace(bucket_of(&key), 0, slot_hash(&slot), highest);
        self.slots.insert(key, slot);
        effect
    }

    /// Entry in force for a key; a deletion is an entry too. `None` if there is no valid one.
    pub fn in_force(&self, key: &str) -> Option<&ConfigEntry> {
        self.slots.get(key)?.in_force()
    }

    /// Newest entry of a key, also if it is invalid. Amendments expect its revision.
    pub fn latest(&self, key: &str) -> Option<&ConfigEntry> {
        Some(&self.slots.get(key)?.latest)
    }

    /// Entries in force with this key prefix.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a ConfigEntry> {
        self.slots
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(|(_, slot)| slot.in_force())
    }

    /// Latest entries that are invalid, and what is wrong with them.
    pub fn invalid_entries(&self) -> impl Iterator<Item = (&ConfigEntry, &str)> {
        self.slots
            .values()
            .filter_map(|slot| Some((&slot.latest, slot.error.as_deref()?)))
    }

    /// Digest of all entries, kept up to date by each merge.
    pub fn digest(&self) -> &ConfigDigest {
        &self.digest
    }

    /// Request to a peer with this digest; `None` if the peer has nothing new.
    ///
    /// If the peer has a higher revision, only entries above the own highest one are
    /// requested. Otherwise up to [`MAX_LISTED_BUCKETS`] differing buckets are listed,
    /// so that the peer can find missing entries.
    pub fn delta_request(&self, peer: &ConfigDigest) -> Option<DeltaRequest> {
        let highest = self.digest.highest;
        if peer.highest > highest {
            return Some(DeltaRequest {
                highest,
                listings: Vec::new(),
            });
        }
        let listings: Vec<_> = (0..DIGEST_BUCKETS)
            .filter(|&bucket| peer.buckets.get(bucket) != Some(&self.digest.buckets[bucket]))
            .take(MAX_LISTED_BUCKETS)
            .map(|bucket| self.listing(bucket))
            .collect();
        (!listings.is_empty()).then_some(DeltaRequest { highest, listings })
    }

    fn listing(&self, bucket: usize) -> BucketListing {
        let slots = self.slots.values();
        let entries = slots
            .filter(|slot| bucket_of(&slot.latest.key) == bucket)
            .flat_map(ConfigSlot::entries)
            .map(|entry| (key_hash(&entry.key), entry.revision))
            .collect();
        BucketListing { bucket, entries }
    }

    /// Entries that the requester lacks, by ascending revision. They take at most
    /// `max_bytes`, except that one entry is always sent. The requester merges them
    /// and asks again until nothing is left.
    pub fn delta(&self, request: &DeltaRequest, max_bytes: usize) -> ConfigDelta {
        let mut missing: Vec<_> = self
            .slots
            .values()
            .flat_map(ConfigSlot::entries)
            .filter(|entry| request.lacks(entry))
            .collect();
        missing.sort_by_key(|entry| entry.revision);
        let count = count_fitting(missing.iter().copied(), max_bytes);
        ConfigDelta {
            complete: count == missing.len(),
            entries: missing.into_iter().take(count).cloned().collect(),
        }
    }

    /// Page of the snapshot that follows the key `after`, or the first page.
    pub fn snapshot(&self, after: Option<&str>) -> SnapshotPage {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page = SnapshotPage::default();
        let mut bytes = 0;
        for (key, slot) in self.slots.range::<str, _>((start, Bound::Unbounded)) {
            let size: usize = slot.entries().map(ConfigEntry::wire_bytes).sum();
            if bytes > 0 && bytes + size > MAX_PAGE_BYTES {
                return page;
            }
            bytes += size;
            page.entries.extend(slot.entries().cloned());
            page.next = Some(key.clone());
        }
        page.next = None;
        page
    }
}

fn merge_slot(slot: &mut ConfigSlot, entry: ConfigEntry, error: Option<String>) -> MergeEffect {
    let newer_than_in_force = slot.in_force().is_none_or(|current| entry > *current);
    let newest = entry > slot.latest;
    match error {
        Some(error) if newest => {
            if slot.error.is_none() {
                slot.last_valid = Some(slot.latest.clone());
            }
            slot.latest = entry;
            slot.error = Some(error.clone());
            MergeEffect::Invalid(error)
        }
        None if newest => {
            *slot = ConfigSlot {
                latest: entry,
                last_valid: None,
                error: None,
            };
            MergeEffect::InForce
        }
        None if newer_than_in_force && entry != slot.latest => {
            slot.last_valid = Some(entry);
            MergeEffect::InForce
        }
        _ => MergeEffect::Unchanged,
    }
}

fn count_fitting<'a>(entries: impl Iterator<Item = &'a ConfigEntry>, max_bytes: usize) -> usize {
    let mut bytes = 0;
    entries
        .take_while(|entry| {
            let first = bytes == 0;
            bytes += entry.wire_bytes();
            first || bytes <= max_bytes
        })
        .count()
}

fn hash_prefix(hash: &blake3::Hash) -> u64 {
    let (prefix, _) = hash.as_bytes().split_at(8);
    prefix
        .iter()
        .fold(0, |value, &byte| value << 8 | u64::from(byte))
}

fn key_hash(key: &str) -> u64 {
    hash_prefix(&blake3::hash(key.as_bytes()))
}

fn bucket_of(key: &str) -> usize {
    (key_hash(key) % DIGEST_BUCKETS as u64) as usize
}

/// Hash of a key and its revisions; the store gives each content its own revision.
fn slot_hash(slot: &ConfigSlot) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(slot.latest.key.as_bytes());
    for entry in slot.entries() {
        hasher.update(&entry.revision.to_be_bytes());
    }
    hash_prefix(&hasher.finalize())
}

/// Digest of all entries of a node, of constant size.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigDigest {
    /// Highest revision of any entry.
    pub highest: Revision,
    /// Wrapping sum of the hashes in each bucket, one hash per key.
    pub buckets: Vec<u64>,
}

/// Short form of a digest for gossip messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DigestSummary {
    /// Highest revision of any entry.
    pub highest: Revision,
    /// Wrapping sum of all buckets.
    pub total: u64,
}

impl ConfigDigest {
    /// Short form; equal summaries mean equal tables.
    pub fn summary(&self) -> DigestSummary {
        DigestSummary {
            highest: self.highest,
            total: self.buckets.iter().copied().fold(0, u64::wrapping_add),
        }
    }

    fn replace(&mut self, bucket: usize, before: u64, after: u64, highest: Revision) {
        let sum = &mut self.buckets[bucket];
        *sum = sum.wrapping_sub(before).wrapping_add(after);
        self.highest = self.highest.max(highest);
    }
}

/// Entries that a requester has in one bucket.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketListing {
    /// Index of the bucket.
    pub bucket: usize,
    /// Key hash and revision of each entry.
    pub entries: Vec<(u64, Revision)>,
}

/// Request for the entries that a node lacks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// Highest revision of the requester; newer entries are always sent.
    pub highest: Revision,
    /// Listings of buckets that differ; entries missing from them are sent.
    pub listings: Vec<BucketListing>,
}

impl DeltaRequest {
    fn lacks(&self, entry: &ConfigEntry) -> bool {
        if entry.revision > self.highest {
            return true;
        }
        let bucket = bucket_of(&entry.key);
        let Some(listing) = self
            .listings
            .iter()
            .find(|listing| listing.bucket == bucket)
        else {
            return false;
        };
        !listing
            .entries
            .contains(&(key_hash(&entry.key), entry.revision))
    }
}

/// Answer to a delta request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Entries by ascending revision.
    pub entries: Vec<ConfigEntry>,
    /// Whether these are all missing entries; the byte limit may cut them.
    pub complete: bool,
}

/// Consecutive keys of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPage {
    /// Entries in the order of their keys.
    pub entries: Vec<ConfigEntry>,
    /// Key after which the next page starts; `None` for the last page.
    pub next: Option<String>,
}
