//! Routes and servers: their source, and how they are kept current.

pub mod builds;
pub(crate) mod origins;
pub mod quarantine;
pub(crate) mod shared_read;
pub mod source;
pub mod sync;
