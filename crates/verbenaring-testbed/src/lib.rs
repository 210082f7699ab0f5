//! Stand-ins for the outside systems of the gateway.
//!
//! Each stand-in speaks the published protocol of the system that it stands
//! for over a real socket on loopback, runs inside the caller's runtime and
//! takes its time from that runtime's clock. Faults can be set while it runs.

pub mod answer;
mod batch;
pub mod client;
pub mod deployment;
pub mod engine;
pub mod error;
pub mod experiment;
mod generation;
mod http;
mod keyspace;
pub mod service;
pub mod store;
mod wire;

pub use answer::expected_answer;
pub use engine::{
    CrashPoint, EngineCounters, EngineFaults, EngineOrder, EngineServer, EngineSettings,
};
pub use error::{Error, Result};
pub use service::{ExecutedCall, ServiceFaults, ServiceServer, ServiceSettings};
pub use store::{StoreCounters, StoreFaults, StoreServer, StoreSettings};
