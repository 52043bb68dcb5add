//! Rate limits of engines, which apply to the requests of all nodes together.
//!
//! Every node sends requests to every engine without seeing the requests of other nodes, so no node can enforce a limit alone. One
//! node owns the slots of an engine: the first by rendezvous hashing among the nodes that support rate limits
//! ([`slot_owner`]). A node that wants to send a request to the engine asks the owner for a slot, then waits for the slot or
//! chooses another engine:
//!
//! ```text
//! rate of the owner = limit * share
//! share             = 1                      if the owner reaches MIN_FULL_LIMIT_QUORUM of all nodes or more
//!                   = reached / all nodes    otherwise
//! slot              = the next free one, spaced by 1 / rate; after an idle period, up to MAX_BURST_SLOTS more are free at once
//! granted           if the slot is within the request's maximum wait; otherwise denied with the time until the slot
//! ```
//!
//! If the fleet is partitioned, each partition chooses its own owner, which uses a share of the limit according to the number
//! of nodes that it reaches. The shares of all partitions add up to less than 1.5. An isolated node owns its share without any
//! messages.

mod belief;
mod limit;
pub mod max_wait;
mod message;
pub mod regional_owner;
pub mod slot_owner;
mod slots;

pub use belief::{LimitChange, LimitEstimate, ResponseLimit};
pub use limit::RateLimit;
pub use message::{LimitNotice, SlotOutcome, SlotRequest, SlotResponse};
pub use slots::{Slot, SlotSchedule};
