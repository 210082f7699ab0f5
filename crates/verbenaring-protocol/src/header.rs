//! Names of the headers that callers, nodes and backend servers exchange.

/// Identifier: of the request between callers and nodes, of the attempt between
/// nodes and backend servers.
pub const REQUEST_ID: &str = "x-request-id";
/// Whether a failed request was run, as a
/// [`RunOutcome`](verbenaring_policy::outcome::RunOutcome).
pub const OUTCOME: &str = "x-verbenaring-outcome";
/// Name of the entry VM that accepted the request from the caller.
pub const SERVED_BY: &str = "x-verbenaring-served-by";
/// Idempotency key of an operation, chosen by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Nodes that a forwarded request has visited, comma-separated, the sender last.
pub const HOP: &str = "x-verbenaring-hop";
/// Contract revision that the sender of a forwarded request has in force.
pub const REVISION: &str = "x-verbenaring-revision";
/// Time until the deadline of a forwarded request, in milliseconds.
pub const DEADLINE_MS: &str = "x-verbenaring-deadline-ms";
/// Identifier of the attempt that a forwarded request belongs to.
pub const ATTEMPT: &str = "x-verbenaring-attempt";
/// Customer on whose behalf a request is forwarded.
pub const CUSTOMER: &str = "x-verbenaring-customer";
/// Signature that proves that a node of the deployment sent the request.
pub const AUTH: &str = "x-verbenaring-auth";
/// Identifier of the attempt whose stream a request resumes.
pub const RESUME_ATTEMPT: &str = "x-resume-attempt";
/// Index of the first token that a resumed stream sends again.
pub const RESUME_FROM: &str = "x-resume-from";

/// Headers that only nodes may set; they are removed from requests of callers.
pub const INTERNAL: [&str; 6] = [HOP, REVISION, DEADLINE_MS, ATTEMPT, CUSTOMER, AUTH];
