//! Log output and Prometheus metrics.

pub mod logger;
pub mod metrics;
