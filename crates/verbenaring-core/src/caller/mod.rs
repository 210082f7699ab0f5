//! Towards callers: connections and answers.

pub mod body;
pub mod listener;
