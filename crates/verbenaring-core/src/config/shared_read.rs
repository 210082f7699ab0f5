//! Readings of the source for which calls wait.
//!
//! Many callers take up their streams in the same moment. All calls that wait share the
//! next reading, and readings keep a distance.

use std::future::Future;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::source::SourceError;

/// Time between two readings.
const READ_SPACING: Duration = Duration::from_millis(200);
/// Time limit for a reading.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Readings of one kind, one for all calls that wait at a time.
#[derive(Debug, Default)]
pub(crate) struct SharedReads {
    requested: Notify,
    latest: watch::Sender<Option<CompletedRead>>,
}

#[derive(Debug, Clone, Copy)]
struct CompletedRead {
    began: Instant,
    succeeded: bool,
}

impl SharedReads {
    /// Calls `read` whenever calls ask for it, until the process ends. `what` names in
    /// logs what is read.
    pub(crate) async fn serve<F>(&self, what: &str, read: impl Fn() -> F)
    where
        F: Future<Output = Result<(), SourceError>>,
    {
        loop {
            self.requested.notified().await;
            let began = Instant::now();
            let succeeded = match tokio::time::timeout(READ_TIMEOUT, read()).await {
                Ok(Ok(())) => true,
                Ok(Err(error)) => {
                    log::debug!(what = what, error:% = error; "failed to read the store for calls");
                    false
                }
                Err(_) => {
                    log::debug!(what = what, limit_ms = READ_TIMEOUT.as_millis() as u64;
                        "no answer of the store for calls in time");
                    false
                }
            };
            self.latest
                .send_replace(Some(CompletedRead { began, succeeded }));
            tokio::time::sleep(READ_SPACING).await;
        }
    }

    /// Waits for a reading that began at most `age` ago, or after this call; returns
    /// whether it succeeded.
    pub(crate) async fn refresh(&self, age: Duration) -> bool {
        let asked = Instant::now();
        let mut latest = self.latest.subscribe();
        let known = *latest.borrow();
        if known.is_some_and(|read| read.succeeded && asked - read.began < age) {
            return true;
        }
        self.requested.notify_one();
        let is_newer = |read: &Option<CompletedRead>| read.is_some_and(|read| read.began >= asked);
        let refreshed = latest.wait_for(is_newer).await;
        refreshed.is_ok_and(|read| read.is_some_and(|read| read.succeeded))
    }
}
