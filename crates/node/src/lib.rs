//! One machine's process for forwarded requests: callers on one side, engines on the other, the platform's store above.
//!
//! Decisions are `shelfjunction_core`'s; how callers, engines and the store are spoken to stands behind the traits of
//! [`ports`]. Here are the threads between the two: one for each caller's connection, which polls the caller and the
//! engine at once, one for each watched table, and one that frees KV caches nobody fetches.

#![forbid(unsafe_code)]

mod accepting;
mod asking;
mod belief_log;
mod commanding;
mod config;
mod connections;
mod context;
mod cordons;
mod course;
mod duties;
mod engine_contact;
mod engine_signals;
mod handle;
mod links;
mod metering;
mod metrics;
mod operator_page;
mod pace_metrics;
mod peers;
mod placing;
pub mod ports;
mod quarantine;
mod questions;
mod rate_limits;
mod recovering;
mod regions;
mod relay;
mod releasing;
mod repeats;
mod spill;
mod streams;
mod tenant_rates;
mod watch;

pub use config::{AUTOSCALING, DirectorySettings, DutySettings, NodeConfig, USAGE_REPORTING};
pub use context::NodeState;
pub use handle::{Adapters, NodeHandle, StartError};
