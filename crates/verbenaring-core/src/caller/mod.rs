//! Connections of callers and the bodies of their answers.

pub mod body;
pub mod listener;
