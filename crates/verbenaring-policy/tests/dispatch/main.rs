//! Choice of servers and regions: each test replays the load that a decision answers.

mod components;
mod fixture;
mod forecast;
mod place;
mod presence;
mod regions;
mod routes;
mod servers;
mod stale_reports;
mod watcher;
