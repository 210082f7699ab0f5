//! The path of a call: accepted, placed, sent, relayed.

pub mod call;
pub mod choose;
pub mod controller;
pub mod event;
pub mod exchange;
pub mod refusal;
pub mod relay;
