//! Contracts, the only source of a customer's limits, priority, residency and
//! share of capacity.
//!
//! The terms of a contract are validated once, when they enter the system. An
//! invalid contract never replaces a valid one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::id::{CustomerId, Digest, MemberId, ModelName, RegionName, ServiceName};

/// Revision of a configuration entry; the platform store assigns increasing ones.
pub type Revision = u64;

/// Priority of a customer's requests, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityLevel {
    /// Requests whose answer a person waits for.
    Interactive,
    /// Requests without special needs.
    Standard,
    /// Requests that can be delayed.
    Batch,
}

/// Regions that may process and store a customer's data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidencyRule {
    /// Region where the customer's data is processed and stored by preference.
    pub home: RegionName,
    /// All regions where that is allowed, the home region included.
    pub allowed: BTreeSet<RegionName>,
}

impl ResidencyRule {
    /// Whether data may be processed or stored in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.allowed.contains(region)
    }
}

/// Limits of a customer over all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitTerms {
    /// Largest rate of requests per second.
    pub requests_per_s: f64,
    /// Largest rate of prompt and answer tokens per second.
    pub tokens_per_s: f64,
    /// Largest number of requests in flight.
    pub concurrent: u32,
    /// Longest time from acceptance of a request to the end of its answer.
    pub deadline: Duration,
}

/// Kind of call to a plain service (one that is not a model) that a contract
/// allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// HTTP method that the call must have.
    pub method: String,
    /// Path prefix below the service, matched by whole segments.
    pub path: String,
    /// Whether the call is idempotent and may therefore be repeated.
    pub repeatable: bool,
}

/// Preference of a customer where latency and cost conflict.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RoutingPreference {
    /// Waiting time that another region must save before a request is sent there,
    /// beyond the round trip and the cold cache penalty. It is multiplied by the
    /// relative cost of that region.
    pub send_away_after: Duration,
}

/// Terms of the contract of one customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractTerms {
    /// Customer that holds the contract.
    pub customer: CustomerId,
    /// Member of the consortium whose share of capacity the customer uses.
    pub member: MemberId,
    /// Digests of the API keys (bearer tokens) that identify the customer.
    pub keys: Vec<Digest>,
    /// Regions where the customer's data may be processed and stored.
    pub residency: ResidencyRule,
    /// Limits over all entry VMs together.
    pub limits: LimitTerms,
    /// Priority of the customer's requests.
    pub priority: PriorityLevel,
    /// Weight among the customers of the member, at least 1.
    pub weight: u32,
    /// Models that the customer may use.
    pub models: BTreeSet<ModelName>,
    /// Plain services that the customer may use, with the allowed calls.
    pub services: BTreeMap<ServiceName, Vec<ServiceCall>>,
    /// Preference between latency and cost.
    pub preference: RoutingPreference,
}

impl ContractTerms {
    /// Checks the rules that the JSON schema cannot express. The error names the
    /// first field that breaks one.
    pub fn check(&self) -> Result<()> {
        let invalid = |field, reason: String| {
            Err(Error::InvalidContract {
                customer: self.customer.to_string(),
                field,
                reason,
            })
        };
        if !self.residency.allows(&self.residency.home) {
            return invalid("residency.home", "must be one of residency.allowed".into());
        }
        if self.weight == 0 {
            return invalid("weight", "must be at least 1".into());
        }
        let limits = &self.limits;
        if !(limits.requests_per_s > 0.0 && limits.tokens_per_s > 0.0 && limits.concurrent > 0) {
            return invalid("limits", "every limit must be above 0".into());
        }
        if limits.deadline.is_zero() {
            return invalid("limits.deadline_ms", "must be at least 1".into());
        }
        Ok(())
    }

    /// Returns the rule that allows a call to a plain service, or `None` if the
    /// contract does not allow it. Of several rules the longest path applies.
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

/// Whether `prefix` consists of the first segments of `path`.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
