//! Usage of customers and members, and statements that members can check.
//!
//! Each process counts its own work per epoch in counters that only grow.
//! Merging takes the maximum per process, epoch and customer, so a counter
//! that arrives twice or over several paths is counted once. A restarted
//! process counts under its new incarnation.
//!
//! A statement names the totals of all members, which are no customer's data.
//! The lines of customers stay in the data centre; the statement holds only a
//! salted digest of them per member, and each member can check its own lines
//! against it. Each statement contains the digest of the one before. A member
//! that keeps the newest digest it has seen detects any later change of the
//! chain. Counters that arrive after the statement of their epoch appear in
//! the next one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, DataCentre, Digest, MemberId, VmId};

/// What was used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounters {
    /// Requests that were run.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Answer tokens.
    pub answer_tokens: u64,
    /// Engine time in microseconds.
    pub engine_micros: u64,
    /// Requests refused.
    pub refusals: u64,
    /// Bytes sent to other regions.
    pub sent_away_bytes: u64,
}

impl UsageCounters {
    /// Sum per counter.
    pub fn plus(&self, other: &UsageCounters) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Prompt and answer tokens.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    fn max(&self, other: &UsageCounters) -> Self {
        self.combine(other, u64::max)
    }

    fn minus(&self, other: &UsageCounters) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    fn combine(&self, other: &UsageCounters, operation: fn(u64, u64) -> u64) -> Self {
        Self {
            requests: operation(self.requests, other.requests),
            prompt_tokens: operation(self.prompt_tokens, other.prompt_tokens),
            answer_tokens: operation(self.answer_tokens, other.answer_tokens),
            engine_micros: operation(self.engine_micros, other.engine_micros),
            refusals: operation(self.refusals, other.refusals),
            sent_away_bytes: operation(self.sent_away_bytes, other.sent_away_bytes),
        }
    }
}

/// Process that counts, and the epoch for which it counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageWriter {
    /// Epoch of the counters.
    pub epoch: u64,
    /// VM of the process.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: u64,
}

type CustomerCounters = BTreeMap<(MemberId, CustomerId), UsageCounters>;

/// Counters by process, epoch and customer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntries {
    writers: BTreeMap<UsageWriter, CustomerCounters>,
}

impl UsageEntries {
    /// Whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.writers.is_empty()
    }

    /// Takes the maximum per counter.
    pub fn merge(&mut self, other: &UsageEntries) {
        for (writer, customers) in &other.writers {
            let own = self.writers.entry(writer.clone()).or_default();
            for (key, counters) in customers {
                let merged = own.entry(key.clone()).or_default();
                *merged = merged.max(counters);
            }
        }
    }

    /// Totals per customer over all epochs and processes.
    pub fn totals_by_customer(&self) -> CustomerCounters {
        let mut totals = CustomerCounters::new();
        for (key, counters) in self.writers.values().flatten() {
            let total = totals.entry(key.clone()).or_default();
            *total = total.plus(counters);
        }
        totals
    }

    /// Totals per member over all epochs and processes.
    pub fn totals_by_member(&self) -> BTreeMap<MemberId, UsageCounters> {
        let mut totals = BTreeMap::new();
        for ((member, _), counters) in self.writers.values().flatten() {
            let total: &mut UsageCounters = totals.entry(member.clone()).or_default();
            *total = total.plus(counters);
        }
        totals
    }

    /// Counters of epochs up to `epoch`.
    pub fn through(&self, epoch: u64) -> Self {
        let writers = self.writers.iter();
        let kept = writers.take_while(|(writer, _)| writer.epoch <= epoch);
        Self {
            writers: kept
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
        }
    }

    /// The same counters, one part per epoch.
    pub fn split_by_epoch(&self) -> Vec<UsageEntries> {
        let mut parts: BTreeMap<u64, UsageEntries> = BTreeMap::new();
        for (writer, customers) in &self.writers {
            let part = parts.entry(writer.epoch).or_default();
            part.writers.insert(writer.clone(), customers.clone());
        }
        parts.into_values().collect()
    }

    // What is in these entries beyond `stated`.
    fn beyond(&self, stated: &UsageEntries) -> Self {
        let mut rest = self.clone();
        for (writer, customers) in &mut rest.writers {
            let Some(known) = stated.writers.get(writer) else {
                continue;
            };
            for (key, counters) in customers {
                *counters = counters.minus(known.get(key).unwrap_or(&UsageCounters::default()));
            }
        }
        rest
    }

    fn prune_before(&mut self, epoch: u64) {
        self.writers.retain(|writer, _| writer.epoch >= epoch);
    }
}

/// Usage known to one process: its own and that of its peers.
#[derive(Debug)]
pub struct UsageAccount {
    vm: VmId,
    incarnation: u64,
    entries: UsageEntries,
    changed: BTreeSet<(UsageWriter, (MemberId, CustomerId))>,
    oldest_epoch: u64,
}

impl UsageAccount {
    /// Empty account. `incarnation` is higher than that of any earlier process
    /// on this VM; otherwise new work would hide behind old counters.
    pub fn new(vm: VmId, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            entries: UsageEntries::default(),
            changed: BTreeSet::new(),
            oldest_epoch: 0,
        }
    }

    /// Adds own work. Work of a forgotten epoch counts in the oldest one kept.
    pub fn record(
        &mut self,
        epoch: u64,
        member: &MemberId,
        customer: &CustomerId,
        amount: &UsageCounters,
    ) {
        let writer = UsageWriter {
            epoch: epoch.max(self.oldest_epoch),
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        };
        let key = (member.clone(), customer.clone());
        self.changed.insert((writer.clone(), key.clone()));
        let customers = self.entries.writers.entry(writer).or_default();
        let counters = customers.entry(key).or_default();
        *counters = counters.plus(amount);
    }

    /// Own counters that changed since the last call, to be sent to peers.
    pub fn take_changes(&mut self) -> UsageEntries {
        let mut changes = UsageEntries::default();
        for (writer, key) in std::mem::take(&mut self.changed) {
            let counters = self.entries.writers.get(&writer);
            if let Some(counters) = counters.and_then(|customers| customers.get(&key)) {
                let customers = changes.writers.entry(writer).or_default();
                customers.insert(key, *counters);
            }
        }
        changes
    }

    /// Merges counters of peers; forgotten epochs stay forgotten.
    pub fn merge(&mut self, other: &UsageEntries) {
        self.entries.merge(other);
        self.entries.prune_before(self.oldest_epoch);
    }

    /// All known counters.
    pub fn entries(&self) -> &UsageEntries {
        &self.entries
    }

    /// Removes epochs before `epoch`, after their retention.
    pub fn prune_before(&mut self, epoch: u64) {
        self.oldest_epoch = self.oldest_epoch.max(epoch);
        self.entries.prune_before(self.oldest_epoch);
    }
}

/// Usage of one member in a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUsage {
    /// Total over the member's customers.
    pub total: UsageCounters,
    /// Salted digest of the lines of its customers.
    pub lines: Digest,
}

/// Lines of a member's customers; they stay where the customers' data may be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLines {
    /// Prevents others from guessing lines by their digest.
    pub salt: Digest,
    /// Usage per customer.
    pub customers: BTreeMap<CustomerId, UsageCounters>,
}

impl MemberLines {
    fn digest(&self) -> Digest {
        Digest::keyed(&self.salt.0, &encode(&self.customers))
    }

    fn usage(&self) -> MemberUsage {
        let sum = |total: UsageCounters, line: &UsageCounters| total.plus(line);
        MemberUsage {
            total: self.customers.values().fold(UsageCounters::default(), sum),
            lines: self.digest(),
        }
    }
}

/// Usage of all members in one data centre since the previous statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageStatement {
    /// Data centre.
    pub centre: DataCentre,
    /// Last epoch contained.
    pub epoch: u64,
    /// Digest of the previous statement.
    pub previous: Digest,
    /// All members, those without usage included.
    pub members: BTreeMap<MemberId, MemberUsage>,
    /// Digest of everything above.
    pub digest: Digest,
}

impl UsageStatement {
    /// Member that used most tokens.
    pub fn largest(&self) -> Option<(&MemberId, &MemberUsage)> {
        self.members
            .iter()
            .max_by_key(|(_, usage)| usage.total.tokens())
    }

    /// Whether a member's lines are those that the statement was made from.
    pub fn matches_lines(&self, member: &MemberId, lines: &MemberLines) -> bool {
        self.members.get(member) == Some(&lines.usage())
    }

    fn content_digest(&self) -> Digest {
        let content = (&self.centre, self.epoch, self.previous, &self.members);
        Digest::of(&encode(&content))
    }
}

/// Maker of the statements of one data centre.
///
/// It is stored with its last statement by create-if-absent on the epoch, so
/// that two makers cannot both extend the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementChain {
    check: ChainVerifier,
    stated: UsageEntries,
    oldest_epoch: u64,
}

impl StatementChain {
    /// Chain without statements.
    pub fn new(centre: DataCentre) -> Self {
        Self {
            check: ChainVerifier::new(centre),
            stated: UsageEntries::default(),
            oldest_epoch: 0,
        }
    }

    /// States what is known through `epoch` and not yet stated. `members` are
    /// all members of the consortium; `salt` is random.
    pub fn issue(
        &mut self,
        entries: &UsageEntries,
        members: &BTreeSet<MemberId>,
        epoch: u64,
        salt: &[u8; 32],
    ) -> Result<(UsageStatement, BTreeMap<MemberId, MemberLines>), ChainFault> {
        let mut known = entries.through(epoch);
        known.prune_before(self.oldest_epoch);
        let lines = lines_of(&known.beyond(&self.stated), members, salt);
        let usage = |(member, lines): (&MemberId, &MemberLines)| (member.clone(), lines.usage());
        let mut statement = UsageStatement {
            centre: self.check.centre.clone(),
            epoch,
            previous: self.check.head,
            members: lines.iter().map(usage).collect(),
            digest: Digest([0; 32]),
        };
        statement.digest = statement.content_digest();
        self.check.append(&statement)?;
        self.stated.merge(&known);
        Ok((statement, lines))
    }

    /// Epoch of the newest statement.
    pub fn epoch(&self) -> Option<u64> {
        self.check.epoch
    }

    /// Takes over a statement of another maker.
    ///
    /// Which counters it contains is not known here, so counters through its
    /// epoch are not stated any more: none is stated twice, and one that came
    /// late is stated by the other maker or not at all.
    pub fn adopt(&mut self, statement: &UsageStatement) -> Result<(), ChainFault> {
        self.check.append(statement)?;
        self.prune_before(statement.epoch + 1);
        Ok(())
    }

    /// Removes what was stated of epochs before `epoch`; later counters of
    /// these epochs are not stated any more.
    pub fn prune_before(&mut self, epoch: u64) {
        self.oldest_epoch = self.oldest_epoch.max(epoch);
        self.stated.prune_before(self.oldest_epoch);
    }
}

fn lines_of(
    entries: &UsageEntries,
    members: &BTreeSet<MemberId>,
    salt: &[u8; 32],
) -> BTreeMap<MemberId, MemberLines> {
    let empty = |member: &MemberId| MemberLines {
        salt: Digest::keyed(salt, member.as_str().as_bytes()),
        customers: BTreeMap::new(),
    };
    let mut lines: BTreeMap<MemberId, MemberLines> = members
        .iter()
        .map(|member| (member.clone(), empty(member)))
        .collect();
    for ((member, customer), counters) in entries.totals_by_customer() {
        if counters == UsageCounters::default() {
            continue;
        }
        let own = lines.entry(member).or_insert_with_key(empty);
        own.customers.insert(customer, counters);
    }
    lines
}

/// Fault in a chain of statements.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChainFault {
    /// The statement belongs to another data centre.
    #[error("statement of epoch {epoch} is of another data centre")]
    ForeignCentre {
        /// Epoch of the statement.
        epoch: u64,
    },
    /// The content does not match the digest.
    #[error("statement of epoch {epoch} was changed")]
    Changed {
        /// Epoch of the statement.
        epoch: u64,
    },
    /// The statement does not follow the one before it.
    #[error("statement of epoch {epoch} does not follow its predecessor")]
    Broken {
        /// Epoch of the statement.
        epoch: u64,
    },
    /// The chain does not end with the expected statement.
    #[error("the chain does not end with the expected statement")]
    WrongHead,
}

/// Incremental check of the statements of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainVerifier {
    centre: DataCentre,
    head: Digest,
    epoch: Option<u64>,
}

impl ChainVerifier {
    /// Check from the first statement.
    pub fn new(centre: DataCentre) -> Self {
        let head = Digest::of(&encode(&("usage statements", &centre)));
        Self {
            centre,
            head,
            epoch: None,
        }
    }

    /// Digest of the newest statement, to be kept and compared by members.
    pub fn head(&self) -> Digest {
        self.head
    }

    /// Checks the next statement. After a fault the check is unchanged.
    pub fn append(&mut self, statement: &UsageStatement) -> Result<(), ChainFault> {
        let epoch = statement.epoch;
        if statement.centre != self.centre {
            return Err(ChainFault::ForeignCentre { epoch });
        }
        if !statement.content_digest().matches(&statement.digest) {
            return Err(ChainFault::Changed { epoch });
        }
        let is_later = self.epoch.is_none_or(|last| epoch > last);
        if !is_later || !statement.previous.matches(&self.head) {
            return Err(ChainFault::Broken { epoch });
        }
        self.head = statement.digest;
        self.epoch = Some(epoch);
        Ok(())
    }

    /// Checks a whole chain, which must end with the digest `head`.
    pub fn check_all(
        centre: &DataCentre,
        statements: &[UsageStatement],
        head: &Digest,
    ) -> Result<(), ChainFault> {
        let mut check = Self::new(centre.clone());
        for statement in statements {
            check.append(statement)?;
        }
        if check.head.matches(head) {
            Ok(())
        } else {
            Err(ChainFault::WrongHead)
        }
    }
}

// Maps are ordered and the format has one encoding per value, so equal content
// has equal digests.
fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    postcard::to_stdvec(content).expect("plain data can be encoded")
}
