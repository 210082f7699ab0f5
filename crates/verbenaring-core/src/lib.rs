//! Request path of the verbenaring gateway.
//!
//! This crate is independent of the platform it runs on: a
//! [`wire::WireProtocol`] reads and writes the headers of callers and servers, a
//! [`config::source::ConfigSource`] provides routes and servers. The modules
//! follow a request: [`caller`] accepts it, [`path`] chooses a target and sends
//! it, [`upstream`] holds the connections to servers and VMs. [`cluster`]
//! exchanges state with other VMs, [`config`] keeps routes and servers current,
//! [`observe`] writes logs and metrics.

pub mod caller;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod error;
pub mod node;
pub mod observe;
pub mod path;
pub mod settings;
mod shutdown;
pub mod state;
pub mod supervisor;
pub mod upstream;
pub mod wire;

pub use error::{Error, Result};
