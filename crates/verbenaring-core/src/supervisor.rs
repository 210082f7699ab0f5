//! Keeps background tasks running.
//!
//! A panic ends only its task, and locks survive it. A background task that ended
//! unnoticed would leave a process that answers its callers from outdated state,
//! so it is started again.

use std::future::Future;
use std::time::Duration;

use tokio::task::JoinHandle;

/// Pause before a task that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs the task `name` and starts it again whenever it ends.
pub fn supervise<S, F>(name: &'static str, mut start: S) -> JoinHandle<()>
where
    S: FnMut() -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            match tokio::spawn(start()).await {
                Ok(()) => log::error!(task = name; "background task ended, starting it again"),
                Err(error) if error.is_cancelled() => return,
                Err(error) => {
                    log::error!(task = name, error:% = error; "background task panicked, starting it again");
                }
            }
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    })
}
