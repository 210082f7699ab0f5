//! VM of a region, as the tests of decisions that VMs take together use it.

use verbenaring_policy::dispatch::ownership::RegionView;
use verbenaring_policy::dispatch::presence::{PresenceTable, VmRecord, VmState};
use verbenaring_policy::dispatch::prompt::name_hash;
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::dispatch::table::ServerTable;
use verbenaring_policy::id::VmId;

use super::fixture::*;

/// VM that hears others and has calls for servers.
pub struct TestVm {
    pub name: String,
    pub vms: PresenceTable,
    pub servers: ServerTable,
}

impl TestVm {
    pub fn new(name: &str, servers: ServerTable) -> Self {
        Self {
            name: name.to_owned(),
            vms: PresenceTable::default(),
            servers,
        }
    }

    pub fn hear(&mut self, name: &str, interval_ms: u64, heard_at: u64) {
        let address = "10.0.0.2:1".parse().unwrap();
        let record = VmRecord {
            vm: VmId::new(name).unwrap(),
            centre: entry("x", 1).centre,
            report_address: address,
            peer_address: address,
            caller_address: address,
            boot: 1,
            sequence: heard_at as u32,
            state: VmState::Ready,
            routes_version: 1,
            operator_revision: 1,
            servers_revision: 1,
            watching: false,
            capacity: 100,
            name_hash: name_hash(name),
            interval: ms(interval_ms),
            received_at: at(heard_at),
        };
        self.vms.record(record, at(heard_at));
    }

    pub fn hear_all(&mut self, names: &[String], interval_ms: u64, heard_at: u64) {
        let own = self.name.clone();
        for name in names.iter().filter(|name| **name != own) {
            self.hear(name, interval_ms, heard_at);
        }
    }

    pub fn view(&self, now: u64) -> RegionView {
        let own = name_hash(&self.name);
        RegionView::new(own, &region("north"), &self.vms, at(now))
    }

    /// Server to which a call is sent; it is answered at once. `None` if the call is
    /// refused.
    pub fn send(&mut self, now: u64) -> Option<ServerKey> {
        let view = self.view(now);
        self.send_in(&view, now)
    }

    /// Like [`Self::send`], in a view that the VM is given.
    pub fn send_in(&mut self, view: &RegionView, now: u64) -> Option<ServerKey> {
        let call = TestCall::new(1, 0, 10);
        let placement = self.servers.place(&call.request(), view, at(now)).ok()?;
        let sent = self
            .servers
            .record_sent(&placement, &call.request(), at(now));
        complete(&mut self.servers, &sent, at(now));
        Some(placement.key)
    }
}
