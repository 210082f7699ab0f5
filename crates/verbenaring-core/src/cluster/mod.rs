//! State exchanged with other VMs, and the directory of VMs for callers.

pub mod directory;
pub mod message;
pub mod report;
pub mod snapshot;
