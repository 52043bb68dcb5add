//! The controller: watches the fleet, distributes bundles and, in one process per zone, orders engines.
//!
//! Threads here only carry out; every decision is taken by `shelfjunction-core`, with time handed in.

pub mod backoff;
pub mod bundle;
pub mod command;
pub mod config;
pub mod context;
pub mod demand;
mod engine_watch;
pub mod errors;
pub mod fleet;
pub mod gossip;
mod handle;
mod http;
mod machine_watch;
mod membership_watch;
pub mod metrics;
mod net;
pub mod peer;
mod tenant_rates;

pub use config::ControllerConfig;
pub use context::Services;
pub use errors::StartError;
pub use handle::{Controller, ControllerHandle};
