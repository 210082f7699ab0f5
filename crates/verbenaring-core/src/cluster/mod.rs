//! State exchanged with other VMs, and the directory of VMs for callers.

mod allowances;
pub mod builds;
pub mod directory;
pub mod message;
mod peers;
mod receive;
mod relay;
pub mod report;
mod retries;
pub mod snapshot;
pub mod suspects;
