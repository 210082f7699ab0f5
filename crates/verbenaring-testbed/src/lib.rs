//! Stand-ins for the external systems that the gateway talks to, and
//! experiments with its policies.
//!
//! Each stand-in speaks the published protocol of the system that it replaces
//! over a real loopback socket. It runs as tasks on the caller's Tokio runtime
//! and uses the clock of that runtime, so tests can pause it. Faults can be set
//! while a stand-in runs.

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
    StartedPrompt,
};
pub use error::{Error, Result};
pub use service::{ExecutedCall, ServiceFaults, ServiceServer, ServiceSettings, UnframedAnswer};
pub use store::{StoreCounters, StoreFaults, StoreServer, StoreSettings};
