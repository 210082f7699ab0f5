//! Fourth filter: limits of the contract at this node.
//!
//! Each node admits requests under its own part of a contract, so the limits
//! hold over all nodes together without a message between them.

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

struct DeskState {
    gate: AdmissionGate,
    table: AllotmentTable,
    known: HashMap<CustomerId, Revision>,
    layout: Option<NodeLayout>,
    applied: Option<Revision>,
}

/// Admits requests under the node's part of each contract.
pub struct AdmissionDesk {
    settings: NodeSettings,
    clock: NodeClock,
    state: Mutex<DeskState>,
}

impl AdmissionDesk {
    /// Desk of a node.
    pub fn new(settings: &NodeSettings, clock: NodeClock) -> Self {
        // No loans are made, so no peer can have borrowed from an earlier process.
        let peers = BTreeSet::new();
        let table = AllotmentTable::new(settings.vm.clone(), clock.unix_ms(), peers, clock.now());
        Self {
            settings: settings.clone(),
            clock,
            state: Mutex::new(DeskState {
                gate: AdmissionGate::default(),
                table,
                known: HashMap::new(),
                layout: None,
                applied: None,
            }),
        }
    }

    /// Admits a request or refuses it with the limit that was hit.
    pub fn admit(
        self: &Arc<Self>,
        catalog: &ServingCatalog,
        work: &PendingWork,
    ) -> Result<AdmissionTicket, Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.applied != Some(catalog.revision()) {
            self.apply(&mut state, catalog);
        }
        let request = AdmissionRequest {
            tokens: work.size.total(),
            deadline: self.clock.moment(work.deadline),
            expected_duration: Duration::ZERO,
        };
        let DeskState { gate, table, .. } = &mut *state;
        let permit = gate
            .admit(table, &work.entry.terms.customer, &request, now)
            .map_err(refuse_limit)?;
        Ok(AdmissionTicket {
            desk: self.clone(),
            permit: Some(permit),
            tokens: work.size.total(),
        })
    }

    /// Widens shares to revisions that every data centre has in force.
    pub fn accept(&self, revision: Revision) {
        let mut state = self.lock();
        let DeskState { table, known, .. } = &mut *state;
        for (customer, known) in known.iter().filter(|(_, known)| **known <= revision) {
            table.accept(customer, *known);
        }
    }

    fn apply(&self, state: &mut DeskState, catalog: &ServingCatalog) {
        let now = self.clock.now();
        let layout = catalog
            .layout()
            .and_then(|document| NodeLayout::from_document(document, &self.settings.vm).ok())
            .unwrap_or_else(|| NodeLayout::from_settings(&self.settings));
        let moved = state.layout.as_ref() != Some(&layout);
        let centre = &self.settings.data_centre.name;
        for entry in catalog.contracts() {
            let terms = &entry.terms;
            let known = state.known.get(&terms.customer).copied();
            // A changed layout changes every share, under a revision of its own.
            let revision = if moved {
                catalog.revision()
            } else {
                entry.revision
            };
            if !moved && known.is_some_and(|known| known >= revision) {
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
            state.table.stage(&terms.customer, revision, share);
            if known.is_none() {
                state.table.accept(&terms.customer, revision);
            }
            state.known.insert(terms.customer.clone(), revision);
        }
        let ended: Vec<CustomerId> = state
            .known
            .keys()
            .filter(|customer| catalog.contract_of(customer.as_str()).is_none())
            .cloned()
            .collect();
        for customer in ended {
            state.known.remove(&customer);
            state.table.remove(&customer, now);
            state.gate.remove(&customer);
        }
        state.layout = Some(layout);
        state.applied = Some(catalog.revision());
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Admission of one request, ended when dropped.
pub struct AdmissionTicket {
    desk: Arc<AdmissionDesk>,
    permit: Option<AdmissionPermit>,
    tokens: u32,
}

impl AdmissionTicket {
    /// Sets the tokens that the request really took.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let now = self.desk.clock.now();
            self.desk.lock().gate.finish(permit, self.tokens, now);
        }
    }
}

fn refuse_limit(refusal: LimitRefusal) -> Refusal {
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
