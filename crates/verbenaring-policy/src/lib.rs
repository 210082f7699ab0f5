//! Decisions of the verbenaring gateway.
//!
//! This crate has no sockets, clocks or tasks. Every decision takes typed
//! views and a [`time::Moment`] and returns a value, so the daemon, the
//! experiment tool and the model checker run the same code.

pub mod admission;
pub mod allotment;
pub mod amendment;
pub mod config;
pub mod contract;
pub mod dispatch;
pub mod drain;
pub mod error;
pub mod fairness;
pub mod gossip;
pub mod hedge;
pub mod id;
pub mod layout;
pub mod lease;
pub mod ledger;
pub mod load;
pub mod loan;
pub mod membership;
pub mod operation;
pub mod outcome;
mod probing;
pub mod quarantine;
pub mod region;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod router;
pub mod scheduler;
pub mod straggler;
pub mod summary;
mod threshold;
pub mod time;
pub mod usage;

pub use error::{Error, Result};
