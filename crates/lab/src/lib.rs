//! Stand-ins, load and experiment tools.

pub mod command;
pub mod engine;
