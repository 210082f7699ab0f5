//! Requests that one node forwards to another: hop limit, signature, and
//! forwarding headers that callers send.

use hyper::Method;
use hyper::header::HeaderMap;
use uuid::Uuid;
use verbenaring_gateway::config::ClusterKey;
use verbenaring_gateway::peer::{ForwardHead, MAX_SIGNATURE_AGE_MS, SignedMessage};
use verbenaring_policy::id::{AttemptId, VmId};
use verbenaring_testbed::client::{TestAnswer, TestClient, chat_body};
use verbenaring_testbed::deployment::{CentreSpec, DeploymentSpec, TestDeployment};
use verbenaring_testbed::expected_answer;

use crate::{dublin_centre, engine_settings, start};

const CHAT: &str = "/v1/chat/completions";

/// Starts one node in each of three regions. Dublin has no engine, Cork has
/// `cork_engines` and Galway has one.
async fn three_regions(cork_engines: usize) -> TestDeployment {
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        engines: vec![engine_settings(); cork_engines],
        ..CentreSpec::default()
    };
    let galway = CentreSpec {
        region: "galway",
        name: "galway-a",
        ..CentreSpec::default()
    };
    let spec = DeploymentSpec {
        centres: vec![dublin_centre(Vec::new()), cork, galway],
        ..DeploymentSpec::default()
    };
    start(spec).await.0
}

/// Request that the Dublin node forwards to the Cork node.
struct ForwardedRequest {
    key: ClusterKey,
    /// VMs that the request has passed.
    visited: Vec<&'static str>,
    /// Age of the signature on arrival.
    age_ms: u64,
    body: Vec<u8>,
}

impl Default for ForwardedRequest {
    fn default() -> Self {
        Self {
            key: ClusterKey {
                id: "k1".into(),
                secret: [7; 32],
            },
            visited: vec!["dublin-a-vm-0"],
            age_ms: 0,
            body: chat_body("bolts", 4, false),
        }
    }
}

impl ForwardedRequest {
    /// Forwarding headers, signed with `key` for the Cork node.
    fn headers(&self, deployment: &TestDeployment) -> HeaderMap {
        let core = deployment.node(1).core();
        let visited = self.visited.iter().map(|vm| VmId::new(vm).unwrap());
        let catalog = core.catalog.load();
        let customer = "council";
        let head = ForwardHead {
            visited: visited.collect(),
            revision: catalog.contract_of(customer).unwrap().revision,
            deadline_ms: 10_000,
            attempt: AttemptId(Uuid::new_v4()),
            customer: customer.into(),
        };
        let message = SignedMessage {
            method: "POST",
            path: CHAT,
            body: &self.body,
            unix_ms: core.clock.unix_ms() - self.age_ms,
        };
        let mut headers = HeaderMap::new();
        let receiver = &core.settings.vm;
        head.write(&mut headers, &self.key, receiver, &message)
            .unwrap();
        let attempt = headers["x-verbenaring-attempt"].clone();
        headers.insert("x-request-id", attempt);
        headers
    }
}

/// Sends a request to the peer address of the Cork node.
async fn send_to_cork(deployment: &TestDeployment, headers: &HeaderMap, body: &[u8]) -> TestAnswer {
    let address = deployment.node(1).core().settings.peer_address;
    let headers: Vec<(&str, &str)> = headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.to_str().unwrap()))
        .collect();
    let client = TestClient::new(address, "unused");
    client
        .send(Method::POST, CHAT, &headers, body.to_vec())
        .await
}

/// Guards against a second hop: a node without an engine of its own must refuse a
/// forwarded request.
#[tokio::test]
async fn forwarded_request_is_not_forwarded_again() {
    let deployment = three_regions(0).await;
    let forward = ForwardedRequest::default();
    let headers = forward.headers(&deployment);
    let answer = send_to_cork(&deployment, &headers, &forward.body).await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-verbenaring-outcome"), "not_run");
    assert_eq!(deployment.centres[2].engines[0].counters().started, 0);
    deployment.stop().await;
}

/// Guards against replayed, altered, stale, looping or wrongly signed forwards:
/// only a fresh request that a node of the deployment signed may run, and only
/// once.
#[tokio::test]
async fn forged_forwards_are_refused() {
    let deployment = three_regions(1).await;
    let valid = ForwardedRequest::default();
    let headers = valid.headers(&deployment);
    let answer = send_to_cork(&deployment, &headers, &valid.body).await;
    assert_eq!(answer.chat_text(), expected_answer("bolts", 4));

    let mut refused = vec![("replayed", headers, valid.body.clone())];
    let altered = valid.headers(&deployment);
    refused.push(("altered body", altered, chat_body("nuts", 4, false)));
    for (name, value) in [
        ("x-verbenaring-customer", "other"),
        ("x-verbenaring-deadline-ms", "99999"),
        ("x-verbenaring-hop", "galway-a-vm-0"),
        ("x-verbenaring-auth", "k1:1"),
    ] {
        let mut altered = valid.headers(&deployment);
        altered.insert(name, value.parse().unwrap());
        refused.push((name, altered, valid.body.clone()));
    }
    let key = |id: &str, secret_byte| ClusterKey {
        id: id.into(),
        secret: [secret_byte; 32],
    };
    let forged = [
        (
            "wrong secret",
            ForwardedRequest {
                key: key("k1", 8),
                ..ForwardedRequest::default()
            },
        ),
        (
            "unknown key",
            ForwardedRequest {
                key: key("k2", 7),
                ..ForwardedRequest::default()
            },
        ),
        (
            "stale",
            ForwardedRequest {
                age_ms: MAX_SIGNATURE_AGE_MS + 1,
                ..ForwardedRequest::default()
            },
        ),
        (
            "loop",
            ForwardedRequest {
                visited: vec!["cork-a-vm-0"],
                ..ForwardedRequest::default()
            },
        ),
        (
            "too many hops",
            ForwardedRequest {
                visited: vec!["dublin-a-vm-0", "galway-a-vm-0"],
                ..ForwardedRequest::default()
            },
        ),
    ];
    for (name, forward) in forged {
        refused.push((name, forward.headers(&deployment), forward.body));
    }
    for (name, headers, body) in refused {
        let answer = send_to_cork(&deployment, &headers, &body).await;
        assert_eq!(answer.status, 403, "{name}");
        assert_eq!(answer.json()["error"]["code"], "forward_refused", "{name}");
        assert_eq!(answer.header("x-verbenaring-outcome"), "not_run", "{name}");
    }
    assert_eq!(deployment.centres[1].engines[0].counters().started, 1);
    deployment.stop().await;
}

/// Guards against callers that influence routing or authentication with the
/// headers that nodes use for forwarding.
#[tokio::test]
async fn forwarding_headers_of_callers_are_ignored() {
    let deployment = three_regions(1).await;
    let client = crate::client_of(&deployment, 0);
    let headers = [
        ("x-verbenaring-hop", "dublin-a-vm-0,cork-a-vm-0"),
        ("x-verbenaring-revision", "1"),
        ("x-verbenaring-deadline-ms", "0"),
        (
            "x-verbenaring-attempt",
            "6d2f3c8e-6a5f-4a43-9d0c-0a4f4f2b7f10",
        ),
        ("x-verbenaring-customer", "other"),
        ("x-verbenaring-auth", "k1:1:00"),
        ("x-request-id", "own"),
    ];
    let body = chat_body("bolts", 4, true);
    let answer = client.send(Method::POST, CHAT, &headers, body).await;
    assert_eq!(answer.chat_text(), expected_answer("bolts", 4));
    assert_eq!(answer.header("x-request-id"), "own");
    // Dublin has no engine; either of the other regions may run the request.
    let served_by = answer.header("x-verbenaring-served-by");
    assert!(
        served_by.starts_with("cork-a-vm-0/") || served_by.starts_with("galway-a-vm-0/"),
        "{served_by}"
    );
    deployment.stop().await;
}
