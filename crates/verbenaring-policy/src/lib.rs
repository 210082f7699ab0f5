//! Decision logic of the verbenaring gateway: admission, scheduling, routing,
//! membership and configuration.
//!
//! This crate uses no sockets, clocks or async tasks. Every decision takes its
//! input as values, with the time as a [`time::Moment`], and returns a value.
//! The daemon, the experiment tool and the model checker therefore run the same
//! code.

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
pub mod memory;
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
mod straggler_settings;
pub mod summary;
pub mod time;
pub mod usage;

pub use error::{Error, Result};
