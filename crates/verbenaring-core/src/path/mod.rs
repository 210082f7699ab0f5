//! Request path: accepts a call, chooses a target, sends the call and relays
//! the answer.

mod access;
mod admit;
mod attempts;
pub mod call;
pub mod choose;
mod collect;
pub mod controller;
pub mod event;
pub mod exchange;
pub mod framing;
mod hedge;
pub mod origin;
pub mod overdue;
pub(crate) mod quota;
pub mod refusal;
pub mod relay;
pub mod reserve;
pub mod statement;
mod upload;
pub mod work;
