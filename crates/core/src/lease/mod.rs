//! The lease that makes one controller of a zone the one that orders its engines.
//!
//! Two rows of the table service carry it. `lease/{zone}` names the holder and changes with every renewal.
//! `epoch/{zone}` holds the fencing token alone and is written only when the lease is taken, in the same
//! transaction; orders check its version, so a renewal never makes an order's commit fail.
//!
//! - The holder counts its lease from before it sent the renewal, and [`LeaseKeeper::authority`] ends a margin
//!   before the lease does, on the holder's own monotonic clock.
//! - A challenger times an unchanged row on its own clock from when it first read that version. No two clocks
//!   are compared; the margin covers how much two clocks may differ in rate.
//! - Every write is a compare-and-set on the version of `lease/{zone}` and carries an attempt name that no
//!   other attempt has. A lost answer is settled by reading the row back and looking for that name.
//! - Each taking raises the fencing token by one, and the first taking in an era of the store (see [`crate::table::StorePosition`])
//!   raises it to the first token of that era, which is above all that were used before, whether a restored row names them or not.
//! - `epoch/{zone}/{era}` keeps the highest token of an era: versions are given out again after a restore, so a late write whose condition
//!   holds by chance may put an older lease row in the place of the era's, but not there.
//! - A row whose token is of an earlier era than the store, and a missing row in a restored store, prove nothing about who holds the
//!   lease: it is taken a whole lease after they were first seen, or at once by a process whose own renewals prove that nobody else can
//!   hold it. A write that commits in a later era than its token's gives no lease.
//!
//! [`LeaseKeeper`] does no I/O: it is fed events with the present instant and returns effects. At most one
//! table call of a keeper is outstanding, and the caller answers each call exactly once.

mod config;
mod event;
mod keeper;
mod observed;
mod record;
mod table_call;

pub use config::LeaseTimings;
pub use event::{LeaseEffect, LeaseEvent};
pub use keeper::LeaseKeeper;
pub use observed::TOKENS_PER_ERA;
pub use record::{AttemptName, Authority, EpochRow, LeaseRow, epoch_key, era_epoch_key, lease_key};
pub use table_call::{CallId, TableAnswer, TableCall};
