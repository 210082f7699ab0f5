//! Wire types of the verbenaring gateway.
//!
//! Documents that operators write are generated from the JSON Schemas in
//! `schemas/` and converted to checked types at the border ([`document`]).
//! Types that only nodes exchange are in [`node`], those of the operators'
//! interface in [`operator`].

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
