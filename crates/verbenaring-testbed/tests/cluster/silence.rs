//! Watches on the store that fall silent while a contract is replaced.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use crate::{CONTRACT_KEY, centre, contract, start, wait_for};

/// Time within which a change must be in force everywhere (I9 of `docs/design.md`).
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Guards against a watch that is open and hides changes for minutes.
#[tokio::test]
async fn changes_are_followed_after_watches_fall_silent() {
    let deployment = start(vec![centre(2)]).await;
    wait_for("the nodes watch the store", || async {
        deployment.store.counters().open_watches == 2
    })
    .await;
    deployment.store.silence_watches();
    let silent_since = Instant::now();
    let mut changed = contract();
    changed["models"] = json!(["another"]);
    deployment.write(CONTRACT_KEY, &changed).await;
    let delay = silent_since.elapsed();
    assert!(delay < MAX_DELAY, "{delay:?}");
    deployment.stop().await;
}
