//! Keys, leases and change history of the store stand-in.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::wire::{
    Blob, Compare, CompareResult, CompareTarget, DeleteRequest, Integer, KeyValue, PutRequest,
    RangeRequest, Refusal, RequestOp, TxnRequest,
};

/// Largest size of a value.
pub(crate) const MAX_VALUE_BYTES: usize = 1_000_000;
/// Largest number of operations that a transaction may have together with the
/// transactions around it.
pub(crate) const MAX_TXN_OPERATIONS: usize = 128;

/// Longest TTL of a lease.
const MAX_TTL_S: u64 = 9_000_000_000;

type StoreResult<T> = std::result::Result<T, Refusal>;

/// Write or deletion of one key.
#[derive(Debug, Clone)]
pub(crate) struct KeyChange {
    pub(crate) deleted: bool,
    /// Entry after the write. After a deletion, only the key and the revision are
    /// set.
    pub(crate) entry: KeyValue,
}

#[derive(Debug)]
struct Lease {
    ttl_s: i64,
    expiry: Instant,
}

/// Content of the store.
#[derive(Debug)]
pub(crate) struct Keyspace {
    /// Revision of the last change.
    revision: i64,
    entries: BTreeMap<Blob, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    /// ID for the next lease whose caller chooses none.
    next_lease: i64,
    /// All changes in order of their revision.
    history: Vec<KeyChange>,
}

/// Whether `key` is in the range from `start` to `end` (exclusive). As in etcd,
/// an empty `end` selects only `start`, and a single zero byte has no upper bound.
pub(crate) fn in_range(key: &Blob, start: &Blob, end: &Blob) -> bool {
    match end.0.as_slice() {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}

impl Keyspace {
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            history: Vec::new(),
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    pub(crate) fn history(&self) -> &[KeyChange] {
        &self.history
    }

    /// Response header with the current revision.
    pub(crate) fn header(&self) -> Value {
        json!({"revision": Integer(self.revision), "cluster_id": "1", "member_id": "1", "raft_term": "1"})
    }

    /// Entries of a range in key order.
    fn select(&self, start: &Blob, end: &Blob) -> Vec<&KeyValue> {
        let from = (Bound::Included(start), Bound::Unbounded);
        let entries = self.entries.range::<Blob, _>(from);
        let selected = entries.take_while(|(key, _)| in_range(key, start, end));
        selected.map(|(_, entry)| entry).collect()
    }

    pub(crate) fn range(&self, request: &RangeRequest) -> StoreResult<Value> {
        if request.revision.0 > self.revision {
            return Err(Refusal::out_of_range(
                "mvcc: required revision is a future revision",
            ));
        }
        if request.revision.0 > 0 && request.revision.0 < self.revision {
            return Err(Refusal::out_of_range(
                "mvcc: required revision has been compacted",
            ));
        }
        let selected = self.select(&request.key, &request.range_end);
        let count = selected.len();
        let limit = match usize::try_from(request.limit.0) {
            Ok(0) | Err(_) => count,
            Ok(limit) => limit,
        };
        let mut kvs: Vec<KeyValue> = selected.into_iter().take(limit).cloned().collect();
        if request.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value = Blob::default());
        }
        let mut answer = json!({"header": self.header()});
        if count > 0 {
            answer["count"] = json!(count.to_string());
        }
        if !request.count_only && !kvs.is_empty() {
            answer["more"] = json!(kvs.len() < count);
            answer["kvs"] = json!(kvs);
        }
        Ok(answer)
    }

    pub(crate) fn put(&mut self, request: PutRequest) -> StoreResult<Value> {
        let operation = RequestOp::Put(request);
        self.run_single(operation, "response_put")
    }

    pub(crate) fn delete(&mut self, request: DeleteRequest) -> StoreResult<Value> {
        let operation = RequestOp::Delete(request);
        self.run_single(operation, "response_delete_range")
    }

    /// Runs one operation as a transaction and returns the field `name` of its
    /// response.
    fn run_single(&mut self, operation: RequestOp, name: &str) -> StoreResult<Value> {
        let txn = TxnRequest {
            success: vec![operation],
            ..TxnRequest::default()
        };
        let mut answer = self.txn(txn)?;
        Ok(answer["responses"][0][name].take())
    }

    pub(crate) fn txn(&mut self, request: TxnRequest) -> StoreResult<Value> {
        check_operation_count(&request, MAX_TXN_OPERATIONS)?;
        check_duplicate_puts(&request.success)?;
        check_duplicate_puts(&request.failure)?;
        // All conditions are evaluated before the first write, so that a nested
        // transaction does not see the writes of the operations before it.
        let mut outcomes = Vec::new();
        self.evaluate(&request, &mut outcomes)?;
        let mut outcomes = outcomes.into_iter();
        let history_len = self.history.len();
        let next = self.revision + 1;
        let answer = self.apply(request, next, &mut outcomes);
        let revision = if self.history.len() > history_len {
            next
        } else {
            self.revision
        };
        self.revision = revision;
        let mut answer = answer?;
        set_header(&mut answer, &self.header());
        Ok(answer)
    }

    /// Evaluates the conditions of a transaction and checks the operations that it
    /// will run. Appends to `outcomes` whether its conditions are met, then the
    /// same for its nested transactions in order.
    fn evaluate(&self, request: &TxnRequest, outcomes: &mut Vec<bool>) -> StoreResult<()> {
        let succeeded = request.compare.iter().all(|compare| self.is_met(compare));
        outcomes.push(succeeded);
        let branch = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for operation in branch {
            match operation {
                RequestOp::Txn(nested) => self.evaluate(nested, outcomes)?,
                RequestOp::Put(put) => self.check_put(put)?,
                RequestOp::Range(range) => self.range(range).map(drop)?,
                RequestOp::Delete(_) => {}
            }
        }
        Ok(())
    }

    fn check_put(&self, put: &PutRequest) -> StoreResult<()> {
        if put.key.0.is_empty() {
            return Err(Refusal::invalid("etcdserver: key is not provided"));
        }
        if put.value.0.len() > MAX_VALUE_BYTES {
            return Err(Refusal::invalid("etcdserver: request is too large"));
        }
        if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
            return Err(Refusal::not_found("etcdserver: requested lease not found"));
        }
        Ok(())
    }

    fn is_met(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let entry = self.entries.get(&compare.key);
        // A comparison of the value fails for an absent key; the other fields of an
        // absent key count as zero.
        if entry.is_none() && matches!(compare.target, CompareTarget::Value) {
            return false;
        }
        comparison_is_true(compare, entry.unwrap_or(&absent))
    }

    /// Runs a checked transaction. `outcomes` are those that `evaluate` found for it
    /// and its nested transactions.
    fn apply(
        &mut self,
        request: TxnRequest,
        revision: i64,
        outcomes: &mut std::vec::IntoIter<bool>,
    ) -> StoreResult<Value> {
        let succeeded = outcomes.next().unwrap_or_default();
        let branch = if succeeded {
            request.success
        } else {
            request.failure
        };
        let mut responses = Vec::with_capacity(branch.len());
        for operation in branch {
            responses.push(match operation {
                RequestOp::Range(range) => json!({"response_range": self.range(&range)?}),
                RequestOp::Put(put) => {
                    json!({"response_put": self.write(put, revision)})
                }
                RequestOp::Delete(delete) => {
                    let deleted = self.remove(&delete, revision);
                    json!({"response_delete_range": deleted})
                }
                RequestOp::Txn(nested) => {
                    json!({"response_txn": self.apply(nested, revision, outcomes)?})
                }
            });
        }
        let mut answer = json!({"header": self.header()});
        if succeeded {
            answer["succeeded"] = json!(true);
        }
        if !responses.is_empty() {
            answer["responses"] = json!(responses);
        }
        Ok(answer)
    }

    fn write(&mut self, request: PutRequest, revision: i64) -> Value {
        let previous = self.entries.get(&request.key);
        let entry = KeyValue {
            create_revision: previous.map_or(Integer(revision), |entry| entry.create_revision),
            version: Integer(previous.map_or(1, |entry| entry.version.0 + 1)),
            mod_revision: Integer(revision),
            key: request.key,
            value: request.value,
            lease: request.lease,
        };
        self.entries.insert(entry.key.clone(), entry.clone());
        self.history.push(KeyChange {
            deleted: false,
            entry,
        });
        json!({"header": self.header()})
    }

    fn remove(&mut self, request: &DeleteRequest, revision: i64) -> Value {
        let selected = self.select(&request.key, &request.range_end);
        let keys: Vec<Blob> = selected
            .into_iter()
            .map(|entry| entry.key.clone())
            .collect();
        let mut answer = json!({"header": self.header()});
        if !keys.is_empty() {
            answer["deleted"] = json!(keys.len().to_string());
        }
        for key in keys {
            self.entries.remove(&key);
            let mod_revision = Integer(revision);
            let entry = KeyValue {
                key,
                mod_revision,
                ..KeyValue::default()
            };
            self.history.push(KeyChange {
                deleted: true,
                entry,
            });
        }
        answer
    }

    /// Grants a lease; if `id` is zero, the store chooses one.
    pub(crate) fn grant(&mut self, id: i64, ttl_s: i64, now: Instant) -> StoreResult<Value> {
        let seconds = u64::try_from(ttl_s)
            .ok()
            .filter(|seconds| (1..=MAX_TTL_S).contains(seconds));
        let seconds = seconds.ok_or_else(|| Refusal::invalid("etcdserver: invalid lease TTL"))?;
        let id = if id == 0 { self.next_lease } else { id };
        if self.leases.contains_key(&id) {
            return Err(Refusal::invalid("etcdserver: lease already exists"));
        }
        self.next_lease = self.next_lease.max(id) + 1;
        let expiry = now + Duration::from_secs(seconds);
        self.leases.insert(id, Lease { ttl_s, expiry });
        Ok(json!({"header": self.header(), "ID": Integer(id), "TTL": Integer(ttl_s)}))
    }

    /// Answers a keepalive, and renews the lease if `renew` is set. The answer for
    /// an unknown lease has no `TTL`.
    pub(crate) fn keep_alive(&mut self, id: i64, renew: bool, now: Instant) -> Value {
        let mut answer = json!({"header": self.header(), "ID": Integer(id)});
        if let Some(lease) = self.leases.get_mut(&id) {
            if renew {
                lease.expiry = now + Duration::from_secs(lease.ttl_s.unsigned_abs());
            }
            answer["TTL"] = json!(Integer(lease.ttl_s));
        }
        answer
    }

    /// Ends a lease and deletes its keys, all in one revision.
    pub(crate) fn revoke(&mut self, id: i64) -> StoreResult<Value> {
        if self.leases.remove(&id).is_none() {
            return Err(Refusal::not_found("etcdserver: requested lease not found"));
        }
        let attached = self.entries.values().filter(|entry| entry.lease.0 == id);
        let keys: Vec<Blob> = attached.map(|entry| entry.key.clone()).collect();
        let next = self.revision + 1;
        for key in &keys {
            let request = DeleteRequest {
                key: key.clone(),
                ..DeleteRequest::default()
            };
            self.remove(&request, next);
        }
        if !keys.is_empty() {
            self.revision = next;
        }
        Ok(json!({"header": self.header()}))
    }

    /// Ends the leases whose expiry is at or before `now`.
    pub(crate) fn expire_due(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expiry <= now);
        let ids: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            let _ = self.revoke(id);
        }
    }

    /// Ends all leases, due or not.
    pub(crate) fn expire_all(&mut self) {
        let ids: Vec<i64> = self.leases.keys().copied().collect();
        for id in ids {
            let _ = self.revoke(id);
        }
    }

    /// Earliest expiry of all leases; `None` if there are none.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expiry).min()
    }
}

fn comparison_is_true(compare: &Compare, entry: &KeyValue) -> bool {
    let ordering = match compare.target {
        CompareTarget::Version => entry.version.cmp(&compare.version),
        CompareTarget::Create => entry.create_revision.cmp(&compare.create_revision),
        CompareTarget::Mod => entry.mod_revision.cmp(&compare.mod_revision),
        CompareTarget::Value => entry.value.cmp(&compare.value),
        CompareTarget::Lease => entry.lease.cmp(&compare.lease),
    };
    match compare.result {
        CompareResult::Equal => ordering.is_eq(),
        CompareResult::Greater => ordering.is_gt(),
        CompareResult::Less => ordering.is_lt(),
        CompareResult::NotEqual => ordering.is_ne(),
    }
}

/// Refuses a transaction with more than `allowed` entries in its longest list. Each
/// nested transaction may have as many as that list leaves over.
fn check_operation_count(request: &TxnRequest, allowed: usize) -> StoreResult<()> {
    let lengths = [
        request.compare.len(),
        request.success.len(),
        request.failure.len(),
    ];
    let used = lengths.into_iter().max().unwrap_or_default();
    if used > allowed {
        return Err(Refusal::invalid(
            "etcdserver: too many operations in txn request",
        ));
    }
    for operation in request.success.iter().chain(&request.failure) {
        if let RequestOp::Txn(nested) = operation {
            check_operation_count(nested, allowed - used)?;
        }
    }
    Ok(())
}

/// Refuses two puts of the same key and returns the keys of all puts. Both branches
/// of a nested transaction count, whichever will run.
fn check_duplicate_puts(operations: &[RequestOp]) -> StoreResult<BTreeSet<&Blob>> {
    let mut keys = BTreeSet::new();
    for operation in operations {
        let added = match operation {
            RequestOp::Put(put) => BTreeSet::from([&put.key]),
            RequestOp::Txn(nested) => {
                let mut both = check_duplicate_puts(&nested.success)?;
                both.extend(check_duplicate_puts(&nested.failure)?);
                both
            }
            _ => continue,
        };
        if !keys.is_disjoint(&added) {
            return Err(Refusal::invalid(
                "etcdserver: duplicate key given in txn request",
            ));
        }
        keys.extend(added);
    }
    Ok(keys)
}

/// Replaces the header of an answer and all nested ones by that of the committed
/// transaction.
fn set_header(answer: &mut Value, header: &Value) {
    match answer {
        Value::Object(fields) => {
            for (name, field) in fields {
                if name == "header" {
                    *field = header.clone();
                } else {
                    set_header(field, header);
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(|item| set_header(item, header)),
        _ => {}
    }
}
