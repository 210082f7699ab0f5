//! Pooled connections to backend servers and to other VMs.

pub mod check;
mod connect;
pub mod contact;
mod filter;
pub mod history;
pub mod pool;
mod process;
pub mod request_body;
pub mod reset;
