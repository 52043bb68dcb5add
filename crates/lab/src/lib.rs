//! Stand-ins, load and experiment tools.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]

pub mod calibrate;
pub mod caller;
pub mod cluster;
pub mod command;
pub mod demo;
pub mod engine;
pub mod fault_soak;
pub mod fleet;
pub mod footprint;
pub mod load;
pub mod platform;
pub mod relay;
pub mod replay;
pub mod report;
pub mod scale;
pub mod simulate;
pub mod soak;
pub mod users_platform;
