//! Requests forwarded between nodes: proof of origin and hop limits.
//!
//! A signature covers the request, the receiving node, the time and the
//! attempt identifier. A receiver refuses signatures that are old, were made
//! before it started, or were seen before, so that a captured request cannot
//! be replayed.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex};

use hyper::header::{HeaderMap, HeaderValue};
use verbenaring_policy::id::{AttemptId, Digest, VmId};
use verbenaring_protocol::header;

use crate::config::ClusterKey;
use crate::live::LiveSettings;

/// Age at which a signature is refused, clock differences included.
pub const MAX_SIGNATURE_AGE_MS: u64 = 60_000;
/// Nodes that a request may visit: the entry node and one more.
pub const MAX_VISITED_NODES: usize = 2;
const MAX_REMEMBERED: usize = 100_000;

/// What a forwarded request carries besides its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// Nodes visited so far, the sender last.
    pub visited: Vec<VmId>,
    /// Contract revision of the sender.
    pub revision: u64,
    /// Time that remains, in milliseconds.
    pub deadline_ms: u64,
    /// Identifier of the try.
    pub attempt: AttemptId,
    /// Customer of the request.
    pub customer: String,
}

/// Why a forwarded request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ForwardError {
    /// A header is missing or cannot be read.
    #[error("forwarding header {0} is missing or invalid")]
    Header(&'static str),
    /// The key is not accepted.
    #[error("forwarding key is not accepted")]
    UnknownKey,
    /// The signature does not match.
    #[error("forwarding signature does not match")]
    Signature,
    /// The signature is too old, from the future, or was seen before.
    #[error("forwarding signature is not fresh")]
    Stale,
    /// The request visited this node or too many nodes.
    #[error("request was forwarded too often")]
    Loop,
}

impl ForwardHead {
    /// Writes the head and its signature into `headers`.
    pub fn write(
        &self,
        headers: &mut HeaderMap,
        key: &ClusterKey,
        receiver: &VmId,
        message: &SignedMessage<'_>,
    ) -> Option<()> {
        let visited: Vec<&str> = self.visited.iter().map(VmId::as_str).collect();
        let texts = [
            (header::HOP, visited.join(",")),
            (header::REVISION, self.revision.to_string()),
            (header::DEADLINE_MS, self.deadline_ms.to_string()),
            (header::ATTEMPT, self.attempt.to_string()),
            (header::CUSTOMER, self.customer.clone()),
            (header::AUTH, self.sign(key, receiver, message)),
        ];
        for (name, text) in texts {
            headers.insert(name, HeaderValue::from_str(&text).ok()?);
        }
        Some(())
    }

    fn sign(&self, key: &ClusterKey, receiver: &VmId, message: &SignedMessage<'_>) -> String {
        let tag = self.tag(&key.secret, receiver, message);
        format!("{}:{}:{tag}", key.id, message.unix_ms)
    }

    fn tag(&self, secret: &[u8; 32], receiver: &VmId, message: &SignedMessage<'_>) -> Digest {
        let visited: Vec<&str> = self.visited.iter().map(VmId::as_str).collect();
        let content = format!(
            "forward\n{receiver}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}\n{}",
            message.method,
            message.path,
            message.unix_ms,
            visited.join(","),
            self.revision,
            self.deadline_ms,
            self.attempt,
            self.customer,
            Digest::of(message.body),
        );
        Digest::keyed(secret, content.as_bytes())
    }

    fn read(headers: &HeaderMap) -> Result<Self, ForwardError> {
        let text = |name: &'static str| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.ok_or(ForwardError::Header(name))
        };
        let number = |name: &'static str| {
            text(name)?
                .parse::<u64>()
                .map_err(|_| ForwardError::Header(name))
        };
        let visited = text(header::HOP)?
            .split(',')
            .map(VmId::new)
            .collect::<Result<Vec<_>, _>>()
            .map_err(|_| ForwardError::Header(header::HOP))?;
        let attempt = text(header::ATTEMPT)?
            .parse()
            .map(AttemptId)
            .map_err(|_| ForwardError::Header(header::ATTEMPT))?;
        Ok(Self {
            visited,
            revision: number(header::REVISION)?,
            deadline_ms: number(header::DEADLINE_MS)?,
            attempt,
            customer: text(header::CUSTOMER)?.to_owned(),
        })
    }
}

/// Parts of a request that a signature covers.
#[derive(Debug, Clone, Copy)]
pub struct SignedMessage<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// Time of the signature, in milliseconds since 1970-01-01 UTC.
    pub unix_ms: u64,
}

#[derive(Default)]
struct SeenAttempts {
    order: VecDeque<(u64, AttemptId)>,
    known: HashSet<AttemptId>,
}

impl SeenAttempts {
    /// Remembers an attempt; false if it was seen before.
    fn insert(&mut self, now_ms: u64, attempt: AttemptId) -> bool {
        while let Some((time, oldest)) = self.order.front().copied() {
            let expired = time + 2 * MAX_SIGNATURE_AGE_MS < now_ms;
            if !expired && self.order.len() < MAX_REMEMBERED {
                break;
            }
            self.order.pop_front();
            self.known.remove(&oldest);
        }
        let fresh = self.known.insert(attempt);
        if fresh {
            self.order.push_back((now_ms, attempt));
        }
        fresh
    }
}

/// Checks requests that claim to come from other nodes.
pub struct ForwardVerifier {
    vm: VmId,
    live: Arc<LiveSettings>,
    start_ms: u64,
    seen: Mutex<SeenAttempts>,
}

impl ForwardVerifier {
    /// Gate of the entry VM `vm`, started at `start_ms`.
    pub fn new(vm: &VmId, live: &Arc<LiveSettings>, start_ms: u64) -> Self {
        Self {
            vm: vm.clone(),
            live: live.clone(),
            start_ms,
            seen: Mutex::default(),
        }
    }

    /// Key that signs.
    pub fn signing_key(&self) -> ClusterKey {
        self.live.credentials().signing_key().clone()
    }

    /// Checks a forwarded request and returns its head.
    pub fn verify(
        &self,
        headers: &HeaderMap,
        message: &SignedMessage<'_>,
    ) -> Result<ForwardHead, ForwardError> {
        let head = ForwardHead::read(headers)?;
        let auth = headers
            .get(header::AUTH)
            .and_then(|value| value.to_str().ok());
        let mut parts = auth.ok_or(ForwardError::Header(header::AUTH))?.split(':');
        let (Some(id), Some(time), Some(tag)) = (parts.next(), parts.next(), parts.next()) else {
            return Err(ForwardError::Header(header::AUTH));
        };
        let credentials = self.live.credentials();
        let key = credentials
            .cluster_keys
            .iter()
            .find(|key| key.id == id)
            .ok_or(ForwardError::UnknownKey)?;
        let signed_ms: u64 = time
            .parse()
            .map_err(|_| ForwardError::Header(header::AUTH))?;
        let tag =
            Digest::try_from(tag.to_owned()).map_err(|_| ForwardError::Header(header::AUTH))?;
        let signed = SignedMessage {
            unix_ms: signed_ms,
            ..*message
        };
        if !head.tag(&key.secret, &self.vm, &signed).matches(&tag) {
            return Err(ForwardError::Signature);
        }
        let fresh = signed_ms.abs_diff(message.unix_ms) <= MAX_SIGNATURE_AGE_MS;
        if !fresh || signed_ms < self.start_ms {
            return Err(ForwardError::Stale);
        }
        if head.visited.len() >= MAX_VISITED_NODES || head.visited.contains(&self.vm) {
            return Err(ForwardError::Loop);
        }
        let mut seen = self.seen.lock().unwrap_or_else(|error| error.into_inner());
        if !seen.insert(message.unix_ms, head.attempt) {
            return Err(ForwardError::Stale);
        }
        Ok(head)
    }
}
