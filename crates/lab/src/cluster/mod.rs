//! A whole small deployment as threads of one process.

pub mod addresses;
pub mod deployment;
pub mod engine_log;
pub mod layout;
pub mod publish;
pub mod readiness;
pub mod running;
mod tenants;
