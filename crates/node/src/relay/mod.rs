//! Connections to engines through other nodes, for a node that does not reach an engine itself
//! ([`shelfjunction_core::reachability`]).
//!
//! A tunnel carries bytes only: the node that took the request from its caller speaks to the engine, counts, retries and answers
//! as over a link of its own. A relay connects to engines itself, so a tunnel never passes two relays.

mod asking;
mod metrics;
mod offering;
mod serving;
mod socket;
mod tunnel;

pub(crate) use asking::{RelayError, Relays, refresh_offers};
pub(crate) use metrics::RelayMetrics;
pub(crate) use offering::receive;
pub(crate) use serving::{ServedTunnels, serve};
pub(crate) use tunnel::Tunnel;

pub(crate) use asking::open;
