//! Connections of callers and the bodies of their answers.

pub mod body;
pub mod connection;
pub mod listener;
