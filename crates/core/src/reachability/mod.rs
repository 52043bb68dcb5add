//! Whether a node reaches the engines, as distinct from whether an engine lives, and which other node relays for it meanwhile.

pub mod reach;
pub mod relay;
