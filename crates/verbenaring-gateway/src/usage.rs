//! Usage accounting of this node and usage statements of its data centre.
//!
//! Usage lines of customers are kept only in the memory of the data centre's
//! nodes, because the platform store is in one region and these lines stay where
//! the customers' data may be. The store gets statements with totals of members
//! and salted digests. Every epoch has a statement, so create-if-absent on the
//! epoch keeps the chain linear.
//!
//! If a node is lost, the counters that it has not replicated are lost, at most
//! those of one [`REPLICATION_INTERVAL`] while its peers answer. If a data centre
//! is lost, the usage without a statement is lost: that of the current epoch and,
//! until `STATEMENT_DELAY` has passed, of the one before.

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

/// Accounting period; one statement is written per epoch.
pub const EPOCH_LENGTH: Duration = Duration::from_secs(60);
/// Interval at which counters are sent to the other nodes of the data centre.
pub const REPLICATION_INTERVAL: Duration = Duration::from_secs(1);
/// Delay from the end of an epoch to its statement, so that the last counters of
/// the epoch reach the writer.
const STATEMENT_DELAY: Duration = Duration::from_secs(10);
/// Nodes that write statements. The second one starts [`STATEMENT_DELAY`] later and
/// writes only what the first did not.
const MAX_STATEMENT_WRITERS: usize = 2;
/// Number of epochs whose counters and customers' lines are kept in memory.
const RETAINED_EPOCHS: u64 = 60;
/// Prefix of the statement keys in the platform store.
pub const USAGE_PREFIX: &str = "usage/";
/// Last part of the key that holds the first epoch of a data centre's chain.
const FIRST_EPOCH_KEY: &str = "first";

struct LedgerState {
    account: UsageAccount,
    chain: StatementChain,
    /// Statement that was prepared and is not known to be in the store.
    pending: Option<PendingStatement>,
    /// Customers' lines of the statements that this node wrote, by epoch.
    lines: BTreeMap<u64, BTreeMap<MemberId, MemberLines>>,
}

struct PendingStatement {
    statement: UsageStatement,
    lines: BTreeMap<MemberId, MemberLines>,
    /// Chain that includes the statement.
    chain: StatementChain,
}

/// Usage counters and statement chain that this node knows.
pub struct UsageLedger {
    clock: NodeClock,
    state: Mutex<LedgerState>,
}

impl UsageLedger {
    /// Creates an empty ledger. The current time is the incarnation of the counters,
    /// which tells them from those of an earlier run of this node.
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

    /// Adds the usage of a request that ended at this node.
    pub fn record(&self, member: &MemberId, customer: &CustomerId, amount: &UsageCounters) {
        let epoch = self.epoch();
        self.lock().account.record(epoch, member, customer, amount);
    }

    /// Merges counters and adopts the statement of another node.
    pub fn merge_update(&self, update: &UsageUpdate) {
        let mut state = self.lock();
        state.account.merge(&update.entries);
        if let Some(statement) = &update.statement {
            state.adopt(statement);
        }
    }

    /// Counters of all nodes that this node knows.
    pub fn entries(&self) -> UsageEntries {
        self.lock().account.entries().clone()
    }

    /// Current epoch, counted from the Unix epoch.
    fn epoch(&self) -> u64 {
        self.clock.unix_ms() / EPOCH_LENGTH.as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl LedgerState {
    /// Appends a statement that is in the store to the chain, and removes the data of
    /// epochs that are no longer retained.
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
        if let Err(error) = adopted {
            // A writer closes the gap, as it reads each missing statement from the store.
            log::debug!("usage statement is not adopted: {error}");
        }
        let oldest_retained = statement.epoch.saturating_sub(RETAINED_EPOCHS);
        self.account.prune_before(oldest_retained);
        self.chain.prune_before(oldest_retained);
        self.lines.retain(|epoch, _| *epoch >= oldest_retained);
    }
}

/// Replicates the counters within the data centre and writes its statements.
pub struct UsageDriver<S> {
    core: Arc<NodeCore<S>>,
    store: Arc<S>,
    /// Counters that a node has not confirmed, by its control address.
    unconfirmed: HashMap<SocketAddr, UsageEntries>,
}

impl<S: PlatformStore> UsageDriver<S> {
    /// Creates a driver for the ledger of `core` that writes statements to `store`.
    pub fn new(core: &Arc<NodeCore<S>>, store: &Arc<S>) -> Self {
        Self {
            core: core.clone(),
            store: store.clone(),
            unconfirmed: HashMap::new(),
        }
    }

    /// Runs until `shutdown`, then replicates the last counters.
    pub async fn run(mut self, shutdown: CancellationToken) {
        let mut ticks = tokio::time::interval(REPLICATION_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let work = async {
            loop {
                ticks.tick().await;
                self.replicate(None).await;
                if let Some(epoch) = self.due_epoch()
                    && let Err(error) = self.write_statements(epoch).await
                {
                    log::warn!("usage statements are not written yet: {error}");
                }
            }
        };
        shutdown.run_until_cancelled(work).await;
        self.replicate(None).await;
    }

    /// Sends the changes and `statement` to every node of the data centre.
    ///
    /// A new node gets all counters. Counters that a node did not confirm are sent
    /// again next time.
    async fn replicate(&mut self, statement: Option<UsageStatement>) {
        let (changes, all) = {
            let mut state = self.core.observers.usage.lock();
            (
                state.account.take_changes(),
                state.account.entries().clone(),
            )
        };
        let nodes = self.core.cluster.nodes.load_full();
        let mut unconfirmed = std::mem::take(&mut self.unconfirmed);
        let sends = nodes.local.iter().map(|node| {
            let address = node.control_address;
            let entries = match unconfirmed.remove(&address) {
                Some(mut entries) => {
                    entries.merge(&changes);
                    entries
                }
                None => all.clone(),
            };
            let statement = statement.clone();
            let links = self.core.links.clone();
            async move {
                let unconfirmed = send_usage(&links, address, &entries, statement).await;
                (address, unconfirmed)
            }
        });
        self.unconfirmed = futures::future::join_all(sends).await.into_iter().collect();
    }

    /// Newest epoch that needs a statement of this node now.
    fn due_epoch(&self) -> Option<u64> {
        let nodes = self.core.cluster.nodes.load();
        let own = &self.core.settings.vm;
        let vms = nodes.local.iter().map(|node| &node.vm).chain([own]);
        let writers: Vec<&VmId> = rendezvous("usage statement", vms, MAX_STATEMENT_WRITERS);
        let rank = writers.iter().position(|vm| *vm == own)? as u32;
        let delay = STATEMENT_DELAY * (rank + 1);
        let closed = Duration::from_millis(self.core.clock.unix_ms()).checked_sub(delay)?;
        let epoch = (closed.as_secs() / EPOCH_LENGTH.as_secs()).checked_sub(1)?;
        let last_stated = self.core.observers.usage.lock().chain.epoch();
        // A statement names all members; they are unknown until a configuration is
        // in force.
        let has_members = !all_members(&self.core).is_empty();
        (has_members && last_stated < Some(epoch)).then_some(epoch)
    }

    /// Writes the statements of all epochs up to `last` that have none.
    async fn write_statements(&mut self, last: u64) -> StoreResult<()> {
        let ledger = self.core.observers.usage.clone();
        for statement in self.read_missing_statements().await? {
            ledger.lock().adopt(&statement);
        }
        let last_stated = ledger.lock().chain.epoch();
        let mut next = match last_stated {
            Some(epoch) => epoch + 1,
            None => self.first_epoch(last).await?,
        };
        while next <= last {
            let statement = self.write_statement(next).await?;
            ledger.lock().adopt(&statement);
            // Statements of another writer may have been adopted in the meantime.
            let last_stated = ledger.lock().chain.epoch();
            if last_stated < Some(next) {
                log::warn!("usage statement of epoch {next} does not follow the chain");
                break;
            }
            next = last_stated.unwrap_or(next) + 1;
            self.replicate(Some(statement)).await;
        }
        Ok(())
    }

    /// Statements in the store, if this node has none yet.
    async fn read_missing_statements(&self) -> StoreResult<Vec<UsageStatement>> {
        if self.core.observers.usage.lock().chain.epoch().is_some() {
            return Ok(Vec::new());
        }
        read_statements(&*self.store, &self.core.settings.data_centre).await
    }

    /// First epoch of the chain. The first writer stores its proposal, which all
    /// writers use.
    async fn first_epoch(&self, proposed: u64) -> StoreResult<u64> {
        let key = format!(
            "{}{FIRST_EPOCH_KEY}",
            statement_prefix(&self.core.settings.data_centre)
        );
        let found = self
            .create_if_absent(key, proposed.to_string().into_bytes())
            .await?;
        let found = found.and_then(|value| String::from_utf8(value.value).ok()?.parse().ok());
        Ok(found.unwrap_or(proposed))
    }

    /// Writes the statement of `epoch` if the store has none; returns the stored one.
    async fn write_statement(&self, epoch: u64) -> StoreResult<UsageStatement> {
        let key = format!(
            "{}{epoch:012}",
            statement_prefix(&self.core.settings.data_centre)
        );
        let Some(statement) = self.prepare_statement(epoch) else {
            let found = self.store.get(&key).await?;
            let found = found.as_ref().map(read_statement);
            return found.unwrap_or_else(|| Err(unreadable_statement(&key)));
        };
        let value = serde_json::to_vec(&statement).expect("a statement is JSON");
        match self.create_if_absent(key, value).await? {
            Some(found) => read_statement(&found),
            None => Ok(statement),
        }
    }

    /// Statement of `epoch` to write; a retry gets the same one. `None` if the
    /// statement of another writer has been adopted.
    fn prepare_statement(&self, epoch: u64) -> Option<UsageStatement> {
        let members = all_members(&self.core);
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

    /// Creates a key if it does not exist; otherwise returns the value that it has.
    async fn create_if_absent(
        &self,
        key: String,
        value: Vec<u8>,
    ) -> StoreResult<Option<StoredValue>> {
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

/// Sends `entries` and then `statement` to a node; returns the unconfirmed entries.
///
/// Each message holds one epoch, which keeps it within the frame limit.
async fn send_usage(
    links: &ControlLinks,
    address: SocketAddr,
    entries: &UsageEntries,
    statement: Option<UsageStatement>,
) -> UsageEntries {
    let mut unconfirmed = UsageEntries::default();
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
            unconfirmed.merge(&update.entries);
        }
    }
    unconfirmed
}

/// All members of the configuration, with and without usage.
fn all_members<S>(core: &NodeCore<S>) -> BTreeSet<MemberId> {
    let catalog = core.catalog.load();
    let contracts = catalog.contracts().map(|entry| entry.terms.member.clone());
    let layout = catalog.layout().into_iter();
    let named = layout.flat_map(|layout| &layout.members);
    let named = named.filter_map(|member| MemberId::new(&member.member).ok());
    contracts.chain(named).collect()
}

/// Usage of the data centre of this node.
///
/// Customers' lines come from the memory of this node; this report is the only way
/// for them to leave the data centre. Statements come from the store.
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
    let answer = store.range(&statement_prefix(centre)).await?;
    let is_statement = |value: &&StoredValue| !value.key.ends_with(FIRST_EPOCH_KEY);
    let values = answer.values.iter().filter(is_statement);
    values.map(read_statement).collect()
}

fn read_statement(value: &StoredValue) -> StoreResult<UsageStatement> {
    serde_json::from_slice(&value.value).map_err(|_| unreadable_statement(&value.key))
}

fn unreadable_statement(key: &str) -> StoreError {
    StoreError::Refused(format!("{key} is not a usage statement"))
}

fn statement_prefix(centre: &DataCentre) -> String {
    format!("{USAGE_PREFIX}{}/", centre.name)
}
