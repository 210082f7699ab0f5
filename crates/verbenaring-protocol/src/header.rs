//! Names of the headers that callers, nodes and backend servers exchange.

/// Identifier of a request towards callers, of an attempt towards backend servers.
pub const REQUEST_ID: &str = "x-request-id";
/// Whether a refused request was run.
pub const OUTCOME: &str = "x-verbenaring-outcome";
/// Entry VM that accepted the request.
pub const SERVED_BY: &str = "x-verbenaring-served-by";
/// Idempotency key of the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Nodes that a forwarded request has visited, comma-separated.
pub const HOP: &str = "x-verbenaring-hop";
/// Contract revision of the sender of a forwarded request.
pub const REVISION: &str = "x-verbenaring-revision";
/// Time that remains for a forwarded request, in milliseconds.
pub const DEADLINE_MS: &str = "x-verbenaring-deadline-ms";
/// Attempt identifier of a forwarded request.
pub const ATTEMPT: &str = "x-verbenaring-attempt";
/// Customer of a forwarded request.
pub const CUSTOMER: &str = "x-verbenaring-customer";
/// Proof that a node of the deployment sent the request.
pub const AUTH: &str = "x-verbenaring-auth";
/// Attempt whose stream a request continues.
pub const RESUME_ATTEMPT: &str = "x-resume-attempt";
/// Index of the first token that a resumed stream repeats.
pub const RESUME_FROM: &str = "x-resume-from";

/// Headers of the inter-node protocol, stripped from requests of callers.
pub const INTERNAL: [&str; 6] = [HOP, REVISION, DEADLINE_MS, ATTEMPT, CUSTOMER, AUTH];
