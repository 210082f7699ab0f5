//! Pooled connections to backend servers and to other VMs.

pub mod check;
pub mod contact;
pub mod pool;
