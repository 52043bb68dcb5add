//! Committing, sending and settling fenced orders to the engines of one zone.
//!
//! [`ZoneCommander`] is the whole decision machine of one controller for its zone: it keeps the lease
//! (see [`crate::lease`]) and, while it holds it, brings each engine to its [`EngineGoal`] one order at a time.
//! It does no I/O. The caller feeds [`CommanderEvent`]s with the present instant and carries out the
//! [`CommanderEffect`]s that come back:
//!
//! | effect | what the caller does | how it answers |
//! | --- | --- | --- |
//! | `Call` | makes the table call, with a time limit | `CommanderEvent::Answer`, exactly once per call |
//! | `SendOrder` | reads its clock again; when `not_after` has passed, sends nothing and answers `NotSent`; otherwise sends once | `CommanderEvent::OrderAnswer`, exactly once per send |
//! | `Gained`, `Lost`, `Settled`, `Rejected` | logs and counts | nothing |
//!
//! The caller also feeds `Engines` (the zone's engines in the machine list, repeated when it changes), `Status`
//! (with the earliest instant at which it can have been true, on the caller's clock), `Goal` (what the planner,
//! the bundle and the leaving list want of one engine), and `Tick` every few tens of milliseconds.
//!
//! Rules that the machine keeps:
//! - An order is committed to `engine/{zone}/{engine}` in a transaction that checks that row's version and the
//!   version of `epoch/{zone}`, and only then sent. A lost commit answer is settled by reading the row back; the
//!   same transaction is then made again, which can take effect at most once since both versions are checked.
//! - At most one order per engine is outstanding. One whose answer was lost is sent again under the same
//!   identifier until the engine gives a definite answer; nothing else is committed for that engine meanwhile.
//! - After a taking, the rows of the zone are read, then the fence is raised at every engine. No change is
//!   ordered before each engine has been fenced or has failed to answer; one that has not been fenced gets no
//!   change until it is.
//! - An engine whose incarnation changed, or which reports a fence below the holder's token, has forgotten
//!   everything: it is fenced again, with a higher sequence, and led from its fresh status to the goal.
//! - With the table service down nothing is committed, so nothing new is ordered.

mod commander;
mod config;
mod course_phase;
mod engine_course;
mod event;
mod fence;
mod record;
mod steps;

pub use commander::{CommanderPhase, ZoneCommander};
pub use config::OrderTimings;
pub use course_phase::{CoursePhase, OrderAnswer};
pub use event::{CommanderEffect, CommanderEvent};
pub use record::{EngineGoal, EngineRow, engine_key, engine_prefix};
pub use steps::next_action;
