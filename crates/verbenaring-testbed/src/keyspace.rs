//! Keys, leases and history of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::wire::{
    Blob, Compare, CompareResult, CompareTarget, DeleteRequest, Integer, KeyValue, PutRequest,
    RangeRequest, Refusal, RequestOp, TxnRequest,
};

/// Largest value of one key, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1_000_000;
/// Operations along one path through nested transactions.
pub(crate) const MAX_TXN_OPERATIONS: usize = 128;

/// Longest lease, in seconds.
const MAX_TTL_S: u64 = 9_000_000_000;

type Outcome<T> = std::result::Result<T, Refusal>;

/// One change in the history.
#[derive(Debug, Clone)]
pub(crate) struct Change {
    pub(crate) deleted: bool,
    pub(crate) current: KeyValue,
}

#[derive(Debug)]
struct Lease {
    ttl: i64,
    expires: Instant,
}

#[derive(Debug)]
pub(crate) struct Keyspace {
    revision: i64,
    entries: BTreeMap<Blob, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: Vec<Change>,
}

/// Whether `key` is in the range that the protocol writes as `start` and `end`.
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

    pub(crate) fn history(&self) -> &[Change] {
        &self.history
    }

    pub(crate) fn header(&self) -> Value {
        json!({"revision": Integer(self.revision), "cluster_id": "1", "member_id": "1", "raft_term": "1"})
    }

    fn select(&self, start: &Blob, end: &Blob) -> Vec<&KeyValue> {
        let from = (Bound::Included(start), Bound::Unbounded);
        let entries = self.entries.range::<Blob, _>(from);
        let selected = entries.take_while(|(key, _)| in_range(key, start, end));
        selected.map(|(_, entry)| entry).collect()
    }

    pub(crate) fn range(&self, request: &RangeRequest) -> Outcome<Value> {
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

    pub(crate) fn put(&mut self, request: PutRequest) -> Outcome<Value> {
        let operation = RequestOp::Put(request);
        self.single(operation, "response_put")
    }

    pub(crate) fn delete(&mut self, request: DeleteRequest) -> Outcome<Value> {
        let operation = RequestOp::Delete(request);
        self.single(operation, "response_delete_range")
    }

    fn single(&mut self, operation: RequestOp, name: &str) -> Outcome<Value> {
        let txn = TxnRequest {
            success: vec![operation],
            ..TxnRequest::default()
        };
        let mut answer = self.txn(txn)?;
        Ok(answer["responses"][0][name].take())
    }

    pub(crate) fn txn(&mut self, request: TxnRequest) -> Outcome<Value> {
        check_operations(&request, MAX_TXN_OPERATIONS)?;
        check_overlap(&request.success)?;
        check_overlap(&request.failure)?;
        // All comparisons are evaluated before the first write, so that a
        // nested transaction does not see the writes of its siblings.
        let mut path = Vec::new();
        self.choose(&request, &mut path)?;
        let mut choices = path.into_iter();
        let before = self.history.len();
        let next = self.revision + 1;
        let answer = self.apply(request, next, &mut choices);
        let revision = if self.history.len() > before {
            next
        } else {
            self.revision
        };
        self.revision = revision;
        let mut answer = answer?;
        set_header(&mut answer, &self.header());
        Ok(answer)
    }

    fn choose(&self, request: &TxnRequest, path: &mut Vec<bool>) -> Outcome<()> {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        path.push(succeeded);
        let branch = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for operation in branch {
            match operation {
                RequestOp::Txn(nested) => self.choose(nested, path)?,
                RequestOp::Put(put) => self.check_put(put)?,
                RequestOp::Range(range) => self.range(range).map(drop)?,
                RequestOp::Delete(_) => {}
            }
        }
        Ok(())
    }

    fn check_put(&self, put: &PutRequest) -> Outcome<()> {
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

    fn holds(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let entry = self.entries.get(&compare.key);
        // A value comparison fails for an absent key, all others see zero.
        if entry.is_none() && matches!(compare.target, CompareTarget::Value) {
            return false;
        }
        compare_holds(compare, entry.unwrap_or(&absent))
    }

    fn apply(
        &mut self,
        request: TxnRequest,
        revision: i64,
        choices: &mut std::vec::IntoIter<bool>,
    ) -> Outcome<Value> {
        let succeeded = choices.next().unwrap_or_default();
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
                    json!({"response_txn": self.apply(nested, revision, choices)?})
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
        let current = KeyValue {
            create_revision: previous.map_or(Integer(revision), |entry| entry.create_revision),
            version: Integer(previous.map_or(1, |entry| entry.version.0 + 1)),
            mod_revision: Integer(revision),
            key: request.key,
            value: request.value,
            lease: request.lease,
        };
        self.entries.insert(current.key.clone(), current.clone());
        self.history.push(Change {
            deleted: false,
            current,
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
            let current = KeyValue {
                key,
                mod_revision,
                ..KeyValue::default()
            };
            self.history.push(Change {
                deleted: true,
                current,
            });
        }
        answer
    }

    /// Grants a lease; an identifier of zero asks the store to choose one.
    pub(crate) fn grant(&mut self, id: i64, ttl: i64, now: Instant) -> Outcome<Value> {
        let seconds = u64::try_from(ttl)
            .ok()
            .filter(|seconds| (1..=MAX_TTL_S).contains(seconds));
        let seconds = seconds.ok_or_else(|| Refusal::invalid("etcdserver: invalid lease TTL"))?;
        let id = if id == 0 { self.next_lease } else { id };
        if self.leases.contains_key(&id) {
            return Err(Refusal::invalid("etcdserver: lease already exists"));
        }
        self.next_lease = self.next_lease.max(id) + 1;
        let expires = now + Duration::from_secs(seconds);
        self.leases.insert(id, Lease { ttl, expires });
        Ok(json!({"header": self.header(), "ID": Integer(id), "TTL": Integer(ttl)}))
    }

    /// Renews a lease; the answer for an unknown lease has no `TTL`.
    pub(crate) fn keep_alive(&mut self, id: i64, renew: bool, now: Instant) -> Value {
        let mut answer = json!({"header": self.header(), "ID": Integer(id)});
        if let Some(lease) = self.leases.get_mut(&id) {
            if renew {
                lease.expires = now + Duration::from_secs(lease.ttl.unsigned_abs());
            }
            answer["TTL"] = json!(Integer(lease.ttl));
        }
        answer
    }

    /// Ends a lease and deletes its keys in one revision.
    pub(crate) fn revoke(&mut self, id: i64) -> Outcome<Value> {
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

    /// Ends the leases that have expired at `now`.
    pub(crate) fn expire(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let ids: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            let _ = self.revoke(id);
        }
    }

    /// Ends every lease.
    pub(crate) fn lapse_all(&mut self) {
        let ids: Vec<i64> = self.leases.keys().copied().collect();
        for id in ids {
            let _ = self.revoke(id);
        }
    }

    /// Time of the next lease expiry.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires).min()
    }
}

fn compare_holds(compare: &Compare, entry: &KeyValue) -> bool {
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

/// Counts the longest list of a transaction; its nested transactions share the rest.
fn check_operations(request: &TxnRequest, allowed: usize) -> Outcome<()> {
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
            check_operations(nested, allowed - used)?;
        }
    }
    Ok(())
}

/// Refuses two puts of one key in one transaction and returns the keys put.
fn check_overlap(operations: &[RequestOp]) -> Outcome<BTreeSet<&Blob>> {
    let mut keys = BTreeSet::new();
    for operation in operations {
        let added = match operation {
            RequestOp::Put(put) => BTreeSet::from([&put.key]),
            RequestOp::Txn(nested) => {
                let mut either = check_overlap(&nested.success)?;
                either.extend(check_overlap(&nested.failure)?);
                either
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

/// Gives every nested answer the header of the committed transaction.
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
