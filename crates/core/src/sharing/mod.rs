//! How callers who compete share what a pool's engines can do.
//!
//! Who decides: whoever admits a request, a placer or the node itself ([`crate::routing::pool::PoolRouter::admit`]).
//! It asks [`UseLedger::standing`] how the request's tenant and kind stand, and a request of one that had more than its
//! share must find a shorter queue to be taken in time. What that leaves free is the room of those below their share.
//!
//! - [`fair_share`]: the max-min fair share of a tenant.
//! - [`tally`]: what one node admitted, in sums that fade.
//! - [`account`]: one pool's sums over all nodes, and whether callers compete for it now.
//! - [`word`]: what nodes tell each other; a word replaces its sender's earlier one.

mod account;
mod config;
mod decayed;
mod fair_share;
mod ledger;
mod tally;
mod word;

pub use account::Standing;
pub use config::SharingSettings;
pub use fair_share::fair_share;
pub use ledger::{Charge, TenantRequest, UseLedger};
pub use tally::KIND_RANKS;
pub use word::{KindCounts, MOST_TENANTS, PoolUse, TenantUse, UseWord};
