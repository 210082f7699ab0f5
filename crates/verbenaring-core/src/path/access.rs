//! Whose call it is, and where it may run.
//!
//! The VM that has the caller finds the tenant by the caller's key and tells its name to
//! the VM to which it forwards the call. The key goes no further.

use std::sync::Arc;

use hyper::{HeaderMap, StatusCode};
use verbenaring_policy::dispatch::call::{CallRoute, RouteTable};
use verbenaring_policy::dispatch::tenant::{Tenant, common_residency};
use verbenaring_policy::id::RegionName;

use super::call::CallOrigin;
use super::refusal::CallRefusal;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Outcome of the check of a call's key.
#[derive(Debug)]
pub(super) struct CallAccess {
    /// Tenant of the call; `None` if it belongs to none, or to one that this VM does not
    /// know yet.
    pub(super) tenant: Option<Arc<Tenant>>,
    /// Regions in which the call may run; all if empty.
    pub(super) residency: Vec<RegionName>,
    /// Whether this VM tells the server whose call it is.
    names_tenant: bool,
}

impl CallAccess {
    /// Replaces the caller's key by the name of the tenant.
    pub(super) fn write_headers<P: WireProtocol>(&self, headers: &mut HeaderMap) {
        if self.names_tenant {
            P::write_tenant(headers, self.tenant.as_ref().map(|tenant| &tenant.name));
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    /// Finds the tenant of a call. Refuses a caller whose key no tenant holds, unless the
    /// route is public, and a call that may run nowhere.
    pub(super) fn check_access(
        &self,
        routes: &RouteTable,
        route: &CallRoute,
        headers: &HeaderMap,
        origin: CallOrigin,
    ) -> Result<CallAccess, CallRefusal> {
        let tenants = routes.tenants();
        if tenants.is_empty() {
            return Ok(CallAccess {
                tenant: None,
                residency: route.residency.clone(),
                names_tenant: false,
            });
        }
        let identity = P::read_identity(headers);
        // A VM of a build without tenants forwards the key itself.
        let checks_key = origin == CallOrigin::Caller || identity.states_key;
        let tenant = match checks_key {
            true => identity.key.and_then(|key| tenants.holder(key)),
            false => identity.tenant.and_then(|name| tenants.named(&name)),
        };
        if tenant.is_none() && checks_key && !route.public {
            return Err(match origin {
                CallOrigin::Caller => CallRefusal::not_run(StatusCode::UNAUTHORIZED, "unknown_key"),
                // The VM that forwarded the call has checked nothing, and this one may not
                // know the newest keys.
                CallOrigin::Vm => {
                    CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "unknown_key")
                }
            });
        }
        let homes = tenant.map_or(&[][..], |tenant| &tenant.residency);
        let residency = common_residency(&route.residency, homes).ok_or_else(|| {
            CallRefusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_common_region")
        })?;
        Ok(CallAccess {
            tenant: tenant.cloned(),
            residency,
            names_tenant: checks_key,
        })
    }
}
