//! Fifth filter: the order in which admitted requests are sent.
//!
//! Each model has a fair queue. A node's queue has twice its equal part of the
//! slots in the data centre: with exactly its part, a node with more callers
//! than its peers would leave slots idle. Engines queue the excess by priority.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

use hyper::StatusCode;
use tokio::sync::oneshot;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::{CustomerId, ModelName};
use verbenaring_policy::scheduler::{
    DropReason, EntryKey, FairQueue, QueueRequest, QueueSettings, RunKey,
};

use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::config::NodeSettings;
use crate::layout::NodeLayout;
use crate::refusal::Refusal;
use crate::work::{PendingWork, WorkTarget};

/// Multiple of a node's equal part of the slots that its queue may use.
const SLOT_FACTOR: usize = 2;
/// Share of a member that the layout does not name.
const DEFAULT_SHARE: u32 = 1;

type Grant = Result<RunTicket, DropReason>;
type GrantQueue = FairQueue<oneshot::Sender<Grant>>;

#[derive(Default)]
struct QueueState {
    queues: HashMap<ModelName, GrantQueue>,
    customers: HashSet<CustomerId>,
    applied: Option<(Revision, usize)>,
}

/// Fair queues of a node.
pub struct RequestQueues {
    settings: NodeSettings,
    clock: NodeClock,
    state: Mutex<QueueState>,
}

impl RequestQueues {
    /// Queues of a node.
    pub fn new(settings: &NodeSettings, clock: NodeClock) -> Self {
        Self {
            settings: settings.clone(),
            clock,
            state: Mutex::default(),
        }
    }

    /// Waits until the request may be sent.
    ///
    /// `nodes` is the number of live entry VMs of the data centre. A plain
    /// service has no queue.
    pub async fn enter(
        self: &Arc<Self>,
        catalog: &ServingCatalog,
        nodes: usize,
        work: &PendingWork,
    ) -> Result<Option<RunTicket>, Refusal> {
        let WorkTarget::Model(model) = &work.target else {
            return Ok(None);
        };
        let (reply, grant) = oneshot::channel();
        let request = QueueRequest {
            estimate: work.size,
            latest_start: self.clock.moment(work.deadline),
        };
        let entry = {
            let mut state = self.lock();
            self.apply(&mut state, catalog, nodes);
            let Some(queue) = state.queues.get_mut(model) else {
                return Ok(None);
            };
            let now = self.clock.now();
            let entry = queue
                .push(&work.entry.terms.customer, &request, reply, now)
                .map_err(|dropped| refuse_drop(dropped.reason))?;
            let entry = WaitingEntry {
                queues: self.clone(),
                model: model.clone(),
                entry,
            };
            pump(self, model, queue);
            entry
        };
        let granted = tokio::time::timeout_at(work.deadline, grant).await;
        match granted {
            Ok(Ok(Ok(mut ticket))) => {
                ticket.tokens = work.size.total();
                Ok(Some(ticket))
            }
            Ok(Ok(Err(reason))) => Err(refuse_drop(reason)),
            Ok(Err(_)) | Err(_) => {
                drop(entry);
                Err(refuse_drop(DropReason::Late))
            }
        }
    }

    /// Requests that wait at this node for a model.
    pub fn queued(&self, model: &ModelName) -> usize {
        self.lock().queues.get(model).map_or(0, FairQueue::queued)
    }

    fn apply(self: &Arc<Self>, state: &mut QueueState, catalog: &ServingCatalog, nodes: usize) {
        let version = (catalog.revision(), nodes);
        if state.applied == Some(version) {
            return;
        }
        let layout = catalog
            .layout()
            .and_then(|document| NodeLayout::from_document(document, &self.settings.vm).ok());
        let slots = local_slots(catalog, &self.settings);
        state
            .queues
            .retain(|model, queue| slots.contains_key(model) || queue.running() > 0);
        for (model, total) in slots {
            let part = (SLOT_FACTOR * total)
                .div_ceil(nodes.max(1))
                .min(total)
                .max(1);
            let settings = QueueSettings::for_slots(part);
            let queue = state
                .queues
                .entry(model.clone())
                .or_insert_with(|| FairQueue::new(settings));
            queue.set_slots(settings.slots, settings.reserved);
            for entry in catalog.contracts() {
                let terms = &entry.terms;
                let share = layout
                    .as_ref()
                    .and_then(|layout| layout.members.get(&terms.member));
                queue.set_member(&terms.member, share.copied().unwrap_or(DEFAULT_SHARE));
                queue.set_contract(&terms.customer, &terms.member, terms.weight, terms.priority);
            }
            let is_removed =
                |customer: &&CustomerId| catalog.contract_of(customer.as_str()).is_none();
            for customer in state.customers.iter().filter(is_removed) {
                queue.remove_contract(customer);
            }
            pump(self, &model, queue);
        }
        state.customers = catalog
            .contracts()
            .map(|entry| entry.terms.customer.clone())
            .collect();
        state.applied = Some(version);
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Slots of the engines in this data centre, by model.
fn local_slots(catalog: &ServingCatalog, settings: &NodeSettings) -> HashMap<ModelName, usize> {
    let mut slots = HashMap::new();
    for terms in catalog.servers() {
        if terms.data_centre == settings.data_centre && !terms.leaving {
            for model in &terms.models {
                *slots.entry(model.clone()).or_insert(0) += terms.slots as usize;
            }
        }
    }
    slots
}

/// Grants free slots and tells dropped requests.
fn pump(queues: &Arc<RequestQueues>, model: &ModelName, queue: &mut GrantQueue) {
    let now = queues.clock.now();
    while let Some(dispatch) = queue.next(now) {
        let ticket = RunTicket {
            queues: queues.clone(),
            model: model.clone(),
            run: Some(dispatch.key),
            tokens: 0,
        };
        if let Err(Ok(mut ticket)) = dispatch.item.send(Ok(ticket)) {
            // The queue is locked here, so the ticket must not free its slot itself.
            ticket.run = None;
            queue.finish(dispatch.key, 0);
        }
    }
    for dropped in queue.take_dropped() {
        // A caller that is gone does not need the reason.
        let _ = dropped.item.send(Err(dropped.reason));
    }
}

/// Place in a queue, given up when dropped.
struct WaitingEntry {
    queues: Arc<RequestQueues>,
    model: ModelName,
    entry: EntryKey,
}

impl Drop for WaitingEntry {
    fn drop(&mut self) {
        let mut state = self.queues.lock();
        if let Some(queue) = state.queues.get_mut(&self.model) {
            queue.cancel(self.entry);
        }
    }
}

/// Slot of a running request, free again when dropped.
pub struct RunTicket {
    queues: Arc<RequestQueues>,
    model: ModelName,
    run: Option<RunKey>,
    tokens: u32,
}

impl RunTicket {
    /// Reports the tokens seen so far, prompt included.
    pub fn progress(&mut self, tokens: u32) {
        self.tokens = tokens;
        let mut state = self.queues.lock();
        if let (Some(queue), Some(run)) = (state.queues.get_mut(&self.model), self.run) {
            queue.progress(run, tokens);
        }
    }

    /// Sets the tokens that the request really took.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        let Some(run) = self.run.take() else { return };
        let mut state = self.queues.lock();
        if let Some(queue) = state.queues.get_mut(&self.model) {
            queue.finish(run, self.tokens);
            pump(&self.queues, &self.model, queue);
        }
    }
}

fn refuse_drop(reason: DropReason) -> Refusal {
    let (status, code) = match reason {
        DropReason::UnknownContract | DropReason::ContractEnded => {
            (StatusCode::UNAUTHORIZED, "contract_ended")
        }
        DropReason::ContractFull | DropReason::MemberFull => {
            (StatusCode::TOO_MANY_REQUESTS, "queue_full")
        }
        DropReason::Late => (StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded"),
    };
    Refusal::not_run(status, code, reason.to_string()).with_retry_after(1)
}
