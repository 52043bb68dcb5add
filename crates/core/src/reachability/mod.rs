//! Whether a node reaches the engines, as distinct from whether an engine lives.

pub mod contact;
