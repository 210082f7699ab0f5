//! Replacement of settings without a restart.
//!
//! Credentials, the memory limits that are read per connection or request, and
//! the log level are replaced. Other changed fields are reported and stay as
//! they were. Connections and requests that are open are not cut.

use std::net::SocketAddr;
use std::path::Path;

use crate::config::{LimitSettings, NodeSettings};
use crate::error::Result;
use crate::live::NodeCredentials;
use crate::node::RunningNode;

/// What a reload left unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadReport {
    /// Fields of the settings whose change needs a restart.
    pub restart_fields: Vec<&'static str>,
}

impl RunningNode {
    /// Reads a settings file and takes it over; a bad file changes nothing.
    pub fn reload_file(&self, file: &Path) -> Result<ReloadReport> {
        Ok(self.reload(&NodeSettings::load(file)?))
    }

    /// Takes over checked settings.
    pub fn reload(&self, settings: &NodeSettings) -> ReloadReport {
        let core = self.core();
        let live = &core.live;
        let current = live.credentials();
        // Switching TLS on or off needs a restart, so both sides must be present.
        let credentials = NodeCredentials {
            cluster_keys: settings.cluster_keys.clone(),
            node_tls: replaced(&current.node_tls, &settings.node_tls),
            caller_tls: replaced(&current.caller_tls, &settings.caller_tls),
        };
        live.set_credentials(credentials);
        live.set_guards(LimitSettings {
            connect_timeout: core.settings.limits.connect_timeout,
            max_connections: core.settings.limits.max_connections,
            ..settings.limits
        });
        log::set_max_level(settings.log_level);
        ReloadReport {
            restart_fields: restart_fields(&core.settings, settings),
        }
    }
}

fn replaced<T: Clone>(current: &Option<T>, new: &Option<T>) -> Option<T> {
    match (current, new) {
        (Some(_), Some(new)) => Some(new.clone()),
        (current, _) => current.clone(),
    }
}

fn restart_fields(running: &NodeSettings, new: &NodeSettings) -> Vec<&'static str> {
    // Without `..`: a new field must be listed here or be replaced above.
    let NodeSettings {
        vm,
        data_centre,
        caller_address,
        peer_address,
        control_address,
        operator_address,
        operator_key,
        store_addresses,
        store_timeout,
        peers,
        cluster_keys: _,
        limits,
        drain,
        node_tls,
        caller_tls,
        log_level: _,
    } = new;
    let old = &running.limits;
    let changes = [
        ("vm", *vm != running.vm),
        ("region", data_centre.region != running.data_centre.region),
        ("data_centre", data_centre.name != running.data_centre.name),
        (
            "caller_address",
            !same_address(running.caller_address, *caller_address),
        ),
        (
            "peer_address",
            !same_address(running.peer_address, *peer_address),
        ),
        (
            "control_address",
            !same_address(running.control_address, *control_address),
        ),
        (
            "operator_address",
            !same_address(running.operator_address, *operator_address),
        ),
        ("drain_ms", *drain != running.drain),
        ("operator_key_digest", *operator_key != running.operator_key),
        (
            "store_addresses",
            *store_addresses != running.store_addresses,
        ),
        ("store_timeout_ms", *store_timeout != running.store_timeout),
        ("peers", *peers != running.peers),
        (
            "connect_timeout_ms",
            limits.connect_timeout != old.connect_timeout,
        ),
        (
            "max_connections",
            limits.max_connections != old.max_connections,
        ),
        ("node_tls", node_tls.is_some() != running.node_tls.is_some()),
        (
            "caller_tls",
            caller_tls.is_some() != running.caller_tls.is_some(),
        ),
    ];
    let changed = changes.into_iter().filter(|(_, changed)| *changed);
    changed.map(|(field, _)| field).collect()
}

/// Whether an address is the same; port 0 stands for the port that was bound.
fn same_address(running: SocketAddr, new: SocketAddr) -> bool {
    running == new || new.port() == 0 && running.ip() == new.ip()
}
