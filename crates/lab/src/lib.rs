//! Stand-ins, load and experiment tools.
pub mod platform;
