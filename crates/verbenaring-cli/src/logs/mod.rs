//! Analysis of log files of several VMs after a failure.

pub mod explain;
pub mod line;
pub mod summary;
