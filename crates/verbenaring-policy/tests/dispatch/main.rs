//! Choice of servers and regions: each test replays the load that a decision answers.

mod duty;
mod fixture;
mod forecast;
mod herd;
mod models;
mod place;
mod presence;
mod regions;
mod routes;
mod servers;
