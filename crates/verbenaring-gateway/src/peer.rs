//! Authentication and hop limit of requests forwarded between nodes.
//!
//! The sender signs the request, the receiving node, the time and the attempt
//! identifier. The receiver refuses signatures that are too old, were made
//! before it started, or were seen before, so that a captured request cannot be
//! replayed.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex};

use hyper::header::{HeaderMap, HeaderValue};
use verbenaring_policy::id::{AttemptId, Digest, VmId};
use verbenaring_protocol::header;

use crate::config::ClusterKey;
use crate::live::LiveSettings;

/// Maximum difference between the signing time and the receiver's clock, in
/// milliseconds; it includes clock skew.
pub const MAX_SIGNATURE_AGE_MS: u64 = 60_000;
/// Maximum number of nodes on the path of a request: the entry node and one more.
pub const MAX_VISITED_NODES: usize = 2;
/// Maximum number of attempt identifiers kept to detect replays.
const MAX_SEEN_ATTEMPTS: usize = 100_000;

/// Forwarding headers of a request, without the signature.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// Nodes that the request passed, the sender last.
    pub visited: Vec<VmId>,
    /// Revision of the customer's contract at the sender.
    pub revision: u64,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Identifier of the attempt; the receiver accepts it once.
    pub attempt: AttemptId,
    /// Customer that the entry node authenticated.
    pub customer: String,
}

/// Why a forwarded request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ForwardError {
    /// The named header is missing or malformed.
    #[error("forwarding header {0} is missing or invalid")]
    Header(&'static str),
    /// No accepted cluster key has the identifier in the signature.
    #[error("forwarding key is not accepted")]
    UnknownKey,
    /// The signature does not match the request, the receiver or the key.
    #[error("forwarding signature does not match")]
    Signature,
    /// The signature is too old, from the future, from before the receiver
    /// started, or was seen before.
    #[error("forwarding signature is not fresh")]
    Stale,
    /// The request already passed this node or the maximum number of nodes.
    #[error("request was forwarded too often")]
    Loop,
}

impl ForwardHead {
    /// Writes the headers and the signature for `receiver` into `headers`.
    ///
    /// `None` if a value cannot be written as a header.
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

    /// Value of the signature header: key identifier, signing time and tag.
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
    /// HTTP method of the request.
    pub method: &'a str,
    /// Path and query of the request.
    pub path: &'a str,
    /// Complete body of the request.
    pub body: &'a [u8],
    /// Signing time in milliseconds since 1970-01-01 UTC; the current time when
    /// a signature is verified.
    pub unix_ms: u64,
}

/// Recently accepted attempts with the time of arrival, to detect replays.
#[derive(Default)]
struct SeenAttempts {
    order: VecDeque<(u64, AttemptId)>,
    known: HashSet<AttemptId>,
}

impl SeenAttempts {
    /// Adds an attempt; false if it was seen before.
    ///
    /// Drops entries whose signature has expired, and the oldest when full.
    fn insert(&mut self, now_ms: u64, attempt: AttemptId) -> bool {
        while let Some((time, oldest)) = self.order.front().copied() {
            let expired = time + 2 * MAX_SIGNATURE_AGE_MS < now_ms;
            if !expired && self.order.len() < MAX_SEEN_ATTEMPTS {
                break;
            }
            self.order.pop_front();
            self.known.remove(&oldest);
        }
        let is_new = self.known.insert(attempt);
        if is_new {
            self.order.push_back((now_ms, attempt));
        }
        is_new
    }
}

/// Verifies requests that other nodes forward to this node.
pub struct ForwardVerifier {
    vm: VmId,
    live: Arc<LiveSettings>,
    start_ms: u64,
    seen: Mutex<SeenAttempts>,
}

impl ForwardVerifier {
    /// Creates the verifier of the entry VM `vm`.
    ///
    /// Signatures from before `start_ms` (Unix time) are refused, because a
    /// restarted node has lost its record of seen attempts.
    pub fn new(vm: &VmId, live: &Arc<LiveSettings>, start_ms: u64) -> Self {
        Self {
            vm: vm.clone(),
            live: live.clone(),
            start_ms,
            seen: Mutex::default(),
        }
    }

    /// Cluster key that signs the requests that this node forwards.
    pub fn signing_key(&self) -> ClusterKey {
        self.live.credentials().signing_key().clone()
    }

    /// Verifies a forwarded request and returns its forwarding headers.
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
