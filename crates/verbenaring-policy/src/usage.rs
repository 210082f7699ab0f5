//! Usage accounting for customers and members, and usage statements that members
//! can verify.
//!
//! Each process counts its own work per epoch in counters that only grow.
//! Merging takes the maximum per process, epoch and customer, so a counter that
//! arrives twice or over several paths is counted once. A restarted process
//! counts under its new incarnation.
//!
//! A statement lists the total usage of every member; totals are not customer
//! data. The usage lines of single customers stay in their data centre. The
//! statement contains only a salted digest of them per member, against which each
//! member can check its own lines. Statements form a hash chain: each contains
//! the digest of the one before. A member that keeps the newest digest it has
//! seen detects any later change of the chain. Counters that arrive after the
//! statement of their epoch are part of the next one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, DataCentre, Digest, MemberId, VmId};

/// Amounts of work done for a customer, as monotonic counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounters {
    /// Requests that were run.
    pub requests: u64,
    /// Prompt tokens of these requests.
    pub prompt_tokens: u64,
    /// Answer tokens of these requests.
    pub answer_tokens: u64,
    /// Engine time used, in microseconds.
    pub engine_micros: u64,
    /// Requests that were refused.
    pub refusals: u64,
    /// Bytes sent to other regions on behalf of the customer.
    pub sent_away_bytes: u64,
}

impl UsageCounters {
    /// Adds each counter, saturating.
    pub fn plus(&self, other: &UsageCounters) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Sum of prompt and answer tokens.
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

/// Process that counts usage, and the epoch in which it counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageWriter {
    /// Epoch in which the work is counted.
    pub epoch: u64,
    /// VM on which the process runs.
    pub vm: VmId,
    /// Incarnation of the process, higher after each restart.
    pub incarnation: u64,
}

type CustomerCounters = BTreeMap<(MemberId, CustomerId), UsageCounters>;

/// Counters by process, epoch and customer, which nodes exchange and merge.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntries {
    writers: BTreeMap<UsageWriter, CustomerCounters>,
}

impl UsageEntries {
    /// Whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.writers.is_empty()
    }

    /// Takes the maximum of each counter, so that merging again changes nothing.
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

    /// Counters of all epochs up to and including `epoch`.
    pub fn up_to(&self, epoch: u64) -> Self {
        let writers = self.writers.iter();
        let kept = writers.take_while(|(writer, _)| writer.epoch <= epoch);
        Self {
            writers: kept
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
        }
    }

    /// Splits the counters into one part per epoch.
    pub fn split_by_epoch(&self) -> Vec<UsageEntries> {
        let mut parts: BTreeMap<u64, UsageEntries> = BTreeMap::new();
        for (writer, customers) in &self.writers {
            let part = parts.entry(writer.epoch).or_default();
            part.writers.insert(writer.clone(), customers.clone());
        }
        parts.into_values().collect()
    }

    /// Subtracts each counter of `other`, down to zero.
    fn subtract(&self, other: &UsageEntries) -> Self {
        let mut difference = self.clone();
        for (writer, customers) in &mut difference.writers {
            let Some(known) = other.writers.get(writer) else {
                continue;
            };
            for (key, counters) in customers {
                *counters = counters.minus(known.get(key).unwrap_or(&UsageCounters::default()));
            }
        }
        difference
    }

    fn prune_before(&mut self, epoch: u64) {
        self.writers.retain(|writer, _| writer.epoch >= epoch);
    }
}

/// Usage known to one process: that of its own work and that of its peers.
#[derive(Debug)]
pub struct UsageAccount {
    vm: VmId,
    incarnation: u64,
    entries: UsageEntries,
    /// Own counters that changed since the last [`take_changes`](Self::take_changes).
    changed: BTreeSet<(UsageWriter, (MemberId, CustomerId))>,
    oldest_epoch: u64,
}

impl UsageAccount {
    /// Creates an empty account. `incarnation` must be higher than that of any
    /// earlier process on this VM: otherwise merging would take the maximum of old
    /// and new counters and lose work.
    pub fn new(vm: VmId, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            entries: UsageEntries::default(),
            changed: BTreeSet::new(),
            oldest_epoch: 0,
        }
    }

    /// Adds work of this process. Work of a removed epoch counts in the oldest one
    /// that is kept.
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

    /// Merges counters of peers, except for epochs that were already removed.
    pub fn merge(&mut self, other: &UsageEntries) {
        self.entries.merge(other);
        self.entries.prune_before(self.oldest_epoch);
    }

    /// Counters of all processes that are known here.
    pub fn entries(&self) -> &UsageEntries {
        &self.entries
    }

    /// Removes the epochs before `epoch`, whose retention has ended.
    pub fn prune_before(&mut self, epoch: u64) {
        self.oldest_epoch = self.oldest_epoch.max(epoch);
        self.entries.prune_before(self.oldest_epoch);
    }
}

/// Usage of one member in a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUsage {
    /// Total over the customers of the member.
    pub total: UsageCounters,
    /// Salted digest of the usage lines of its customers.
    pub lines: Digest,
}

/// Usage lines of a member's customers. They are customer data and stay in the
/// data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLines {
    /// Random salt that prevents others from guessing lines by their digest.
    pub salt: Digest,
    /// Usage line of each customer.
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
    /// Data centre in which the work was done.
    pub centre: DataCentre,
    /// Last epoch that the statement covers.
    pub epoch: u64,
    /// Digest of the previous statement; the first one follows a digest of `centre`.
    pub previous: Digest,
    /// Usage of each member, including members without any.
    pub members: BTreeMap<MemberId, MemberUsage>,
    /// Digest of all other fields.
    pub digest: Digest,
}

impl UsageStatement {
    /// Member that used most tokens; `None` without members.
    pub fn largest_member(&self) -> Option<(&MemberId, &MemberUsage)> {
        self.members
            .iter()
            .max_by_key(|(_, usage)| usage.total.tokens())
    }

    /// Whether the statement was made from these lines of a member.
    pub fn matches_lines(&self, member: &MemberId, lines: &MemberLines) -> bool {
        self.members.get(member) == Some(&lines.usage())
    }

    fn content_digest(&self) -> Digest {
        let content = (&self.centre, self.epoch, self.previous, &self.members);
        Digest::of(&encode(&content))
    }
}

/// Issuer of the usage statements of one data centre.
///
/// Each statement is stored by create-if-absent on its epoch, so that two issuers
/// cannot both extend the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementChain {
    check: ChainVerifier,
    stated: UsageEntries,
    oldest_epoch: u64,
}

impl StatementChain {
    /// Creates a chain without statements.
    pub fn new(centre: DataCentre) -> Self {
        Self {
            check: ChainVerifier::new(centre),
            stated: UsageEntries::default(),
            oldest_epoch: 0,
        }
    }

    /// Issues the statement of the usage up to `epoch` that no earlier statement
    /// contains, with the lines it is made from. Fails if `epoch` is not later than
    /// the last one. `members` are all members of the consortium; `salt` must be
    /// random.
    pub fn issue(
        &mut self,
        entries: &UsageEntries,
        members: &BTreeSet<MemberId>,
        epoch: u64,
        salt: &[u8; 32],
    ) -> Result<(UsageStatement, BTreeMap<MemberId, MemberLines>), ChainError> {
        let mut known = entries.up_to(epoch);
        known.prune_before(self.oldest_epoch);
        let lines = member_lines(&known.subtract(&self.stated), members, salt);
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

    /// Epoch of the newest statement; `None` before the first.
    pub fn epoch(&self) -> Option<u64> {
        self.check.epoch
    }

    /// Appends a statement of another issuer.
    ///
    /// Which counters it contains is not known here, so this issuer no longer
    /// states counters up to its epoch. No counter is stated twice; one that
    /// arrived late is stated by the other issuer or not at all.
    pub fn adopt(&mut self, statement: &UsageStatement) -> Result<(), ChainError> {
        self.check.append(statement)?;
        self.prune_before(statement.epoch + 1);
        Ok(())
    }

    /// Removes what was stated for epochs before `epoch`; counters of these epochs
    /// that arrive later are not stated.
    pub fn prune_before(&mut self, epoch: u64) {
        self.oldest_epoch = self.oldest_epoch.max(epoch);
        self.stated.prune_before(self.oldest_epoch);
    }
}

fn member_lines(
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

/// Error in a chain of usage statements.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChainError {
    /// The statement belongs to another data centre.
    #[error("statement of epoch {epoch} is of another data centre")]
    WrongCentre {
        /// Epoch of the statement.
        epoch: u64,
    },
    /// The content of the statement does not match its digest.
    #[error("statement of epoch {epoch} was changed")]
    DigestMismatch {
        /// Epoch of the statement.
        epoch: u64,
    },
    /// The epoch is not later than the last one, or `previous` does not match.
    #[error("statement of epoch {epoch} does not follow its predecessor")]
    OutOfSequence {
        /// Epoch of the statement.
        epoch: u64,
    },
    /// The chain does not end with the expected statement.
    #[error("the chain does not end with the expected statement")]
    WrongHead,
}

/// Incremental verification of the statement chain of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainVerifier {
    centre: DataCentre,
    head: Digest,
    epoch: Option<u64>,
}

impl ChainVerifier {
    /// Creates a verifier that expects the first statement.
    pub fn new(centre: DataCentre) -> Self {
        let head = Digest::of(&encode(&("usage statements", &centre)));
        Self {
            centre,
            head,
            epoch: None,
        }
    }

    /// Digest of the newest statement, which members keep for later comparison.
    pub fn head(&self) -> Digest {
        self.head
    }

    /// Verifies the next statement. After an error the verifier is unchanged.
    pub fn append(&mut self, statement: &UsageStatement) -> Result<(), ChainError> {
        let epoch = statement.epoch;
        if statement.centre != self.centre {
            return Err(ChainError::WrongCentre { epoch });
        }
        if !statement.content_digest().matches(&statement.digest) {
            return Err(ChainError::DigestMismatch { epoch });
        }
        let is_later = self.epoch.is_none_or(|last| epoch > last);
        if !is_later || !statement.previous.matches(&self.head) {
            return Err(ChainError::OutOfSequence { epoch });
        }
        self.head = statement.digest;
        self.epoch = Some(epoch);
        Ok(())
    }

    /// Verifies a whole chain, which must end with the digest `head`.
    pub fn verify_chain(
        centre: &DataCentre,
        statements: &[UsageStatement],
        head: &Digest,
    ) -> Result<(), ChainError> {
        let mut verifier = Self::new(centre.clone());
        for statement in statements {
            verifier.append(statement)?;
        }
        if verifier.head.matches(head) {
            Ok(())
        } else {
            Err(ChainError::WrongHead)
        }
    }
}

/// Encodes content for a digest. Maps are ordered and the format has one encoding
/// per value, so equal content has equal digests.
fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    postcard::to_stdvec(content).expect("plain data can be encoded")
}
