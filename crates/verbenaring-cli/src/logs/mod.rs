//! Log lines of several processes, read after a failure.

pub mod explain;
pub mod line;
pub mod summary;
