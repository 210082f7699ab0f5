//! Dispatch of calls to backend servers by route rules.
//!
//! A call enters at any VM, its route says what may be done with it
//! ([`call`]), a server of the own region is chosen ([`table`]) by the
//! predicted time to its first event ([`forecast`]) and by how the server
//! treated earlier calls ([`evidence`]). Servers that start are approached
//! slowly ([`pace`]). Another region is used when it answers sooner
//! ([`spill`]). [`presence`] follows the other VMs, [`watcher`] tells which of them
//! read the configuration source.

pub mod call;
pub mod changes;
pub mod evidence;
pub mod forecast;
pub mod pace;
pub mod place;
pub mod presence;
pub mod prompt;
pub mod server;
pub mod settings;
pub mod spill;
pub mod table;
pub mod usage;
pub mod watcher;
