//! The requests a second that an engine in need takes from all nodes together.
//!
//! Every node sends to every engine, and none sees what the others send, so a limit can't be kept by each node for itself.
//! One node owns the slots of an engine: the first by rendezvous hashing of those that know limits ([`slot_owner`]). A node that
//! wants to send a request there asks it for a slot, and sends when the slot has come or goes elsewhere:
//!
//! ```text
//! rate of the owner = limit * part
//! part               = 1          where it hears FULL_FROM of all nodes or more
//!                    = heard/all  otherwise
//! slot               = the next free one, spaced by 1 / rate; an idle engine has up to SAVED slots besides
//! granted            if the slot comes within the longest wait of the request, denied with the time until it otherwise
//! ```
//!
//! Nodes that can't reach each other choose different owners, of which each reaches the fewer the more there are, so that the sum
//! stays near the limit however the fleet is split: a node that reaches nobody has its own part without a message.

mod estimate;
mod limit;
pub mod max_wait;
mod message;
pub mod slot_owner;
mod slots;

pub use estimate::{LimitChange, LimitEstimate, ResponseLimit};
pub use limit::RateLimit;
pub use message::{LimitNotice, SlotOutcome, SlotRequest, SlotResponse};
pub use slots::{Slot, SlotSchedule};
