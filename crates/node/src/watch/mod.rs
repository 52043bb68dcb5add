//! Follows the store: the configuration and the list of engines, a thread each.

mod backoff;
mod configuration;
mod engines;

pub(crate) use configuration::run as configuration;
pub(crate) use engines::run as engines;
