//! The operator's commands.

mod bundle;
mod client;
pub mod cordons;
pub mod duties;
pub mod explain;
mod explain_pauses;
mod explain_regions;
mod files;
mod keygen;
mod node_page;
pub mod pool_engines;
mod print;
mod print_fleet;
pub mod quarantine;
pub mod regions;
mod rollout;
mod table;
mod views;

pub use bundle::run as run_bundle;
pub use views::{run_engines, run_requests, run_status, run_usage};
