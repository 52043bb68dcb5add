//! The bundle in force on this machine: read from the store, exchanged with peers, served to the gateway.
//!
//! A head is followed up whoever names it; the keeper checks everything for itself. Contents come from peers
//! first, so that a change travels to a machine once and not from the store to each.

mod exchange;
mod fetch;
mod peers;
mod state;
mod store_poll;

pub use exchange::{learn_announced, run as run_exchange};
pub use peers::{Peer, some_of_each_zone};
pub use state::{BundleState, head_of};
pub use store_poll::run as run_store_poll;
