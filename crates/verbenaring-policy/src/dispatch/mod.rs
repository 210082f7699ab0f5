//! Dispatch of calls to backend servers according to routes.
//!
//! A call may arrive at any VM. Its route states how often and where it may run
//! ([`call`]). A server of the VM's own region is chosen ([`place`]) by the predicted
//! time to its first event ([`forecast`]) and by its health in earlier calls
//! ([`health`]). A process of a server that has replaced another one is told from it
//! ([`process`]). Calls to cold servers are rate-limited ([`pace`]) and sent by one VM
//! ([`ownership`]), those to servers that name a limit by a few ([`limit`]), and those
//! to servers that fail when they refuse many by each in its own places ([`brittle`]); what
//! else servers say of themselves binds each VM ([`statement`]). Calls whose prompts
//! crash servers are refused ([`suspect`]), as far as the calls that servers leave behind
//! when they end ([`run`], [`doubt`]) and the [`evidence`] of other VMs show it. Another region is
//! used if it answers sooner or is much less busy ([`spill`]), and another VM of the region
//! if this one has lost [`contact`] with the servers. While callers ask for more than the
//! engines can do, [`shortage`] says which calls are admitted. Retries come from the VM's
//! share of a budget ([`retry_share`]), calls that take longer than others get a second
//! attempt ([`hedge`]), and the quotas of tenants bind all VMs together ([`allowance`]).
//! [`presence`] tracks the
//! other VMs, [`standstill`] notices when this one did not run, [`relay`] decides to
//! which of them a VM reports, [`watcher`] decides which VMs watch the configuration
//! source, and [`changes`] passes their view of the servers on. Before a configuration is
//! published, [`review`] finds what in it has no effect.

pub mod allowance;
mod allowance_account;
mod allowance_meter;
mod allowance_parts;
pub mod brittle;
pub mod build;
pub mod call;
pub mod candidate;
pub mod changes;
pub mod contact;
pub mod difference;
pub mod doubt;
pub mod evidence;
pub mod forecast;
mod former;
pub mod health;
pub mod hedge;
pub mod in_flight;
pub mod limit;
pub mod origin;
pub mod ownership;
pub mod pace;
pub mod place;
pub mod presence;
pub mod process;
pub mod prompt;
pub mod rate;
pub mod region_load;
pub mod relay;
mod retry_pool;
pub mod retry_share;
pub mod review;
pub mod run;
pub mod server;
pub mod settings;
pub mod shortage;
pub mod silence;
pub mod spill;
pub mod standstill;
pub mod statement;
pub mod suspect;
mod suspicion;
pub mod table;
pub mod tenant;
pub mod watcher;
