//! Request path of the verbenaring gateway.
//!
//! The path does not know who speaks to it: a [`wire::WireProtocol`] reads and
//! writes the words of callers and servers, a [`config::source::ConfigSource`]
//! delivers routes and servers. The folders follow a request: [`caller`]
//! accepts it, [`path`] decides and sends, [`upstream`] holds the connections
//! to servers and VMs. [`cluster`] follows the other VMs, [`config`] keeps
//! routes and servers current, [`observe`] explains what happened.

pub mod caller;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod error;
pub mod node;
pub mod observe;
pub mod path;
pub mod settings;
pub mod state;
pub mod upstream;
pub mod wire;

pub use error::{Error, Result};
