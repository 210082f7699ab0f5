//! Tenants: whose key a caller holds, where its calls may run, and what it may use.
//!
//! Load pattern: callers of many tenants share the servers, one of them sends many times
//! its usual, and keys are added and removed while their callers are connected.
//!
//! Only hashes of keys are kept, so that no key can reach a log, a message or a server,
//! and so that the time of a lookup does not tell how much of a key is right.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{RegionName, TenantName};

/// Longest key that is looked up, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Hash of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 16]);

impl KeyHash {
    /// Hash of `key`; `None` if it is empty or longer than [`MAX_KEY_BYTES`].
    pub fn of(key: &[u8]) -> Option<Self> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        let mut hash = [0; 16];
        hash.copy_from_slice(&blake3::hash(key).as_bytes()[..16]);
        Some(Self(hash))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}

/// What an allowance counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowanceUnit {
    /// Each call counts 1.
    #[default]
    Requests,
    /// A call counts the tokens of its prompt and the most tokens of its answer.
    Tokens,
}

/// What the calls of a tenant may use on all VMs together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// What is counted.
    pub unit: AllowanceUnit,
    /// Cost in tokens of a call that states none.
    pub plain_tokens: u32,
    /// Units per second; 0 means no limit.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
}

impl Allowance {
    /// Whether the calls are limited at all.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }

    /// Units that a call uses. `tokens` is the sum that it states; `None` if it states
    /// none.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            AllowanceUnit::Requests => 1,
            AllowanceUnit::Tokens => tokens.unwrap_or(u64::from(self.plain_tokens)),
        }
    }
}

/// One tenant, as operators define it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which servers are told.
    pub name: TenantName,
    /// Rank of its calls, which goes before that of the route; `None` leaves it to the
    /// route.
    pub rank: Option<u8>,
    /// What its calls may use.
    pub allowance: Allowance,
    /// Regions in which its calls may run; all if empty.
    pub residency: Vec<RegionName>,
    /// Hashes of the keys of its callers.
    pub keys: Vec<KeyHash>,
}

/// Tenants by name and by key.
#[derive(Debug, Clone, Default)]
pub struct TenantTable {
    by_name: HashMap<TenantName, Arc<Tenant>>,
    by_key: HashMap<KeyHash, Arc<Tenant>>,
}

impl TenantTable {
    /// Indexes tenants.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut table = Self::default();
        for tenant in tenants {
            let shared = Arc::new(tenant.clone());
            for key in &tenant.keys {
                table.by_key.insert(*key, shared.clone());
            }
            table.by_name.insert(tenant.name.clone(), shared);
        }
        table
    }

    /// Whether there are no tenants, so that callers need no keys.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Tenant that holds a key.
    pub fn holder(&self, key: KeyHash) -> Option<&Arc<Tenant>> {
        self.by_key.get(&key)
    }

    /// Tenant of this name.
    pub fn named(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }
}

/// Regions in which a call may run that two rules bind, each of which allows all regions
/// if it is empty. `None` if they have no region in common.
pub fn common_residency(one: &[RegionName], other: &[RegionName]) -> Option<Vec<RegionName>> {
    match (one, other) {
        ([], regions) | (regions, []) => Some(regions.to_vec()),
        _ => {
            let common = one.iter().filter(|region| other.contains(region));
            let common: Vec<RegionName> = common.cloned().collect();
            (!common.is_empty()).then_some(common)
        }
    }
}
