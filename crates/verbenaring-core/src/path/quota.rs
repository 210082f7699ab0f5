//! Charges calls to the quotas of their tenants.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use verbenaring_policy::dispatch::allowance::{AllowanceCharge, QuotaExceeded};
use verbenaring_policy::dispatch::tenant::Tenant;

use super::refusal::CallRefusal;
use crate::node::FrontNode;
use crate::wire::{CallMetadata, WireProtocol};

/// Tenants whose quotas are in the metrics: those with most refusals.
const MAX_METRIC_TENANTS: usize = 32;

/// Charges of calls that have ended without having been sent, to be returned.
#[derive(Debug, Default)]
pub(crate) struct ReturnedCharges(Mutex<Vec<AllowanceCharge>>);

impl ReturnedCharges {
    fn push(&self, charge: AllowanceCharge) {
        let mut charges = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        charges.push(charge);
    }

    fn take(&self) -> Vec<AllowanceCharge> {
        let mut charges = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *charges)
    }
}

/// What a call was charged; returned when dropped unless it is kept.
#[derive(Debug)]
pub struct ChargeGuard {
    charge: Option<AllowanceCharge>,
    returned: Arc<ReturnedCharges>,
}

impl ChargeGuard {
    /// Keeps the charge: the call may have reached a server.
    pub fn keep(&mut self) {
        self.charge = None;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if let Some(charge) = self.charge {
            self.returned.push(charge);
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    /// Charges a call to the quota of its tenant; `None` if there is no quota.
    pub(super) fn charge_tenant(
        &self,
        tenant: Option<&Arc<Tenant>>,
        metadata: &CallMetadata,
    ) -> Result<Option<ChargeGuard>, CallRefusal> {
        let Some(tenant) = tenant.filter(|tenant| tenant.allowance.is_limited()) else {
            return Ok(None);
        };
        self.return_charges();
        let now = self.clock.now();
        let draw = rand::random();
        let tokens = metadata.stated_tokens;
        let charged = self.lock().allowances.charge(tenant, tokens, draw, now);
        match charged {
            Ok(charge) => Ok(charge.map(|charge| ChargeGuard {
                charge: Some(charge),
                returned: self.returned_charges.clone(),
            })),
            Err(exceeded) => Err(self.refuse_over_quota(tenant, metadata, exceeded)),
        }
    }

    fn refuse_over_quota(
        &self,
        tenant: &Tenant,
        metadata: &CallMetadata,
        exceeded: QuotaExceeded,
    ) -> CallRefusal {
        // Callers that are refused together come back apart.
        let wait: Duration = exceeded.wait.mul_f64(1.0 + rand::random::<f64>());
        if let Some(suppressed) = self.allow_log_line(true) {
            let allowance = tenant.allowance;
            log::warn!(request = metadata.attempt_id.as_str(), tenant:% = tenant.name,
                cost = allowance.cost(metadata.stated_tokens), rate = allowance.rate,
                burst = allowance.burst, level = exceeded.level, share = exceeded.share,
                suppressed_lines = suppressed; "quota of the tenant used up");
        }
        CallRefusal {
            retry_after: Some(wait),
            ..CallRefusal::not_run(StatusCode::TOO_MANY_REQUESTS, "quota")
        }
    }

    /// Returns what calls were charged that have not been sent.
    pub(crate) fn return_charges(&self) {
        let charges = self.returned_charges.take();
        if charges.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        for charge in charges {
            state.allowances.refund(charge, now);
        }
    }

    /// Shows the quotas of the tenants with most refusals in the metrics.
    pub(crate) fn show_quotas(&self) {
        self.return_charges();
        let usages = self.lock().allowances.usages(self.clock.now());
        let quotas = &self.metrics.tenant_quotas;
        quotas.reset();
        for usage in usages.iter().take(MAX_METRIC_TENANTS) {
            let values = [
                ("rate", usage.rate),
                ("spent_per_s", usage.spent),
                ("level", usage.level),
                ("share", usage.share),
                ("charged", usage.charged as f64),
                ("refused", usage.refused as f64),
            ];
            for (value, amount) in values {
                let labels = [usage.tenant.as_str(), value];
                quotas.with_label_values(&labels).set(amount);
            }
        }
    }
}
