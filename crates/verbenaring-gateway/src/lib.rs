//! Daemon of the verbenaring inference gateway.
//!
//! [`controller`] passes each request through a chain of filters, from
//! authentication to accounting. Decisions are made by the crate
//! `verbenaring-policy`; this crate adds sockets, clocks and tasks.

pub mod account;
pub mod admit;
pub mod amend;
pub mod answer;
pub mod app;
pub mod attempt;
pub mod authenticate;
pub mod backend;
pub mod body;
pub mod catalog;
pub mod check;
pub mod cluster;
pub mod config;
pub mod connector;
pub mod control;
pub mod controller;
pub mod crashes;
pub mod entry;
pub mod error;
pub mod etcd;
pub mod event;
pub mod exchange;
pub mod fetch;
pub mod guard;
pub mod handler;
pub mod handshake;
pub mod identify;
pub mod layout;
pub mod links;
pub mod listener;
pub mod listing;
pub mod live;
pub mod metrics;
pub mod node;
pub mod operation;
pub mod operator;
pub mod order;
pub mod outage;
pub mod peer;
pub mod poller;
pub mod records;
pub mod refusal;
pub mod relay;
pub mod reload;
pub mod replica;
pub mod report;
pub mod resume;
pub mod route;
pub mod schedule;
pub mod server;
pub mod status;
pub mod store;
pub mod timeline;
pub mod tls;
mod upload;
pub mod usage;
pub mod view;
pub mod watcher;
pub mod work;

pub use error::{Error, Result};
pub use verbenaring_core::clock;
