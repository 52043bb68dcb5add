//! What a gateway learns from controllers, engines and the table while it runs.

pub(crate) mod bundles;
pub(crate) mod cache_events;
pub(crate) mod capacity;
pub(crate) mod demand;
pub(crate) mod fleet;
pub(crate) mod fleet_view;
pub(crate) mod peer;
pub(crate) mod retention;
