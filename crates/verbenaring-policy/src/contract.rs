//! Contracts: the one source of a customer's limits, priority, residency and
//! share.
//!
//! Terms are checked once, when they enter the system. An invalid contract
//! never replaces a valid one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::id::{CustomerId, Digest, MemberId, ModelName, RegionName, ServiceName};

/// Monotonic revision of a configuration entry, given by the platform store.
pub type Revision = u64;

/// Priority of a customer's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityLevel {
    /// A person waits for the answer.
    Interactive,
    /// Ordinary work.
    Standard,
    /// Work that can wait.
    Batch,
}

/// Regions that may process and store a customer's data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidencyRule {
    /// Region preferred for the customer.
    pub home: RegionName,
    /// All allowed regions, the home included.
    pub allowed: BTreeSet<RegionName>,
}

impl ResidencyRule {
    /// Whether data may be processed or stored in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.allowed.contains(region)
    }
}

/// Limits over all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitTerms {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Prompt and answer tokens per second.
    pub tokens_per_s: f64,
    /// Requests in flight.
    pub concurrent: u32,
    /// Time from acceptance to the end of the answer.
    pub deadline: Duration,
}

/// Call of a plain service that a contract allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path below the service, matched as a prefix of whole segments.
    pub path: String,
    /// Whether the call is idempotent.
    pub repeatable: bool,
}

/// What a customer prefers where latency and cost conflict.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RoutingPreference {
    /// Wait in another region's favour needed before work is sent away.
    pub send_away_after: Duration,
}

/// Terms of one contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractTerms {
    /// Customer that holds the contract.
    pub customer: CustomerId,
    /// Member whose share the customer uses.
    pub member: MemberId,
    /// Digests of the customer's bearer keys.
    pub keys: Vec<Digest>,
    /// Where data may be processed and stored.
    pub residency: ResidencyRule,
    /// Limits over all entry VMs.
    pub limits: LimitTerms,
    /// Priority of requests.
    pub priority: PriorityLevel,
    /// Weight among the member's customers.
    pub weight: u32,
    /// Models that may be used.
    pub models: BTreeSet<ModelName>,
    /// Plain services that may be used.
    pub services: BTreeMap<ServiceName, Vec<ServiceCall>>,
    /// Latency against cost.
    pub preference: RoutingPreference,
}

impl ContractTerms {
    /// Checks the rules that the schema cannot express.
    pub fn check(&self) -> Result<()> {
        let fail = |field, reason: String| {
            Err(Error::InvalidContract {
                customer: self.customer.to_string(),
                field,
                reason,
            })
        };
        if !self.residency.allows(&self.residency.home) {
            return fail("residency.home", "must be one of residency.allowed".into());
        }
        if self.weight == 0 {
            return fail("weight", "must be at least 1".into());
        }
        let limits = &self.limits;
        if !(limits.requests_per_s > 0.0 && limits.tokens_per_s > 0.0 && limits.concurrent > 0) {
            return fail("limits", "every limit must be above 0".into());
        }
        if limits.deadline.is_zero() {
            return fail("limits.deadline_ms", "must be at least 1".into());
        }
        Ok(())
    }

    /// Whether a call to a plain service is allowed, and whether it is idempotent.
    pub fn service_call(&self, service: &str, method: &str, path: &str) -> Option<&ServiceCall> {
        let (_, calls) = self
            .services
            .iter()
            .find(|(name, _)| name.as_str() == service)?;
        calls
            .iter()
            .filter(|call| call.method == method && has_path_prefix(path, &call.path))
            .max_by_key(|call| call.path.len())
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
