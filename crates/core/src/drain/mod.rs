//! Planned changes of engines: which may begin, how long each may take, and when one is given up.
//!
//! A change takes an engine out of service by a drain, waits until the engine itself reports nothing in flight,
//! and only then alters it; [`crate::orders::next_action`] gives the orders. Nothing here cancels work. A change
//! whose engine does not run empty in time is given up and the engine is put back into service.
//!
//! An engine on a leaving machine is drained and stays so; the time limit does not apply to it, and its streams
//! end by themselves.

mod coordinator;
mod floors;
mod goals;
mod rollout;
mod view;

pub use coordinator::{ChangeCoordinator, ChangeDecision, ChangeOutcome};
pub use floors::{BlockedByFloor, may_leave_service};
pub use rollout::{WeightQueues, roll_requests};
pub use view::{ChangeLimits, ChangeRequest, EngineView};
