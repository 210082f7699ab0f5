//! Outstanding work at the servers of the region, by this VM and by others, and the
//! waits that follow from it.
//!
//! Load pattern: many VMs send calls to the same servers at the same time. Each
//! knows its own work exactly and that of the others from their reports, singly or
//! as totals of the groups of relays.

use std::collections::HashMap;
use std::time::Duration;

use super::call::ServiceSettings;
use super::presence::ServiceWait;
use super::server::{LoadShare, ServerRecord};
use super::table::ServerTable;
use crate::id::ServiceName;
use crate::time::Moment;

impl ServerTable {
    /// Replaces the outstanding work of another VM, by hash of the server name.
    pub fn record_peer_loads(&mut self, vm: u64, loads: &[(u32, LoadShare)], now: Moment) {
        for record in self.servers.values_mut() {
            record.peer_loads.retain(|(other, _, _)| *other != vm);
            let hash = record.name_hash as u32;
            if let Some((_, share)) = loads.iter().find(|(server, _)| *server == hash) {
                record.peer_loads.push((vm, *share, now));
            }
        }
    }

    /// Replaces the outstanding work of all other VMs of the region, as stated by a
    /// relay, by hash of the server name.
    pub fn record_region_loads(&mut self, loads: &[(u32, LoadShare)], now: Moment) {
        let loads: HashMap<u32, LoadShare> = loads.iter().copied().collect();
        for record in self.servers.values_mut() {
            let share = loads.get(&(record.name_hash as u32));
            record.region_load = Some((share.copied().unwrap_or_default(), now));
        }
    }

    /// Forgets what a relay stated, so that the reports of single VMs count.
    pub fn clear_region_loads(&mut self) {
        for record in self.servers.values_mut() {
            record.region_load = None;
        }
    }

    /// Outstanding work of this VM, by hash of the server name.
    pub fn own_loads(&self, now: Moment) -> Vec<(u32, LoadShare)> {
        self.loads(|record| record.own_load(now))
    }

    /// Outstanding work of this VM and of those that report to it. `relays` are the
    /// name hashes of the other relays of the region, whose groups do not count.
    pub fn group_loads(&self, relays: &[u64], now: Moment) -> Vec<(u32, LoadShare)> {
        self.loads(|record| record.group_load(relays, now))
    }

    /// Outstanding work of all VMs of the region.
    pub fn region_loads(&self, now: Moment) -> Vec<(u32, LoadShare)> {
        self.loads(|record| record.load(now))
    }

    fn loads(&self, load: impl Fn(&ServerRecord) -> LoadShare) -> Vec<(u32, LoadShare)> {
        let loads = self.servers.values();
        let loads = loads.map(|record| (record.name_hash as u32, load(record)));
        loads.filter(|(_, share)| !share.is_idle()).collect()
    }

    /// Fraction of their time that the usable engines of the region spend reading prompts,
    /// on the mean, and their number; `None` without any.
    pub fn mean_busy(
        &self,
        service: &ServiceName,
        settings: &ServiceSettings,
        now: Moment,
    ) -> Option<(f64, u16)> {
        let usable = self.servers.values().filter(|record| {
            record.entry.service == *service
                && self.is_usable(record, now)
                && !record.is_paced(settings, self.current_since, now)
        });
        let (mut busy, mut count) = (0.0, 0_u16);
        for record in usable {
            busy += self.busy(record, settings, now);
            count = count.saturating_add(1);
        }
        (count > 0).then(|| (busy / f64::from(count), count))
    }

    /// Expected waits of urgent calls in the own region; none without usable servers.
    pub fn waits<'a>(
        &self,
        services: impl Iterator<Item = (&'a ServiceName, &'a ServiceSettings)>,
        now: Moment,
    ) -> Vec<ServiceWait> {
        let wait = |(service, settings): (&ServiceName, &ServiceSettings)| {
            let usable: Vec<(Duration, f64)> = self
                .servers
                .values()
                .filter(|record| {
                    record.entry.service == *service
                        && self.is_usable(record, now)
                        && !record.is_paced(settings, self.current_since, now)
                        && record.statements.limit.rate().is_none()
                        && record.statements.wait(now).is_none()
                })
                .map(|record| {
                    let (_, forecast) = self.forecast(record, settings, 0, true, now);
                    let forecast = forecast + record.health.penalty(now);
                    (forecast, self.busy(record, settings, now))
                })
                .collect();
            let (best, _) = usable.iter().min_by_key(|(forecast, _)| *forecast)?;
            let busy: f64 = usable.iter().map(|(_, busy)| busy).sum();
            Some(ServiceWait {
                service: service.clone(),
                wait_ms: best.as_millis().min(u128::from(u32::MAX)) as u32,
                servers: usable.len().min(usize::from(u16::MAX)) as u16,
                busy_percent: (busy / usable.len() as f64 * 100.0) as u16,
            })
        };
        services.filter_map(wait).collect()
    }
}
