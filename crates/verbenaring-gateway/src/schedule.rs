//! Fifth filter: decides in which order admitted requests are sent.
//!
//! Each model has a fair queue. A node's queue has twice its equal part of the
//! slots in the data centre: with exactly its part, a node with more callers
//! than its peers would leave slots idle. Engines queue the excess by priority.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

use hyper::StatusCode;
use tokio::sync::oneshot;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::{CustomerId, ModelName, ServerId};
use verbenaring_policy::scheduler::{
    DropReason, EntryKey, FairQueue, QueueRequest, QueueSettings, RunKey,
};

use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::config::NodeSettings;
use crate::layout::NodeLayout;
use crate::refusal::Refusal;
use crate::work::{PendingWork, WorkTarget};

/// Slots of a node's queue, as a multiple of its equal part of the data centre's
/// slots.
const SLOT_FACTOR: usize = 2;
/// Share of the slots, relative to other members, of a member that the layout
/// does not name.
const DEFAULT_SHARE: u32 = 1;

type SlotGrant = Result<SlotGuard, DropReason>;
type GrantQueue = FairQueue<oneshot::Sender<SlotGrant>>;

#[derive(Default)]
struct QueueState {
    queues: HashMap<ModelName, GrantQueue>,
    customers: HashSet<CustomerId>,
    applied: Option<(Revision, QueueCapacity)>,
}

/// What a node's part of the slots in its data centre depends on beside the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueCapacity {
    /// Live entry VMs of the data centre.
    pub nodes: usize,
    /// Engines that get no work because they have failed; their slots do not count.
    pub unused: Vec<ServerId>,
}

/// Fair queues of a node, one per model.
pub struct RequestQueues {
    settings: NodeSettings,
    clock: NodeClock,
    state: Mutex<QueueState>,
}

impl RequestQueues {
    /// Creates the queues; they are filled from the catalog on first use.
    pub fn new(settings: &NodeSettings, clock: NodeClock) -> Self {
        Self {
            settings: settings.clone(),
            clock,
            state: Mutex::default(),
        }
    }

    /// Waits until a slot is free for the request and takes it.
    ///
    /// Returns `None` for a plain service and for a model without an engine here,
    /// which have no queue.
    pub async fn wait_for_slot(
        self: &Arc<Self>,
        catalog: &ServingCatalog,
        capacity: QueueCapacity,
        work: &PendingWork,
    ) -> Result<Option<SlotGuard>, Refusal> {
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
            self.apply_catalog(&mut state, catalog, capacity);
            let Some(queue) = state.queues.get_mut(model) else {
                return Ok(None);
            };
            let now = self.clock.now();
            let entry = queue
                .push(&work.entry.terms.customer, &request, reply, now)
                .map_err(|dropped| drop_refusal(dropped.reason))?;
            let entry = QueuedEntry {
                queues: self.clone(),
                model: model.clone(),
                entry,
            };
            grant_slots(self, model, queue);
            entry
        };
        let granted = tokio::time::timeout_at(work.deadline, grant).await;
        match granted {
            Ok(Ok(Ok(mut guard))) => {
                guard.tokens = work.size.total();
                Ok(Some(guard))
            }
            Ok(Ok(Err(reason))) => Err(drop_refusal(reason)),
            Ok(Err(_)) | Err(_) => {
                drop(entry);
                Err(drop_refusal(DropReason::Late))
            }
        }
    }

    /// Number of requests that wait at this node for a model.
    pub fn queued(&self, model: &ModelName) -> usize {
        self.lock().queues.get(model).map_or(0, FairQueue::queued)
    }

    fn apply_catalog(
        self: &Arc<Self>,
        state: &mut QueueState,
        catalog: &ServingCatalog,
        capacity: QueueCapacity,
    ) {
        let nodes = capacity.nodes;
        let version = Some((catalog.revision(), capacity));
        if state.applied == version {
            return;
        }
        let layout = catalog
            .layout()
            .and_then(|document| NodeLayout::from_document(document, &self.settings.vm).ok());
        let unused = version
            .as_ref()
            .map_or(&[][..], |(_, capacity)| &capacity.unused);
        let slots = local_slots(catalog, &self.settings, unused);
        state
            .queues
            .retain(|model, queue| slots.contains_key(model) || queue.running() > 0);
        for (model, centre_slots) in slots {
            let node_slots = (SLOT_FACTOR * centre_slots)
                .div_ceil(nodes.max(1))
                .min(centre_slots)
                .max(1);
            let settings = QueueSettings::for_slots(node_slots);
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
            grant_slots(self, &model, queue);
        }
        state.customers = catalog
            .contracts()
            .map(|entry| entry.terms.customer.clone())
            .collect();
        state.applied = version;
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Slots of the engines in this data centre, by model; leaving engines are left out, and the
/// slots of those in `unused`.
fn local_slots(
    catalog: &ServingCatalog,
    settings: &NodeSettings,
    unused: &[ServerId],
) -> HashMap<ModelName, usize> {
    let mut slots = HashMap::new();
    for terms in catalog.servers() {
        let is_here = terms.data_centre == settings.data_centre;
        if is_here && !terms.leaving {
            for model in &terms.models {
                let slots = slots.entry(model.clone()).or_insert(0);
                if !unused.contains(&terms.server) {
                    *slots += terms.slots as usize;
                }
            }
        }
    }
    slots
}

/// Gives free slots to queued requests, and dropped requests the reason.
fn grant_slots(queues: &Arc<RequestQueues>, model: &ModelName, queue: &mut GrantQueue) {
    let now = queues.clock.now();
    while let Some(dispatch) = queue.next(now) {
        let guard = SlotGuard {
            queues: queues.clone(),
            model: model.clone(),
            key: Some(dispatch.key),
            tokens: 0,
        };
        if let Err(Ok(mut guard)) = dispatch.item.send(Ok(guard)) {
            // The queue is locked here, so the guard must not free its slot itself.
            guard.key = None;
            queue.finish(dispatch.key, 0);
        }
    }
    for dropped in queue.take_dropped() {
        // Fails if the caller has gone away; then nobody needs the reason.
        let _ = dropped.item.send(Err(dropped.reason));
    }
}

/// Position in a queue; dropping it takes the request out of the queue.
struct QueuedEntry {
    queues: Arc<RequestQueues>,
    model: ModelName,
    entry: EntryKey,
}

impl Drop for QueuedEntry {
    fn drop(&mut self) {
        let mut state = self.queues.lock();
        if let Some(queue) = state.queues.get_mut(&self.model) {
            queue.cancel(self.entry);
        }
    }
}

/// Slot of a running request; dropping it frees the slot.
pub struct SlotGuard {
    queues: Arc<RequestQueues>,
    model: ModelName,
    key: Option<RunKey>,
    /// Prompt and answer tokens to charge when the slot is freed.
    tokens: u32,
}

impl SlotGuard {
    /// Reports the tokens processed so far, prompt included.
    pub fn progress(&mut self, tokens: u32) {
        self.tokens = tokens;
        let mut state = self.queues.lock();
        if let (Some(queue), Some(key)) = (state.queues.get_mut(&self.model), self.key) {
            queue.progress(key, tokens);
        }
    }

    /// Sets the prompt and answer tokens that the request used, which replace the
    /// estimate.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let Some(key) = self.key.take() else { return };
        let mut state = self.queues.lock();
        if let Some(queue) = state.queues.get_mut(&self.model) {
            queue.finish(key, self.tokens);
            grant_slots(&self.queues, &self.model, queue);
        }
    }
}

fn drop_refusal(reason: DropReason) -> Refusal {
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
