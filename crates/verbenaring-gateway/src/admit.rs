//! Fourth filter: enforces the limits of contracts at this node.
//!
//! Each node admits requests within its own share of a contract's limits, so
//! the limits hold over all nodes together without messages between them.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::StatusCode;
use verbenaring_policy::admission::{
    AdmissionGate, AdmissionPermit, AdmissionRequest, LimitKind, LimitRefusal,
};
use verbenaring_policy::allotment::AllotmentTable;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::CustomerId;

use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::config::NodeSettings;
use crate::layout::NodeLayout;
use crate::refusal::Refusal;
use crate::work::PendingWork;

struct AdmissionState {
    gate: AdmissionGate,
    allotments: AllotmentTable,
    /// Latest staged revision of each contract.
    revisions: HashMap<CustomerId, Revision>,
    layout: Option<NodeLayout>,
    /// Catalog revision that this state follows.
    applied: Option<Revision>,
}

/// Admits requests within the node's share of the limits of each contract.
pub struct AdmissionControl {
    settings: NodeSettings,
    clock: NodeClock,
    state: Mutex<AdmissionState>,
}

impl AdmissionControl {
    /// Creates the state without contracts; the first request adds them.
    pub fn new(settings: &NodeSettings, clock: NodeClock) -> Self {
        // Nodes make no loans of their shares, so no peer can have borrowed from an
        // earlier process on this VM.
        let peers = BTreeSet::new();
        let allotments =
            AllotmentTable::new(settings.vm.clone(), clock.unix_ms(), peers, clock.now());
        Self {
            settings: settings.clone(),
            clock,
            state: Mutex::new(AdmissionState {
                gate: AdmissionGate::default(),
                allotments,
                revisions: HashMap::new(),
                layout: None,
                applied: None,
            }),
        }
    }

    /// Admits a request, or refuses it and names the exhausted limit.
    pub fn admit(
        self: &Arc<Self>,
        catalog: &ServingCatalog,
        work: &PendingWork,
    ) -> Result<AdmissionGuard, Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.applied != Some(catalog.revision()) {
            self.apply_catalog(&mut state, catalog);
        }
        let request = AdmissionRequest {
            tokens: work.size.total(),
            deadline: self.clock.moment(work.deadline),
            expected_duration: Duration::ZERO,
        };
        let AdmissionState {
            gate, allotments, ..
        } = &mut *state;
        let permit = gate
            .admit(allotments, &work.entry.terms.customer, &request, now)
            .map_err(limit_refusal)?;
        Ok(AdmissionGuard {
            control: self.clone(),
            permit: Some(permit),
            tokens: work.size.total(),
        })
    }

    /// Puts staged shares up to `revision`, which every data centre has in force,
    /// fully into force.
    ///
    /// Until then, the smaller of the old and the new share is used.
    pub fn accept(&self, revision: Revision) {
        let mut state = self.lock();
        let AdmissionState {
            allotments,
            revisions,
            ..
        } = &mut *state;
        for (customer, known) in revisions.iter().filter(|(_, known)| **known <= revision) {
            allotments.accept(customer, *known);
        }
    }

    fn apply_catalog(&self, state: &mut AdmissionState, catalog: &ServingCatalog) {
        let now = self.clock.now();
        let layout = catalog
            .layout()
            .and_then(|document| NodeLayout::from_document(document, &self.settings.vm).ok())
            .unwrap_or_else(|| NodeLayout::from_settings(&self.settings));
        let layout_changed = state.layout.as_ref() != Some(&layout);
        let centre = &self.settings.data_centre.name;
        for entry in catalog.contracts() {
            let terms = &entry.terms;
            let known = state.revisions.get(&terms.customer).copied();
            // A changed layout changes every share, so all shares are staged again
            // under the revision of the catalog.
            let revision = if layout_changed {
                catalog.revision()
            } else {
                entry.revision
            };
            if !layout_changed && known.is_some_and(|known| known >= revision) {
                continue;
            }
            let share = layout.slot.map_or_else(Default::default, |slot| {
                layout.split.share(
                    &terms.customer,
                    &terms.limits,
                    &terms.residency,
                    centre,
                    slot,
                )
            });
            state.allotments.stage(&terms.customer, revision, share);
            if known.is_none() {
                state.allotments.accept(&terms.customer, revision);
            }
            state.revisions.insert(terms.customer.clone(), revision);
        }
        let ended: Vec<CustomerId> = state
            .revisions
            .keys()
            .filter(|customer| catalog.contract_of(customer.as_str()).is_none())
            .cloned()
            .collect();
        for customer in ended {
            state.revisions.remove(&customer);
            state.allotments.remove(&customer, now);
            state.gate.remove(&customer);
        }
        state.layout = Some(layout);
        state.applied = Some(catalog.revision());
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Admission of one request; dropping it ends the request for the limits.
pub struct AdmissionGuard {
    control: Arc<AdmissionControl>,
    permit: Option<AdmissionPermit>,
    /// Prompt and answer tokens to charge when the request ends.
    tokens: u32,
}

impl AdmissionGuard {
    /// Sets the prompt and answer tokens that the request used, which replace the
    /// estimate.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let now = self.control.clock.now();
            self.control.lock().gate.finish(permit, self.tokens, now);
        }
    }
}

fn limit_refusal(refusal: LimitRefusal) -> Refusal {
    let (code, message) = match refusal.limit {
        LimitKind::RequestRate => ("request_rate_limit", "the contract's requests per second"),
        LimitKind::TokenRate => ("token_rate_limit", "the contract's tokens per second"),
        LimitKind::Concurrency => ("concurrency_limit", "the contract's requests in flight"),
        LimitKind::Deadline => ("deadline_exceeded", "the contract's deadline"),
        LimitKind::NoShare => ("no_share", "this entry VM's share of the contract"),
    };
    let text = format!("{message} is used up at this entry VM");
    let seconds = u32::try_from(refusal.retry_after_s()).unwrap_or(u32::MAX);
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, code, text).with_retry_after(seconds)
}
