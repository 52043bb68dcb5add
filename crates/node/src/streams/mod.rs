//! Streams that are continued at another engine ([`shelfjunction_core::streams`]).

mod metrics;
mod origins;
mod receiving;
mod software_versions;

pub(crate) use metrics::StreamMetrics;
pub(crate) use origins::{KnownFrom, StreamOrigins};
pub(crate) use receiving::receive;
pub(crate) use software_versions::send_software_versions;
