//! Servers that have failed, and when they are used again.
//!
//! A server of which a connection broke is avoided: it gets work only if no other one can run
//! it. An engine that refuses a connection has ended, and gets work only if all others have
//! ended too. Both hold until the engine lists its models again. Other nodes report the
//! failures that they notice.

use std::time::Duration;

use verbenaring_policy::id::{ModelName, ServerId};
use verbenaring_policy::time::Moment;
use verbenaring_protocol::document::KindDocument;

use crate::server::{BackendState, ExcludedServers, ServerRecord};
use crate::work::PendingWork;

/// Time for which no request is sent to a server that crashed or refused a connection.
///
/// Otherwise requests use up their attempts and the retry budget on servers that
/// are known to be restarting.
const AVOID_TIME: Duration = Duration::from_secs(1);

impl ServerRecord {
    /// Whether the server gets work only if no other one can run it.
    pub(crate) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoided_until || self.failed || self.gone
    }
}

impl BackendState {
    /// Stops using a server that has ended, an engine until it lists its models.
    pub(crate) fn record_end(&mut self, server: &ServerId, now: Moment) {
        self.avoid(server, now);
        if let Some(record) = self.record_of(server) {
            record.gone = record.terms.kind == KindDocument::Engine;
        }
    }

    /// Stops using a server that failed at `since` until it may have restarted.
    pub(crate) fn avoid(&mut self, server: &ServerId, since: Moment) {
        if let Some(record) = self.record_of(server) {
            if since >= record.avoided_until {
                record.prefixes.clear();
            }
            record.avoided_until = record.avoided_until.max(since + AVOID_TIME);
            // The engine may have loaded other models when it is back.
            record.models_known = false;
            record.failed = record.terms.kind == KindDocument::Engine;
        }
    }

    /// Stops using a server whose failure at `since` another node has reported.
    ///
    /// Nodes repeat a report for minutes. It is ignored if the failure is already known, or if
    /// the engine has listed its models since.
    pub(crate) fn avoid_reported(&mut self, server: &ServerId, since: Moment) {
        let is_news = |record: &mut ServerRecord| since >= record.avoided_until;
        if self.record_of(server).is_some_and(is_news) {
            self.avoid(server, since);
        }
    }

    /// Engines that have ended and are not back yet.
    pub(crate) fn ended_engines(&self) -> Vec<ServerId> {
        let ended = self.servers.iter().filter(|record| record.gone);
        ended.map(|record| record.terms.server.clone()).collect()
    }

    /// Engines that get no work now: those that have ended, and avoided ones of whose models
    /// each is also on an engine that is not avoided.
    pub(crate) fn unused_engines(&self, now: Moment) -> Vec<ServerId> {
        let is_served = |model: &ModelName| {
            let mut others = self.servers.iter();
            others.any(|other| {
                !other.leaving && !other.is_avoided(now) && other.terms.models.contains(model)
            })
        };
        let is_unused = |record: &&ServerRecord| {
            let is_replaced = || record.terms.models.iter().all(is_served);
            let is_engine = record.terms.kind == KindDocument::Engine;
            is_engine && (record.gone || record.is_avoided(now) && is_replaced())
        };
        let unused = self.servers.iter().filter(is_unused);
        unused.map(|record| record.terms.server.clone()).collect()
    }

    /// All servers that are excluded now. Engines that have ended are among them, unless all
    /// others that can run the work have ended or are excluded for the whole request.
    ///
    /// An engine that is only avoided may have ended as well. It must be tried before those
    /// that are known to have ended, or the node never learns that it has lost all of them.
    pub(crate) fn all_excluded(
        &self,
        work: &PendingWork,
        excluded: &ExcludedServers,
    ) -> Vec<ServerId> {
        let ended = self.ended_engines();
        let others = [excluded.permanent.as_slice(), &ended].concat();
        let mut all = [excluded.permanent.as_slice(), &excluded.temporary].concat();
        if !ended.is_empty() && self.offers(work, &others) {
            all.extend(ended);
        }
        all
    }
}
