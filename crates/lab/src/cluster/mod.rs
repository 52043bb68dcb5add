//! A whole small deployment as threads of one process.

pub mod addresses;
