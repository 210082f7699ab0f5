//! Keeps in the source where streams began, while several software versions serve.
//!
//! VMs tell each other where streams began. If all VMs end at the same time, only what
//! lasts outside of them tells it. Each VM writes the origins of its own streams in
//! batches: the first ones at once, the next ones together after an interval that grows
//! with the number of VMs, so that the calls of all VMs to the source stay bounded. A
//! stream that began within that interval before the end may be lost; it is refused and
//! never joined.

use std::sync::Arc;
use std::time::Duration;

use verbenaring_policy::dispatch::origin::OriginRecord;

use super::source::{ConfigSource, OriginBatch};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Shortest interval between two batches of one VM.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two batches of one VM for each VM of the deployment.
const INTERVAL_PER_VM: Duration = Duration::from_millis(25);
/// Time after which a VM looks for origins that have waited for a second version.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Origins in one batch.
const BATCH_SIZE: usize = 2_000;
/// Age up to which a reading shows what VMs that have ended wrote.
const READ_AGE: Duration = Duration::from_secs(1);

/// Writes where streams of this VM began, until the process ends.
pub(crate) async fn publish_origins<P: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<P>>,
    source: Arc<S>,
) {
    let mut batch = OriginBatch {
        vm: node.settings.vm.clone(),
        boot: node.boot,
        sequence: 0,
    };
    loop {
        // Elapses where no stream begins.
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.origin_recorded.notified()).await;
        let origins = node.take_unpublished_origins();
        if origins.is_empty() {
            continue;
        }
        match source.publish_origins(&batch, &origins).await {
            Ok(()) => batch.sequence += 1,
            Err(error) => {
                log::debug!(error:% = error; "failed to publish where streams began");
                let now = node.clock.now();
                node.lock().origins.put_back_unpublished(origins, now);
            }
        }
        tokio::time::sleep(node.origin_interval()).await;
    }
}

/// Reads where streams began whenever calls ask for it, until the process ends.
pub(crate) async fn read_origins_for_calls<P: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<P>>,
    source: Arc<S>,
) {
    let read = || async {
        let origins = source.published_origins().await?;
        let now = node.clock.now();
        node.lock().origins.merge(&origins, now);
        Ok(())
    };
    node.origin_reads.serve("origins of streams", read).await;
}

impl<P: WireProtocol> FrontNode<P> {
    /// Origins of streams that are to be published now; none while all streams have one
    /// version to go on at.
    fn take_unpublished_origins(&self) -> Vec<OriginRecord> {
        let now = self.clock.now();
        let mut state = self.lock();
        match state.servers.builds.any_mixed(now) {
            true => state.origins.take_unpublished(BATCH_SIZE, now),
            false => Vec::new(),
        }
    }

    fn origin_interval(&self) -> Duration {
        let vms = self.lock().vms.iter().count() as u32 + 1;
        MIN_INTERVAL.max(INTERVAL_PER_VM * vms)
    }

    /// Reads where streams of VMs that have ended began; returns whether the source
    /// answered.
    pub(crate) async fn refresh_origins(&self) -> bool {
        self.origin_reads.refresh(READ_AGE).await
    }
}
