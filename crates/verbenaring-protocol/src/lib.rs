//! Types that verbenaring processes exchange with each other and with operators.
//!
//! The types of operators' documents are generated from the JSON Schemas in
//! `schemas/`; [`document`] converts them to checked types before the rest of the
//! gateway uses them. [`control`] holds the calls between nodes, [`node`] answers
//! about entry VMs and operations, and [`operator`] the operators' interface.

pub mod control;
pub mod document;
pub mod error;
pub mod header;
pub mod node;
pub mod operator;
pub mod rules;
pub mod stored;
pub mod timeline;

#[allow(missing_docs, dead_code, clippy::derivable_impls)]
pub mod generated {
    //! Types generated from the JSON Schemas in `schemas/`.
    pub mod contract;
    pub mod region;
    pub mod server;
    pub mod settings;
    pub mod stop;
}

pub use error::{Error, Result};
