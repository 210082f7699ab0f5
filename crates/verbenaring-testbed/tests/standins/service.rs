//! Tests of the stand-in for plain services.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;
use verbenaring_testbed::{ServiceFaults, ServiceServer, ServiceSettings};

use crate::{connection_breaks, send};

/// A call whose answer is lost must be recorded, one that a crash prevented must
/// not.
#[tokio::test(start_paused = true)]
async fn records_exactly_the_executed_calls() {
    let settings = ServiceSettings::default();
    let service = ServiceServer::start(settings).await.unwrap();
    let body = json!({"operation": "book-7"});
    service.set_faults(ServiceFaults {
        lose_answer: true,
        ..Default::default()
    });
    assert!(connection_breaks(service.address(), "/bookings", &body).await);
    service.set_faults(ServiceFaults {
        crash_before: true,
        ..Default::default()
    });
    assert!(connection_breaks(service.address(), "/bookings", &body).await);
    assert_eq!(service.executions("book-7"), 1);
    service.set_faults(ServiceFaults::default());
    assert!(connection_breaks(service.address(), "/bookings", &body).await);
    sleep(Duration::from_millis(500)).await;
    let headers = [("x-request-id", "second")];
    let response = send(service.address(), "/bookings", &headers, &body).await;
    assert_eq!(response.headers()["x-request-id"], "second");
    assert_eq!(service.executions("book-7"), 2);
    assert_eq!(service.calls()[1].request_id, "second");
}

/// A call that still waits for its delay when the service crashes must not run
/// after the crash.
#[tokio::test(start_paused = true)]
async fn drops_waiting_calls_at_a_crash() {
    let delay = Duration::from_secs(5);
    let settings = ServiceSettings {
        delay,
        ..Default::default()
    };
    let service = ServiceServer::start(settings).await.unwrap();
    let address = service.address();
    service.set_faults(ServiceFaults {
        crash_after: true,
        ..Default::default()
    });
    let first = json!({"operation": "first"});
    let first = tokio::spawn(async move { connection_breaks(address, "/", &first).await });
    sleep(delay / 2).await;
    let second = json!({"operation": "second"});
    assert!(connection_breaks(address, "/", &second).await && first.await.unwrap());
    sleep(delay).await;
    assert_eq!(service.executions("first"), 1);
    assert_eq!(service.executions("second"), 0);
}
