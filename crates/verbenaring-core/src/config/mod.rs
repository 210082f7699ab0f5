//! Routes and servers: where they come from and how they stay current.

pub mod source;
pub mod sync;
