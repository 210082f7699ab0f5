//! Logs and metrics.

pub mod logger;
pub mod metrics;
