//! Tests that a panic ends no background task for good.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use verbenaring_core::supervisor::supervise;

/// Guards against a process that goes on without one of its background tasks.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let task = supervise("test", {
        let starts = starts.clone();
        move || {
            let starts = starts.clone();
            async move {
                if starts.fetch_add(1, Ordering::SeqCst) < 2 {
                    panic!("unexpected error");
                }
                std::future::pending::<()>().await;
            }
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(starts.load(Ordering::SeqCst), 3);
    assert!(!task.is_finished());
    task.abort();
}
