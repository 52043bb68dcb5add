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
//! - Each taking raises the fencing token by one.
//!
//! [`LeaseKeeper`] does no I/O: it is fed events with the present instant and returns effects. At most one
//! table call of a keeper is outstanding, and the caller answers each call exactly once.

mod config;
mod event;
mod keeper;
mod record;
mod table_call;

pub use config::LeaseTimings;
pub use event::{LeaseEffect, LeaseEvent};
pub use keeper::LeaseKeeper;
pub use record::{AttemptName, Authority, EpochRow, LeaseRow, epoch_key, lease_key};
pub use table_call::{CallId, TableAnswer, TableCall};
