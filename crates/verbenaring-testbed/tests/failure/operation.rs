//! Operations (bookings) that must run at most once.

use std::time::Duration;

use hyper::Method;
use uuid::{NoContext, Timestamp, Uuid};
use verbenaring_testbed::client::{TestAnswer, TestClient};
use verbenaring_testbed::deployment::{CentreSpec, DeploymentSpec, TestDeployment};
use verbenaring_testbed::{ServiceFaults, ServiceServer, StoreFaults, UnframedAnswer};

use crate::{client_of, dublin_centre, start, start_dublin, wait_until};

const BOOKINGS: &str = "/v1/services/jobs/bookings";

fn new_idempotency_key() -> String {
    Uuid::now_v7().to_string()
}

fn service(deployment: &TestDeployment) -> &ServiceServer {
    &deployment.centres[0].services[0]
}

fn assert_refused(answer: &TestAnswer, status: u16, code: &str, outcome: &str) {
    assert_eq!(answer.status, status, "{}", answer.json());
    assert_eq!(answer.json()["error"]["code"], code);
    assert_eq!(answer.json()["error"]["outcome"], outcome);
    assert_eq!(answer.header("x-verbenaring-outcome"), outcome);
}

async fn start_two_nodes() -> (TestDeployment, [TestClient; 2]) {
    let centre = CentreSpec {
        nodes: 2,
        ..dublin_centre(Vec::new())
    };
    let spec = DeploymentSpec {
        centres: vec![centre],
        ..DeploymentSpec::default()
    };
    let (deployment, first) = start(spec).await;
    let second = client_of(&deployment, 1);
    (deployment, [first, second])
}

/// Requests with the same idempotency key must run once, whether they are sent in
/// sequence or concurrently, to one node or to two.
#[tokio::test]
async fn same_key_runs_once() {
    let (deployment, clients) = start_two_nodes().await;
    let key = new_idempotency_key();
    let first = clients[0].book(&key, "in sequence").await;
    assert_eq!(first.status, 200);
    for client in &clients {
        let again = client.book(&key, "in sequence").await;
        assert_refused(&again, 409, "operation_done", "ran");
    }
    assert_eq!(service(&deployment).executions("in sequence"), 1);

    let key = new_idempotency_key();
    let calls = (0..12).map(|index| clients[index % 2].book(&key, "at once"));
    let answers = futures::future::join_all(calls).await;
    let booked = answers.iter().filter(|answer| answer.status == 200);
    assert_eq!(booked.count(), 1);
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 409);
        assert_ne!(answer.header("x-verbenaring-outcome"), "not_run");
    }
    assert_eq!(service(&deployment).executions("at once"), 1);
    deployment.stop().await;
}

/// While the store is down no operation can be claimed: nothing may run, and the
/// caller must be told that it did not run.
#[tokio::test]
async fn store_down_runs_nothing() {
    let (deployment, client) = start_dublin(Vec::new()).await;
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let key = new_idempotency_key();
    let answer = client.book(&key, "no claim").await;
    assert_refused(&answer, 503, "store_unreachable", "not_run");
    assert!(!answer.header("retry-after").is_empty());
    deployment.store.set_faults(StoreFaults::default());
    wait_until(async || client.book(&key, "no claim").await.status == 200).await;
    assert_eq!(service(&deployment).executions("no claim"), 1);
    deployment.stop().await;
}

/// If the answer of the store to a claim is lost, the node must read the claim
/// back and run the operation once.
#[tokio::test]
async fn lost_store_answer_is_settled() {
    let (deployment, client) = start_dublin(Vec::new()).await;
    deployment.store.set_faults(StoreFaults {
        lose_answers: true,
        ..StoreFaults::default()
    });
    let key = new_idempotency_key();
    assert_eq!(client.book(&key, "settled").await.status, 200);
    deployment.store.set_faults(StoreFaults::default());
    let again = client.book(&key, "settled").await;
    assert_eq!(again.status, 409);
    assert_eq!(service(&deployment).executions("settled"), 1);
    deployment.stop().await;
}

/// A claim that the store applies after the caller was told `not_run` must not
/// run the operation.
#[tokio::test]
async fn late_claim_runs_nothing() {
    let (deployment, client) = start_dublin(Vec::new()).await;
    deployment.store.set_faults(StoreFaults {
        write_delay: Some(Duration::from_millis(200)),
        ..StoreFaults::default()
    });
    let key = new_idempotency_key();
    let answer = client.book(&key, "late claim").await;
    let ran = service(&deployment).executions("late claim");
    match answer.header("x-verbenaring-outcome") {
        "not_run" => assert_eq!(ran, 0),
        _ => assert!(ran <= 1),
    }
    deployment.store.set_faults(StoreFaults::default());
    wait_until(async || {
        let answer = client.book(&key, "late claim").await;
        answer.status == 200 || answer.header("x-verbenaring-outcome") == "ran"
    })
    .await;
    assert_eq!(service(&deployment).executions("late claim"), 1);
    deployment.stop().await;
}

/// An attempt that was sent to the service must never be sent again, whether it
/// ran or not, since the node cannot know.
#[tokio::test]
async fn lost_service_answer_is_unknown() {
    let faults = [
        (
            "answer lost",
            1,
            ServiceFaults {
                lose_answer: true,
                ..ServiceFaults::default()
            },
        ),
        (
            "crash before",
            0,
            ServiceFaults {
                crash_before: true,
                ..ServiceFaults::default()
            },
        ),
        (
            "crash after",
            1,
            ServiceFaults {
                crash_after: true,
                ..ServiceFaults::default()
            },
        ),
    ];
    for (operation, runs, fault) in faults {
        let (deployment, clients) = start_two_nodes().await;
        service(&deployment).set_faults(fault);
        let key = new_idempotency_key();
        let answer = clients[0].book(&key, operation).await;
        assert_refused(&answer, 502, "backend_failed", "unknown");
        service(&deployment).set_faults(ServiceFaults::default());
        wait_until(async || clients[0].get("/v1/services/jobs/").await.status == 200).await;
        for client in &clients {
            let again = client.book(&key, operation).await;
            assert_refused(&again, 409, "operation_in_progress", "unknown");
        }
        assert_eq!(service(&deployment).executions(operation), runs);
        deployment.stop().await;
    }
}

/// A service that refuses the connection has run nothing, so the idempotency key
/// must stay usable.
#[tokio::test]
async fn unreachable_service_is_not_run() {
    let (deployment, client) = start_dublin(Vec::new()).await;
    let document_key = "config/server/dublin-a/dublin-a-service-0";
    let address = service(&deployment).address().to_string();
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .unwrap();
    let closed_address = listener.local_addr().unwrap().to_string();
    drop(listener);
    crate::set_document_field(&deployment, document_key, "address", closed_address.into()).await;
    let key = new_idempotency_key();
    let answer = client.book(&key, "refused").await;
    assert_refused(&answer, 503, "no_backend", "not_run");
    crate::set_document_field(&deployment, document_key, "address", address.into()).await;
    wait_until(async || client.book(&key, "refused").await.status == 200).await;
    assert_eq!(service(&deployment).executions("refused"), 1);
    deployment.stop().await;
}

/// An idempotency key that was used for one request must be refused for another.
#[tokio::test]
async fn same_key_with_another_body_is_refused() {
    let (deployment, client) = start_dublin(Vec::new()).await;
    let key = new_idempotency_key();
    assert_eq!(client.book(&key, "first").await.status, 200);
    let answer = client.book(&key, "second").await;
    assert_refused(&answer, 422, "idempotency_key_reused", "not_run");
    assert_eq!(service(&deployment).executions("second"), 0);
    deployment.stop().await;
}

/// Idempotency key (UUIDv7) made `age_s` seconds ago; a negative age is in the
/// future.
fn key_of_age(age_s: i64) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let seconds = now.as_secs().saturating_add_signed(-age_s);
    Uuid::new_v7(Timestamp::from_unix(NoContext, seconds, 0)).to_string()
}

/// Idempotency keys that nodes could not remember for the retention period must be
/// refused: absent, no UUIDv7, expired, or made in the future.
#[tokio::test]
async fn unusable_keys_are_refused() {
    let (deployment, client) = start_dublin(Vec::new()).await;
    let keys = [
        (Uuid::new_v4().to_string(), "invalid_idempotency_key"),
        ("order-17".to_owned(), "invalid_idempotency_key"),
        (key_of_age(25 * 3_600), "idempotency_key_expired"),
        (key_of_age(-10 * 60), "invalid_idempotency_key"),
    ];
    for (key, code) in keys {
        let answer = client.book(&key, "unusable").await;
        assert_refused(&answer, 400, code, "not_run");
    }
    let answer = client
        .send(Method::POST, BOOKINGS, &[], b"{}".to_vec())
        .await;
    assert_refused(&answer, 400, "invalid_idempotency_key", "not_run");
    assert!(service(&deployment).calls().is_empty());
    deployment.stop().await;
}

/// A node must report the outcome of an operation that another node ran.
#[tokio::test]
async fn outcome_is_known_at_another_node() {
    let (deployment, clients) = start_two_nodes().await;
    let key = new_idempotency_key();
    assert_eq!(clients[0].book(&key, "fitter").await.status, 200);
    let path = format!("/v1/operations/{key}");
    wait_until(async || clients[1].get(&path).await.json()["state"] == "done").await;
    let status = clients[1].get(&path).await.json();
    assert_eq!(status["outcome"], "ran");
    assert_eq!(status["status"], 200);
    let address = deployment.node(0).caller_address();
    let unauthorized = TestClient::new(address, "nobody").get(&path).await;
    assert_eq!(unauthorized.status, 401);
    deployment.stop().await;
}

/// Guards against a booking whose answer has neither a length nor chunks and counts as
/// whole although the service ended while it sent it.
#[tokio::test]
async fn an_unframed_answer_to_a_booking_of_a_service_that_ended_is_unknown() {
    let answer = UnframedAnswer {
        content_type: "application/json",
        body: "{}",
        held: false,
    };
    let (mut deployment, client) = start_dublin(Vec::new()).await;
    let service = deployment.centres[0].services.remove(0);
    service.answer_unframed(answer);
    let whole = client.book(&new_idempotency_key(), "whole").await;
    assert_eq!(whole.status, 200);
    service.answer_unframed(UnframedAnswer {
        held: true,
        ..answer
    });
    let stopped = service.stop_after_calls(2);
    let key = new_idempotency_key();
    let (cut, ()) = futures::join!(client.book(&key, "cut"), stopped);
    assert_refused(&cut, 502, "backend_failed", "unknown");
    deployment.stop().await;
}
