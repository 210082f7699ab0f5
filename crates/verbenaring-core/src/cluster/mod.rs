//! The other VMs: reports, directory and snapshots.

pub mod directory;
pub mod report;
pub mod snapshot;
