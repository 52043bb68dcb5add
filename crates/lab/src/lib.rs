//! Stand-ins, load and experiment tools.
pub mod caller;
pub mod cluster;
pub mod load;
pub mod platform;
pub mod relay;
pub mod scale;
