//! Quarantines that outlive the VMs.
//!
//! VMs tell each other which requests and parts of prompts crash servers. If all VMs end
//! at the same time, this knowledge would be lost, so one VM publishes each quarantine in
//! the source, and a VM that starts reads them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use verbenaring_policy::dispatch::evidence::SuspectNews;
use verbenaring_policy::dispatch::suspect::QUARANTINE_TIME;

use super::source::{ConfigSource, QuarantineEntry};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Interval at which new quarantines are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the published quarantines, then publishes and withdraws those for which this VM
/// is responsible, until the process ends.
pub(crate) async fn sync_quarantines<P: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<P>>,
    source: Arc<S>,
) {
    let mut published = read_quarantines(&node, &*source).await;
    let mut restorations = source.restorations();
    loop {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
        if source.restorations() != restorations {
            // The source may have lost what was published.
            restorations = source.restorations();
            published.clear();
        }
        let quarantines = node.own_quarantines();
        for entry in &quarantines {
            if !published.contains(&entry.part) {
                match source.publish_quarantine(*entry, QUARANTINE_TIME).await {
                    Ok(()) => {
                        published.insert(entry.part);
                    }
                    Err(error) => {
                        log::debug!(error:% = error; "failed to publish a quarantine");
                    }
                }
            }
        }
        let ended = published.extract_if(|part| !node.is_quarantined(*part));
        for part in ended.collect::<Vec<u32>>() {
            if node.is_trier(part)
                && let Err(error) = source.withdraw_quarantine(part).await
            {
                log::debug!(error:% = error; "failed to withdraw a quarantine");
                published.insert(part);
            }
        }
    }
}

/// Applies the published quarantines as soon as the source answers; returns their parts.
async fn read_quarantines<P: WireProtocol, S: ConfigSource>(
    node: &FrontNode<P>,
    source: &S,
) -> HashSet<u32> {
    loop {
        match source.published_quarantines().await {
            Ok(entries) => {
                node.restore_quarantines(&entries);
                return entries.iter().map(|entry| entry.part).collect();
            }
            Err(error) => log::debug!(error:% = error; "failed to read the quarantines"),
        }
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}

impl<P: WireProtocol> FrontNode<P> {
    fn restore_quarantines(&self, entries: &[QuarantineEntry]) {
        let now_ms = self.clock.unix_ms();
        let news = entries.iter().map(|entry| {
            let age_ms = now_ms.saturating_sub(entry.since_unix_ms);
            SuspectNews::of_quarantine(entry.part, Duration::from_millis(age_ms))
        });
        let news: Vec<SuspectNews> = news.collect();
        let now = self.clock.now();
        self.lock().suspects.merge(&news, false, now);
        self.log_quarantines();
    }

    /// Quarantines that this VM publishes.
    fn own_quarantines(&self) -> Vec<QuarantineEntry> {
        let now = self.clock.now();
        let now_ms = self.clock.unix_ms();
        let state = self.lock();
        let quarantines = state.suspects.quarantines(now);
        let own = quarantines.filter(|(part, _)| state.is_trier(*part, now));
        own.map(|(part, age)| QuarantineEntry {
            part,
            since_unix_ms: now_ms.saturating_sub(age.as_millis() as u64),
        })
        .collect()
    }

    fn is_trier(&self, part: u32) -> bool {
        let now = self.clock.now();
        self.lock().is_trier(part, now)
    }

    fn is_quarantined(&self, part: u32) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let mut quarantines = state.suspects.quarantines(now);
        quarantines.any(|(known, _)| known == part)
    }
}
