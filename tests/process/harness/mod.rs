//! Starts a whole small deployment as real programs.

pub mod deployment;
pub mod program;
