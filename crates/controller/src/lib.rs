//! The controller: membership, engine monitoring, bundle distribution, and the zone's lease holder.

pub mod gossip;
