//! Tests of the quotas of tenants across all VMs, under the loads and failures for which
//! the scheme is made.

mod failures;
mod fleet;
mod many_tenants;
mod use_of_quota;
