//! Configuration entries and their replication to every node.
//!
//! Each key keeps the entry with the maximum store revision, so nodes reach
//! the same state for any order of messages and never revert. The
//! specification is `docs/spec/config.md`.

pub use crate::amendment::{Amendment, AmendmentAction, AmendmentEvent, AmendmentReport};

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use crate::contract::Revision;
use crate::id::ChangeId;

/// Buckets of a digest: a digest takes about 1 KB, and a bucket has about 53
/// of 6,800 entries.
pub const DIGEST_BUCKETS: usize = 128;
/// Buckets listed in one delta request, at most about 4 KB at 6,800 entries.
pub const LISTED_BUCKETS: usize = 4;
/// Largest value of an entry; a piece with one such entry stays below 1 MB.
pub const MAX_VALUE_BYTES: usize = 900_000;
/// Largest piece of a snapshot.
pub const PIECE_BYTES: usize = 950_000;
/// Size of an entry besides its key and value: revisions, change identifier
/// and length prefixes.
const ENTRY_BYTES: usize = 64;

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigValue {
    /// The key was deleted.
    Deleted,
    /// JSON text.
    Text(String),
    /// A value above [`MAX_VALUE_BYTES`], kept without its content.
    Oversized,
}

/// Value of a key at one store revision.
///
/// The order compares the revision before the content of one key.
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
    /// Size in a message, rounded up.
    pub fn wire_bytes(&self) -> usize {
        let value = match &self.value {
            ConfigValue::Text(text) => text.len(),
            _ => 0,
        };
        ENTRY_BYTES + self.key.len() + value
    }
}

/// Decides whether the text of an entry can be put in force.
pub trait EntryReader {
    /// Checks the text of the key; the error says what is wrong.
    fn read(&self, key: &str, text: &str) -> Result<(), String>;
}

impl<F: Fn(&str, &str) -> Result<(), String>> EntryReader for F {
    fn read(&self, key: &str, text: &str) -> Result<(), String> {
        self(key, text)
    }
}

/// Effect of a merge on one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeEffect {
    /// The entry is in force.
    InForce,
    /// The entry is known or older than the entry in force.
    Unchanged,
    /// The entry is newer but unreadable; the previous value stays in force.
    Invalid(String),
}

/// What a node knows of one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct BookSlot {
    /// Newest entry, readable or not.
    latest: ConfigEntry,
    /// Newest readable entry if it is not the latest.
    good: Option<ConfigEntry>,
    /// Why the latest entry is not in force.
    fault: Option<String>,
}

impl BookSlot {
    fn in_force(&self) -> Option<&ConfigEntry> {
        match self.fault {
            None => Some(&self.latest),
            Some(_) => self.good.as_ref(),
        }
    }

    fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.good.iter().chain([&self.latest])
    }
}

/// Configuration of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigTable {
    slots: BTreeMap<String, BookSlot>,
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
    /// Merges an entry from the store or from a peer, in any order.
    pub fn merge(&mut self, mut entry: ConfigEntry, reader: &impl EntryReader) -> MergeEffect {
        let fault = match &entry.value {
            ConfigValue::Deleted => None,
            ConfigValue::Text(text) if text.len() > MAX_VALUE_BYTES => {
                Some("value too large".into())
            }
            ConfigValue::Text(text) => reader.read(&entry.key, text).err(),
            ConfigValue::Oversized => Some("value too large".into()),
        };
        if matches!(&entry.value, ConfigValue::Text(text) if text.len() > MAX_VALUE_BYTES) {
            entry.value = ConfigValue::Oversized;
        }
        let Some(slot) = self.slots.get_mut(&entry.key) else {
            return self.insert(entry, fault);
        };
        let before = slot_hash(slot);
        let effect = merge_slot(slot, entry, fault);
        let after = slot_hash(slot);
        let (bucket, highest) = (bucket_of(&slot.latest.key), slot.latest.revision);
        self.digest.replace(bucket, before, after, highest);
        effect
    }

    fn insert(&mut self, entry: ConfigEntry, fault: Option<String>) -> MergeEffect {
        let effect = match &fault {
            None => MergeEffect::InForce,
            Some(fault) => MergeEffect::Invalid(fault.clone()),
        };
        let slot = BookSlot {
            latest: entry,
            good: None,
            fault,
        };
        let (key, highest) = (slot.latest.key.clone(), slot.latest.revision);
        self.digest
            .replace(bucket_of(&key), 0, slot_hash(&slot), highest);
        self.slots.insert(key, slot);
        effect
    }

    /// Entry in force for a key; a deletion is an entry too.
    pub fn in_force(&self, key: &str) -> Option<&ConfigEntry> {
        self.slots.get(key)?.in_force()
    }

    /// Newest entry of a key, also if it is unreadable. Amendments expect its
    /// revision.
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

    /// Unreadable entries and what is wrong with them.
    pub fn invalid_entries(&self) -> impl Iterator<Item = (&ConfigEntry, &str)> {
        self.slots
            .values()
            .filter_map(|slot| Some((&slot.latest, slot.fault.as_deref()?)))
    }

    /// Digest over all entries.
    pub fn digest(&self) -> &ConfigDigest {
        &self.digest
    }

    /// Request to a peer with this digest; none if the peer has nothing new.
    ///
    /// Changes above the own highest revision come first. Only at equal or
    /// lower revisions are gaps searched, by listing some differing buckets.
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
            .take(LISTED_BUCKETS)
            .map(|bucket| self.listing(bucket))
            .collect();
        (!listings.is_empty()).then_some(DeltaRequest { highest, listings })
    }

    fn listing(&self, bucket: usize) -> BucketListing {
        let slots = self.slots.values();
        let entries = slots
            .filter(|slot| bucket_of(&slot.latest.key) == bucket)
            .flat_map(BookSlot::entries)
            .map(|entry| (key_hash(&entry.key), entry.revision))
            .collect();
        BucketListing { bucket, entries }
    }

    /// Entries that the requester lacks, by rising revision and in at most
    /// `max_bytes`, but at least one. The requester merges them and asks
    /// again until nothing is left.
    pub fn delta(&self, request: &DeltaRequest, max_bytes: usize) -> ConfigDelta {
        let mut missing: Vec<_> = self
            .slots
            .values()
            .flat_map(BookSlot::entries)
            .filter(|entry| request.lacks(entry))
            .collect();
        missing.sort_by_key(|entry| entry.revision);
        let count = count_within(missing.iter().copied(), max_bytes);
        ConfigDelta {
            complete: count == missing.len(),
            entries: missing.into_iter().take(count).cloned().collect(),
        }
    }

    /// Piece of a snapshot with the keys after `after`.
    pub fn snapshot(&self, after: Option<&str>) -> SnapshotPage {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut piece = SnapshotPage::default();
        let mut bytes = 0;
        for (key, slot) in self.slots.range::<str, _>((start, Bound::Unbounded)) {
            let size: usize = slot.entries().map(ConfigEntry::wire_bytes).sum();
            if bytes > 0 && bytes + size > PIECE_BYTES {
                return piece;
            }
            bytes += size;
            piece.entries.extend(slot.entries().cloned());
            piece.next = Some(key.clone());
        }
        piece.next = None;
        piece
    }
}

fn merge_slot(slot: &mut BookSlot, entry: ConfigEntry, fault: Option<String>) -> MergeEffect {
    let newer_than_force = slot.in_force().is_none_or(|good| entry > *good);
    let newest = entry > slot.latest;
    match fault {
        Some(fault) if newest => {
            if slot.fault.is_none() {
                slot.good = Some(slot.latest.clone());
            }
            slot.latest = entry;
            slot.fault = Some(fault.clone());
            MergeEffect::Invalid(fault)
        }
        None if newest => {
            *slot = BookSlot {
                latest: entry,
                good: None,
                fault: None,
            };
            MergeEffect::InForce
        }
        None if newer_than_force && entry != slot.latest => {
            slot.good = Some(entry);
            MergeEffect::InForce
        }
        _ => MergeEffect::Unchanged,
    }
}

fn count_within<'a>(entries: impl Iterator<Item = &'a ConfigEntry>, max_bytes: usize) -> usize {
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
        .fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}

fn key_hash(key: &str) -> u64 {
    hash_prefix(&blake3::hash(key.as_bytes()))
}

fn bucket_of(key: &str) -> usize {
    (key_hash(key) % DIGEST_BUCKETS as u64) as usize
}

/// Covers revisions only: the store gives each content its own revision.
fn slot_hash(slot: &BookSlot) -> u64 {
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
    /// Sum of the entry hashes in each bucket.
    pub buckets: Vec<u64>,
}

/// Short form of a digest for gossip messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DigestSummary {
    /// Highest revision of any entry.
    pub highest: Revision,
    /// Sum of the hashes of all entries.
    pub total: u64,
}

impl ConfigDigest {
    /// Short form; equal summaries mean equal books.
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

/// Revisions that a requester has in one bucket.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketListing {
    /// Number of the bucket.
    pub bucket: usize,
    /// Key hash and revision of each entry.
    pub entries: Vec<(u64, Revision)>,
}

/// Request for the entries that a node lacks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// Highest revision of the requester; newer entries are always sent.
    pub highest: Revision,
    /// Listings of buckets with gaps.
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
    /// Entries by rising revision.
    pub entries: Vec<ConfigEntry>,
    /// Whether nothing was left out because of the limit.
    pub complete: bool,
}

/// Part of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPage {
    /// Entries by key.
    pub entries: Vec<ConfigEntry>,
    /// Key after which the next piece starts; none for the last piece.
    pub next: Option<String>,
}
