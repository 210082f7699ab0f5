//! Usage accounts of this node and statements of its data centre.
//!
//! Lines of customers are kept in the memory of the data centre's nodes only,
//! because the platform store stands in one region. The store gets statements
//! with totals of members and salted digests. Every epoch has a statement, so
//! create-if-absent on the epoch keeps the chain linear. A node that is lost
//! takes with it what it has not spread, at most [`SPREAD_PERIOD`] while its
//! peers answer. A data centre that is lost takes what is not yet stated: the
//! running epoch and, within the grace, the one before.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use verbenaring_policy::id::{CustomerId, DataCentre, MemberId, VmId};
use verbenaring_policy::rendezvous::rendezvous;
use verbenaring_policy::usage::{
    MemberLines, StatementChain, UsageAccount, UsageCounters, UsageEntries, UsageStatement,
};
use verbenaring_protocol::control::UsageUpdate;
use verbenaring_protocol::operator::{CustomerUsage, MemberShare, UsageReport};

use crate::clock::NodeClock;
use crate::config::NodeSettings;
use crate::controller::NodeCore;
use crate::error::StoreError;
use crate::links::ControlLinks;
use crate::store::{
    PlatformStore, StoreResult, StoredValue, SwapCondition, SwapOutcome, SwapRequest,
};

/// Length of an epoch; one statement is written per epoch.
pub const EPOCH: Duration = Duration::from_secs(60);
/// Time between two updates to the nodes of the data centre.
pub const SPREAD_PERIOD: Duration = Duration::from_secs(1);
/// Time after an epoch in which its last counters spread before it is stated.
const GRACE: Duration = Duration::from_secs(10);
/// Nodes that write statements, the second one [`GRACE`] after the first.
const WRITERS: usize = 2;
/// Epochs whose customers' lines are kept.
const KEPT_EPOCHS: u64 = 60;
/// Prefix of the statements in the platform store.
pub const USAGE_PREFIX: &str = "usage/";
/// Key below the data centre that holds the first epoch of its chain.
const FIRST_EPOCH: &str = "first";

struct LedgerState {
    account: UsageAccount,
    chain: StatementChain,
    /// Statement whose write was not answered yet.
    pending: Option<PendingStatement>,
    /// Lines of the own statements that are kept, by epoch.
    lines: BTreeMap<u64, BTreeMap<MemberId, MemberLines>>,
}

struct PendingStatement {
    statement: UsageStatement,
    lines: BTreeMap<MemberId, MemberLines>,
    /// Chain after the statement.
    chain: StatementChain,
}

/// Usage known to this node.
pub struct UsageLedger {
    clock: NodeClock,
    state: Mutex<LedgerState>,
}

impl UsageLedger {
    /// Empty ledger. The time of the start is the incarnation of the counters.
    pub fn new(settings: &NodeSettings, clock: NodeClock) -> Self {
        let account = UsageAccount::new(settings.vm.clone(), clock.unix_ms());
        Self {
            clock,
            state: Mutex::new(LedgerState {
                account,
                chain: StatementChain::new(settings.data_centre.clone()),
                pending: None,
                lines: BTreeMap::new(),
            }),
        }
    }

    /// Adds work that ended at this node.
    pub fn record(&self, member: &MemberId, customer: &CustomerId, amount: &UsageCounters) {
        let epoch = self.epoch();
        self.lock().account.record(epoch, member, customer, amount);
    }

    /// Takes over counters and a statement of another node.
    pub fn receive(&self, update: &UsageUpdate) {
        let mut state = self.lock();
        state.account.merge(&update.entries);
        if let Some(statement) = &update.statement {
            state.adopt(statement);
        }
    }

    /// All counters known here.
    pub fn entries(&self) -> UsageEntries {
        self.lock().account.entries().clone()
    }

    fn epoch(&self) -> u64 {
        self.clock.unix_ms() / EPOCH.as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl LedgerState {
    /// Takes over a statement that is in the store.
    fn adopt(&mut self, statement: &UsageStatement) {
        if self.chain.epoch() >= Some(statement.epoch) {
            return;
        }
        let written = self
            .pending
            .take_if(|pending| pending.statement == *statement);
        let adopted = match written {
            Some(pending) => {
                self.chain = pending.chain;
                self.lines.insert(statement.epoch, pending.lines);
                Ok(())
            }
            None => self.chain.adopt(statement),
        };
        if let Err(fault) = adopted {
            // A gap is closed by the writer, which reads the whole chain.
            log::debug!("usage statement is not adopted: {fault}");
        }
        let kept = statement.epoch.saturating_sub(KEPT_EPOCHS);
        self.account.prune_before(kept);
        self.chain.prune_before(kept);
        self.lines.retain(|epoch, _| *epoch >= kept);
    }
}

/// Spreads counters and writes statements.
pub struct UsageDriver<S> {
    core: Arc<NodeCore<S>>,
    store: Arc<S>,
    /// Counters that a node of the data centre has not confirmed.
    unsent: HashMap<SocketAddr, UsageEntries>,
}

impl<S: PlatformStore> UsageDriver<S> {
    /// Driver of the ledger of `core`.
    pub fn new(core: &Arc<NodeCore<S>>, store: &Arc<S>) -> Self {
        Self {
            core: core.clone(),
            store: store.clone(),
            unsent: HashMap::new(),
        }
    }

    /// Runs until `shutdown`, then spreads what is left.
    pub async fn run(mut self, shutdown: CancellationToken) {
        let mut ticks = tokio::time::interval(SPREAD_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let work = async {
            loop {
                ticks.tick().await;
                self.spread(None).await;
                if let Some(epoch) = self.due_epoch()
                    && let Err(error) = self.flush(epoch).await
                {
                    log::warn!("usage is not stated yet: {error}");
                }
            }
        };
        shutdown.run_until_cancelled(work).await;
        self.spread(None).await;
    }

    /// Sends changes to every node of the data centre, and all counters to a
    /// node that appears; what a node did not confirm is sent again.
    async fn spread(&mut self, statement: Option<UsageStatement>) {
        let (changes, all) = {
            let mut state = self.core.observers.usage.lock();
            (
                state.account.take_changes(),
                state.account.entries().clone(),
            )
        };
        let nodes = self.core.cluster.nodes.load_full();
        let mut unsent = std::mem::take(&mut self.unsent);
        let sends = nodes.local.iter().map(|node| {
            let address = node.control_address;
            let entries = match unsent.remove(&address) {
                Some(mut entries) => {
                    entries.merge(&changes);
                    entries
                }
                None => all.clone(),
            };
            let statement = statement.clone();
            let links = self.core.links.clone();
            async move {
                let left = send_usage(&links, address, &entries, statement).await;
                (address, left)
            }
        });
        self.unsent = futures::future::join_all(sends).await.into_iter().collect();
    }

    /// Newest epoch that this node is to state now.
    fn due_epoch(&self) -> Option<u64> {
        let nodes = self.core.cluster.nodes.load();
        let own = &self.core.settings.vm;
        let vms = nodes.local.iter().map(|node| &node.vm).chain([own]);
        let writers: Vec<&VmId> = rendezvous("usage statement", vms, WRITERS);
        let rank = writers.iter().position(|vm| *vm == own)? as u32;
        let wait = GRACE * (rank + 1);
        let closed = Duration::from_millis(self.core.clock.unix_ms()).checked_sub(wait)?;
        let epoch = (closed.as_secs() / EPOCH.as_secs()).checked_sub(1)?;
        let stated = self.core.observers.usage.lock().chain.epoch();
        // Without a configuration the members to be named are unknown.
        let known = !members(&self.core).is_empty();
        (known && stated < Some(epoch)).then_some(epoch)
    }

    /// States every epoch up to `last` that has no statement.
    async fn flush(&mut self, last: u64) -> StoreResult<()> {
        let ledger = self.core.observers.usage.clone();
        for statement in self.read_statements().await? {
            ledger.lock().adopt(&statement);
        }
        let stated = ledger.lock().chain.epoch();
        let mut next = match stated {
            Some(epoch) => epoch + 1,
            None => self.first_epoch(last).await?,
        };
        while next <= last {
            let statement = self.write(next).await?;
            ledger.lock().adopt(&statement);
            // Another writer's statements may have arrived in the meantime.
            let stated = ledger.lock().chain.epoch();
            if stated < Some(next) {
                log::warn!("usage statement of epoch {next} does not follow the chain");
                break;
            }
            next = stated.unwrap_or(next) + 1;
            self.spread(Some(statement)).await;
        }
        Ok(())
    }

    async fn read_statements(&self) -> StoreResult<Vec<UsageStatement>> {
        if self.core.observers.usage.lock().chain.epoch().is_some() {
            return Ok(Vec::new());
        }
        read_statements(&*self.store, &self.core.settings.data_centre).await
    }

    /// First epoch of the chain, the same for all writers.
    async fn first_epoch(&self, proposed: u64) -> StoreResult<u64> {
        let key = format!("{}{FIRST_EPOCH}", prefix(&self.core.settings.data_centre));
        let found = self.create(key, proposed.to_string().into_bytes()).await?;
        let found = found.and_then(|value| String::from_utf8(value.value).ok()?.parse().ok());
        Ok(found.unwrap_or(proposed))
    }

    /// Writes the statement of `epoch` and returns the one that is stored.
    async fn write(&self, epoch: u64) -> StoreResult<UsageStatement> {
        let key = format!("{}{epoch:012}", prefix(&self.core.settings.data_centre));
        let Some(statement) = self.seal(epoch) else {
            let found = self.store.get(&key).await?;
            let found = found.as_ref().map(read_statement);
            return found.unwrap_or_else(|| Err(unreadable(&key)));
        };
        let value = serde_json::to_vec(&statement).expect("a statement is JSON");
        match self.create(key, value).await? {
            Some(found) => read_statement(&found),
            None => Ok(statement),
        }
    }

    /// Statement of `epoch`, the same one until it is settled; none if another
    /// writer's has been adopted.
    fn seal(&self, epoch: u64) -> Option<UsageStatement> {
        let members = members(&self.core);
        let mut state = self.core.observers.usage.lock();
        if let Some(pending) = &state.pending
            && pending.statement.epoch == epoch
        {
            return Some(pending.statement.clone());
        }
        let mut chain = state.chain.clone();
        let entries = state.account.entries();
        let (statement, lines) = chain
            .issue(entries, &members, epoch, &rand::random())
            .ok()?;
        state.pending = Some(PendingStatement {
            statement: statement.clone(),
            lines,
            chain,
        });
        Some(statement)
    }

    /// Creates a key; returns the value that was there before.
    async fn create(&self, key: String, value: Vec<u8>) -> StoreResult<Option<StoredValue>> {
        let request = SwapRequest {
            key,
            condition: SwapCondition::Absent,
            value: Some(value),
            lease: 0,
        };
        let outcome = self.store.swap(&[request]).await?.pop();
        Ok(match outcome {
            Some(SwapOutcome::Conflict(found)) => found,
            _ => None,
        })
    }
}

/// Sends counters by epoch, which keeps each message within the frame limit,
/// then the statement; returns what was not confirmed.
async fn send_usage(
    links: &ControlLinks,
    address: SocketAddr,
    entries: &UsageEntries,
    statement: Option<UsageStatement>,
) -> UsageEntries {
    let mut left = UsageEntries::default();
    let parts = entries.split_by_epoch().into_iter();
    let mut updates: Vec<UsageUpdate> = parts
        .map(|entries| UsageUpdate {
            entries,
            statement: None,
        })
        .collect();
    updates.extend(statement.map(|statement| UsageUpdate {
        entries: UsageEntries::default(),
        statement: Some(statement),
    }));
    let mut reachable = true;
    for update in updates {
        let sent = update.clone();
        let call = links.call(address, |client, context| async move {
            client.usage(context, sent).await
        });
        reachable = reachable && call.await.is_some();
        if !reachable {
            left.merge(&update.entries);
        }
    }
    left
}

/// All members that a statement names, those without usage included.
fn members<S>(core: &NodeCore<S>) -> BTreeSet<MemberId> {
    let catalog = core.catalog.load();
    let contracts = catalog.contracts().map(|entry| entry.terms.member.clone());
    let layout = catalog.layout().into_iter();
    let named = layout.flat_map(|layout| &layout.members);
    let named = named.filter_map(|member| MemberId::new(&member.member).ok());
    contracts.chain(named).collect()
}

/// Usage in the data centre of this node. The lines of customers come from
/// memory and do not leave the data centre otherwise.
pub async fn usage_report<S: PlatformStore>(core: &NodeCore<S>, store: &S) -> UsageReport {
    let centre = &core.settings.data_centre;
    let (statements, store_fault) = match read_statements(store, centre).await {
        Ok(statements) => (statements, None),
        Err(error) => (Vec::new(), Some(error.to_string())),
    };
    let lines = core.observers.usage.lock().lines.clone();
    let customers = core.observers.usage.entries().totals_by_customer();
    let line = |((member, customer), usage)| CustomerUsage {
        member,
        customer,
        usage,
    };
    let catalog = core.catalog.load();
    let members = catalog.layout().into_iter().flat_map(|all| &all.members);
    let shares = members.filter_map(|document| {
        Some(MemberShare {
            member: MemberId::new(&document.member).ok()?,
            share: document.share.get(),
        })
    });
    UsageReport {
        centre: centre.clone(),
        customers: customers.into_iter().map(line).collect(),
        shares: shares.collect(),
        statements,
        lines,
        store_fault,
    }
}

/// Statements of a data centre in the platform store, oldest first.
async fn read_statements<S: PlatformStore>(
    store: &S,
    centre: &DataCentre,
) -> StoreResult<Vec<UsageStatement>> {
    let answer = store.range(&prefix(centre)).await?;
    let is_statement = |value: &&StoredValue| !value.key.ends_with(FIRST_EPOCH);
    let values = answer.values.iter().filter(is_statement);
    values.map(read_statement).collect()
}

fn read_statement(value: &StoredValue) -> StoreResult<UsageStatement> {
    serde_json::from_slice(&value.value).map_err(|_| unreadable(&value.key))
}

fn unreadable(key: &str) -> StoreError {
    StoreError::Refused(format!("{key} is not a usage statement"))
}

fn prefix(centre: &DataCentre) -> String {
    format!("{USAGE_PREFIX}{}/", centre.name)
}
