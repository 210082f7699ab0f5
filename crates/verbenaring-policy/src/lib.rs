//! Decisions of the verbenaring gateway.
//!
//! This crate has no sockets, clocks or tasks. Every decision takes typed
//! views and a [`time::Moment`] and returns a value, so the daemon, the
//! experiment tool and the model checker run the same code.

pub mod admission;
pub mod allotment;
pub mod contract;
pub mod error;
pub mod fairness;
pub mod id;
pub mod layout;
pub mod loan;
pub mod outcome;
pub mod request;
pub mod scheduler;
pub mod time;
pub mod usage;

pub use error::{Error, Result};
