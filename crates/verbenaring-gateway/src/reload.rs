//! Reload of the settings without a restart.
//!
//! Replaces the credentials, the log level, and the limits that are read per
//! connection or request. Other changed fields keep their old value and are
//! reported. Open connections and requests are not interrupted.

use std::net::SocketAddr;
use std::path::Path;

use crate::config::{LimitSettings, NodeSettings};
use crate::error::Result;
use crate::live::NodeCredentials;
use crate::node::RunningNode;

/// Result of a reload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadReport {
    /// Changed fields that take effect only after a restart.
    pub restart_fields: Vec<&'static str>,
}

impl RunningNode {
    /// Reads a settings file and applies it; an invalid file changes nothing.
    pub fn reload_file(&self, file: &Path) -> Result<ReloadReport> {
        Ok(self.reload(&NodeSettings::load(file)?))
    }

    /// Applies validated settings as far as no restart is needed.
    pub fn reload(&self, settings: &NodeSettings) -> ReloadReport {
        let core = self.core();
        let live = &core.live;
        let current = live.credentials();
        // Enabling or disabling TLS needs a restart, so only present values are replaced.
        let credentials = NodeCredentials {
            cluster_keys: settings.cluster_keys.clone(),
            node_tls: replaced(&current.node_tls, &settings.node_tls),
            caller_tls: replaced(&current.caller_tls, &settings.caller_tls),
        };
        live.set_credentials(credentials);
        live.set_limits(LimitSettings {
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

/// The new value if both are present, otherwise the current one.
fn replaced<T: Clone>(current: &Option<T>, new: &Option<T>) -> Option<T> {
    match (current, new) {
        (Some(_), Some(new)) => Some(new.clone()),
        (current, _) => current.clone(),
    }
}

/// Names of the fields that differ and take effect only after a restart.
fn restart_fields(running: &NodeSettings, new: &NodeSettings) -> Vec<&'static str> {
    // No `..`, so that a new field does not compile until it is listed here or
    // replaced by the reload.
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
    let old_limits = &running.limits;
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
            limits.connect_timeout != old_limits.connect_timeout,
        ),
        (
            "max_connections",
            limits.max_connections != old_limits.max_connections,
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

/// Whether the addresses are equal; port 0 in `new` matches any bound port.
fn same_address(running: SocketAddr, new: SocketAddr) -> bool {
    running == new || new.port() == 0 && running.ip() == new.ip()
}
