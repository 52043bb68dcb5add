//! The gateway: callers' API, administration API, admission, routing and streaming.

pub mod admin;
mod admin_context;
mod admission_gate;
mod claims;
mod config;
mod context;
mod course;
mod errors;
mod gateway;
mod identifiers;
mod metrics;
mod registry;
mod serve;
mod tenant_rates;
mod usage;
mod watch;

pub use config::{GatewayConfig, GatewayTimings, RequestLimits};
pub use context::Backends;
pub use errors::StartError;
pub use gateway::{Gateway, GatewayHandle};
