//! Authentication between nodes by cluster key and TLS, TLS towards callers, and
//! the replacement of keys and certificates without a restart.

mod certificates;
mod peer_client;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use certificates::{TestAuthority, TestDirectory};
use hyper::Method;
use peer_client::{
    CLIENT_TIMEOUT, accepts_claimed_key, answers_control, answers_on_links, chat_over_tls, forward,
    live_settings, raw_answer,
};
use rustls::ServerConfig;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio_rustls::TlsAcceptor;
use uuid::{NoContext, Timestamp, Uuid};
use verbenaring_gateway::config::{ClusterKey, NodeSettings};
use verbenaring_gateway::connector::NodeConnector;
use verbenaring_gateway::links::ControlLinks;
use verbenaring_gateway::node::RunningNode;
use verbenaring_gateway::tls::NodeTls;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_testbed::client::{TestClient, chat_body, read_answer};
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, TestDeployment, contract_document,
};
use verbenaring_testbed::expected_answer;

/// Starts a deployment in which Dublin has no server and forwards every request to
/// Cork.
async fn start_forwarding(node_tls: Option<NodeTls>) -> TestDeployment {
    let dublin = CentreSpec {
        engines: Vec::new(),
        ..CentreSpec::default()
    };
    // Only two nodes watch the store; the third receives changes by control calls.
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        nodes: 3,
        services: vec!["jobs"],
        ..CentreSpec::default()
    };
    let spec = DeploymentSpec {
        centres: vec![dublin, cork],
        node_tls,
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin", "cork"]);
    deployment.write("config/contract/council", &contract).await;
    deployment
}

fn all_nodes(deployment: &TestDeployment) -> Vec<&RunningNode> {
    let centres = deployment.centres.iter();
    centres.flat_map(|centre| &centre.nodes).collect()
}

fn cluster_key(id: &str, secret_byte: u8) -> ClusterKey {
    ClusterKey {
        id: id.into(),
        secret: [secret_byte; 32],
    }
}

/// Forwarding, bookings and control calls must work under mutual TLS.
#[tokio::test]
async fn nodes_work_under_tls() {
    let directory = TestDirectory::new("work");
    let authority = TestAuthority::new("consortium");
    let tls = authority.issue_node().node_tls(&directory, &authority.pem);
    let deployment = start_forwarding(Some(tls)).await;
    let client = TestClient::new(deployment.node(0).caller_address(), CUSTOMER_KEY);
    for stream in [false, true] {
        let answer = client.chat("a bung", 5, stream).await;
        assert_eq!(answer.chat_text(), expected_answer("a bung", 5));
        assert!(
            answer
                .header("x-verbenaring-served-by")
                .starts_with("cork-a")
        );
    }
    let idempotency_key = Uuid::new_v7(Timestamp::now(NoContext)).to_string();
    let answer = client.book(&idempotency_key, "fit").await;
    assert_eq!(
        answer.status,
        200,
        "{}",
        String::from_utf8_lossy(&answer.body)
    );
    let live = &deployment.node(0).core().live;
    for node in all_nodes(&deployment) {
        assert!(answers_control(live, node).await);
    }
    deployment.stop().await;
}

/// A node must present a valid certificate and prove that it has the cluster key;
/// neither replaces the other.
#[tokio::test]
async fn certificate_and_key_are_both_needed() {
    let directory = TestDirectory::new("both");
    let authority = TestAuthority::new("consortium");
    let tls = authority.issue_node().node_tls(&directory, &authority.pem);
    let deployment = start_forwarding(Some(tls.clone())).await;
    let node = deployment.node(1);
    let live_with = |cluster_key, node_tls: Option<&NodeTls>| {
        live_settings(&NodeSettings {
            cluster_keys: vec![cluster_key],
            node_tls: node_tls.cloned(),
            ..node.core().settings.clone()
        })
    };
    let peer = live_with(cluster_key("k1", 7), Some(&tls));
    assert!(answers_control(&peer, node).await);
    assert!(accepts_claimed_key(&peer, &cluster_key("k1", 7), node).await);
    assert_eq!(forward(&peer, node).await, Ok(200));

    for wrong_key in [cluster_key("k1", 8), cluster_key("k2", 7)] {
        assert!(!accepts_claimed_key(&peer, &wrong_key, node).await);
        let intruder = live_with(wrong_key, Some(&tls));
        assert!(!answers_control(&intruder, node).await);
        assert_eq!(forward(&intruder, node).await, Ok(403));
    }
    let without_tls = live_with(cluster_key("k1", 7), None);
    assert!(!answers_control(&without_tls, node).await);
    assert!(forward(&without_tls, node).await.is_err());

    // After a refused certificate the outcome is known: the request was not run.
    let other = TestAuthority::new("other");
    let both_pems = [authority.pem.as_str(), &other.pem].concat();
    for identity in [other.issue_node(), authority.issue_expired()] {
        let intruder = live_with(
            cluster_key("k1", 7),
            Some(&identity.node_tls(&directory, &both_pems)),
        );
        assert!(!answers_control(&intruder, node).await);
        assert_eq!(forward(&intruder, node).await, Err(RunOutcome::NotRun));
    }
    deployment.stop().await;
}

/// Clients without a valid node certificate, such as callers and backend servers,
/// must not get past the TLS handshake.
#[tokio::test]
async fn certificate_of_a_node_is_required() {
    let directory = TestDirectory::new("required");
    let authority = TestAuthority::new("consortium");
    let tls = authority.issue_node().node_tls(&directory, &authority.pem);
    let deployment = start_forwarding(Some(tls)).await;
    let settings = &deployment.node(1).core().settings;
    let intruders = [
        None,
        Some(TestAuthority::new("other").issue_node()),
        Some(authority.issue_named("engine-0.verbenaring")),
        Some(authority.issue_expired()),
    ];
    for (index, intruder) in intruders.iter().enumerate() {
        for address in [settings.peer_address, settings.control_address] {
            let answer = raw_answer(&authority, intruder.as_ref(), address).await;
            assert_eq!(answer, b"", "intruder {index}");
        }
    }
    let answer = raw_answer(
        &authority,
        Some(&authority.issue_node()),
        settings.peer_address,
    )
    .await;
    assert!(answer[1..].starts_with(b"HTTP/1.1 403"));
    deployment.stop().await;
}

/// Guards against requests to a process that listens on the address of a node but
/// has no valid node certificate.
#[tokio::test]
async fn impostor_receives_nothing() {
    let directory = TestDirectory::new("impostor");
    let authority = TestAuthority::new("consortium");
    let tls = authority.issue_node().node_tls(&directory, &authority.pem);
    let deployment = start_forwarding(Some(tls)).await;
    let live = &deployment.node(0).core().live;
    let connector = NodeConnector::new(live, CLIENT_TIMEOUT);
    let impostors = [
        (TestAuthority::new("other").issue_node(), false),
        (authority.issue_named("engine-0.verbenaring"), false),
        (authority.issue_expired(), false),
        (authority.issue_node(), true),
    ];
    for (index, (identity, accepted)) in impostors.into_iter().enumerate() {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_no_client_auth()
            .with_single_cert(identity.certificate_chain(), identity.private_key())
            .unwrap();
        let server = tokio::spawn(async move {
            let (socket, _) = listener.accept().await.unwrap();
            let mut stream = TlsAcceptor::from(Arc::new(config))
                .accept(socket)
                .await
                .ok()?;
            stream.write_u8(1).await.ok()?;
            stream.flush().await.ok()
        });
        let opened = connector.open(address).await;
        assert_eq!(opened.is_ok(), accepted, "impostor {index}");
        drop(opened);
        server.await.unwrap();
    }
    deployment.stop().await;
}

/// Callers that send one request after another until they are stopped.
struct ContinuousLoad {
    answered: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

impl ContinuousLoad {
    fn start(address: SocketAddr) -> Self {
        let answered = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let callers = (0..4).map(|_| {
            let (answered, stopped) = (answered.clone(), stopped.clone());
            tokio::spawn(async move {
                let client = TestClient::new(address, CUSTOMER_KEY);
                while !stopped.load(Ordering::Relaxed) {
                    let answer = client.chat("a bung", 3, true).await;
                    let text = String::from_utf8_lossy(&answer.body);
                    assert_eq!(answer.status, 200, "{text}");
                    assert_eq!(answer.chat_text(), expected_answer("a bung", 3), "{text}");
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            })
        });
        Self {
            callers: callers.collect(),
            answered,
            stopped,
        }
    }

    /// Waits until requests that were sent after this call have been answered.
    async fn wait_for_progress(&self) {
        let target = self.answered.load(Ordering::Relaxed) + 2 * self.callers.len();
        while self.answered.load(Ordering::Relaxed) < target {
            assert!(self.callers.iter().all(|caller| !caller.is_finished()));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.unwrap();
        }
    }
}

/// Applies each step to one node after another while requests are served. After
/// each reload, every node must accept the node and be accepted by it.
async fn rotate(deployment: &TestDeployment, steps: &[&(dyn Fn(&mut NodeSettings) + Sync)]) {
    let client = TestClient::new(deployment.node(0).caller_address(), CUSTOMER_KEY);
    let load = ContinuousLoad::start(deployment.node(0).caller_address());
    for step in steps {
        for node in all_nodes(deployment) {
            let body = chat_body("long", 60, true);
            let open = client.open(Method::POST, "/v1/chat/completions", &[], body);
            let open = open.await.unwrap();
            let mut settings = node.core().settings.clone();
            step(&mut settings);
            assert_eq!(node.reload(&settings).restart_fields, [""; 0]);
            // Uses new connections, since open ones would hide a refusal.
            for other in all_nodes(deployment) {
                for (from, to) in [(node, other), (other, node)] {
                    assert!(answers_control(&from.core().live, to).await);
                    assert_eq!(forward(&from.core().live, to).await, expected_status(to));
                }
            }
            load.wait_for_progress().await;
            let answer = read_answer(open).await;
            assert_eq!(answer.chat_text(), expected_answer("long", 60));
        }
    }
    load.stop().await;
}

/// Status of a forwarded request. Dublin accepts it too but has no server to run it.
fn expected_status(node: &RunningNode) -> Result<u16, RunOutcome> {
    let served = node.core().settings.data_centre.region.as_str() == "cork";
    Ok(if served { 200 } else { 503 })
}

/// Nodes that are one step of the rotation apart must keep accepting each other,
/// and the old key must be refused after the last step.
#[tokio::test]
async fn cluster_key_rotates_under_load() {
    let deployment = start_forwarding(None).await;
    let (old, new) = (cluster_key("k1", 7), cluster_key("k2", 9));
    rotate(
        &deployment,
        &[
            &|settings| settings.cluster_keys = vec![new.clone(), old.clone()],
            &|settings| settings.cluster_keys = vec![old.clone(), new.clone()],
            &|settings| settings.cluster_keys = vec![new.clone()],
        ],
    )
    .await;
    let node = deployment.node(1);
    let outdated = live_settings(&node.core().settings);
    assert!(!answers_control(&outdated, node).await);
    assert_eq!(forward(&outdated, node).await, Ok(403));
    deployment.stop().await;
}

/// Like `cluster_key_rotates_under_load`, with certificates of a new authority and
/// the cluster key in the same steps.
#[tokio::test]
async fn certificates_rotate_under_load() {
    let directory = TestDirectory::new("rotate");
    let (old, new) = (TestAuthority::new("old"), TestAuthority::new("new"));
    let both_pems = [old.pem.as_str(), &new.pem].concat();
    let first = old.issue_node().node_tls(&directory, &old.pem);
    let deployment = start_forwarding(Some(first)).await;
    let tls_of = |authority: &TestAuthority, accepted: &str| {
        Some(authority.issue_node().node_tls(&directory, accepted))
    };
    rotate(
        &deployment,
        &[
            &|settings| {
                settings.node_tls = tls_of(&old, &both_pems);
                settings.cluster_keys = vec![cluster_key("k2", 9), cluster_key("k1", 7)];
            },
            &|settings| {
                settings.node_tls = tls_of(&new, &both_pems);
                settings.cluster_keys = vec![cluster_key("k1", 7), cluster_key("k2", 9)];
            },
            &|settings| {
                settings.node_tls = tls_of(&new, &new.pem);
                settings.cluster_keys = vec![cluster_key("k2", 9)];
            },
        ],
    )
    .await;
    let node = deployment.node(1);
    let outdated = live_settings(&node.core().settings);
    assert!(!answers_control(&outdated, node).await);
    assert_eq!(forward(&outdated, node).await, Err(RunOutcome::NotRun));
    deployment.stop().await;
}

/// A reload closes the control connections to the node, which must not make a
/// control call of another node fail.
#[tokio::test]
async fn control_calls_survive_reload() {
    let deployment = start_forwarding(None).await;
    let links = ControlLinks::new(&deployment.node(0).core().live);
    let node = deployment.node(1);
    for _ in 0..20 {
        assert!(answers_on_links(&links, node).await);
        node.reload(&node.core().settings);
    }
    deployment.stop().await;
}

/// Settings document of a running node, without its peers and operator key.
fn settings_document(
    node: &RunningNode,
    directory: &TestDirectory,
    authority: &TestAuthority,
) -> Value {
    let settings = &node.core().settings;
    let files = authority.issue_node().node_files(directory, &authority.pem);
    json!({
        "vm": settings.vm.as_str(),
        "region": settings.data_centre.region.as_str(),
        "data_centre": settings.data_centre.name.as_str(),
        "caller_address": settings.caller_address,
        "peer_address": settings.peer_address,
        "control_address": settings.control_address,
        "drain_ms": settings.drain.as_millis() as u64,
        "store_addresses": settings.store_addresses,
        "cluster_keys": [{ "id": "k1", "secret": "07".repeat(32) }],
        "node_tls": {
            "certificate_file": files.certificate_file,
            "key_file": files.key_file,
            "authority_file": files.authority_file,
        },
    })
}

/// An invalid settings file must leave keys, certificates and limits as they are.
#[tokio::test]
async fn invalid_settings_file_changes_nothing() {
    let directory = TestDirectory::new("bad");
    let authority = TestAuthority::new("consortium");
    let tls = authority.issue_node().node_tls(&directory, &authority.pem);
    let deployment = start_forwarding(Some(tls)).await;
    let node = deployment.node(1);
    let live = &node.core().live;
    let valid = settings_document(node, &directory, &authority);
    let foreign = TestAuthority::new("other").issue_node();
    let foreign_key = directory.write("foreign.key", &foreign.key);
    let foreign_certificate = directory.write("foreign.pem", &foreign.certificate);
    let engine = authority.issue_named("engine-0.verbenaring");
    let engine_certificate = directory.write("engine.pem", &engine.certificate);
    let invalid_fields = [
        ("/max_body_bytes", json!(1)),
        ("/cluster_keys", json!([])),
        ("/node_tls/key_file", json!(foreign_key)),
        ("/node_tls/certificate_file", json!(foreign_certificate)),
        ("/node_tls/certificate_file", json!(engine_certificate)),
        ("/node_tls/authority_file", json!("absent.pem")),
    ];
    for (pointer, value) in invalid_fields {
        let mut invalid = valid.clone();
        // Would change the limits if the file were applied in part.
        invalid["body_timeout_ms"] = json!(100);
        match invalid.pointer_mut(pointer) {
            Some(field) => *field = value,
            None => invalid[pointer.trim_start_matches('/')] = value,
        }
        let file = directory.write("settings.json", &invalid.to_string());
        let text = node.reload_file(&file).unwrap_err().to_string();
        let field = pointer.trim_start_matches('/').replace('/', ".");
        assert!(text.contains(&format!("field {field}: ")), "{text}");
        assert!(text.starts_with(&format!("{}: ", file.display())), "{text}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert_eq!(*live.generation().borrow(), 0);
        assert_eq!(live.limits(), node.core().settings.limits);
    }
    assert!(answers_control(&deployment.node(0).core().live, node).await);

    let mut changed = valid;
    changed["max_body_bytes"] = json!(1_024);
    let file = directory.write("settings.json", &changed.to_string());
    let report = node.reload_file(&file).unwrap();
    assert_eq!(report.restart_fields, ["operator_key_digest", "peers"]);
    let client = TestClient::new(node.caller_address(), CUSTOMER_KEY);
    assert_eq!(client.chat(&"a".repeat(1_024), 1, false).await.status, 413);
    deployment.stop().await;
}

/// A client that trusts the authority of the certificate must be served over TLS,
/// before and after a change of certificate and authority, and never without TLS.
#[tokio::test]
async fn callers_use_tls() {
    let directory = TestDirectory::new("callers");
    let (old, new) = (TestAuthority::new("old"), TestAuthority::new("new"));
    let spec = DeploymentSpec {
        centres: vec![CentreSpec::default()],
        caller_tls: Some(old.issue_named("gateway.example").caller_tls(&directory)),
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin"]);
    deployment.write("config/contract/council", &contract).await;
    let node = deployment.node(0);
    let address = node.caller_address();
    let expected = Some((200, expected_answer("a bung", 5)));
    assert_eq!(chat_over_tls(&old, address).await, expected);
    assert_eq!(chat_over_tls(&new, address).await, None);
    let plain = TestClient::new(address, CUSTOMER_KEY);
    let body = chat_body("a bung", 5, false);
    let answer = plain.open(Method::POST, "/v1/chat/completions", &[], body);
    assert!(answer.await.is_err());

    let renewed = NodeSettings {
        caller_tls: Some(new.issue_named("gateway.example").caller_tls(&directory)),
        ..node.core().settings.clone()
    };
    assert_eq!(node.reload(&renewed).restart_fields, [""; 0]);
    assert_eq!(chat_over_tls(&new, address).await, expected);
    assert_eq!(chat_over_tls(&old, address).await, None);
    deployment.stop().await;
}
