//! The course of one request from admission to its final outcome.
//!
//! [`machine::RequestMachine`] is a pure state machine: a driver hands it [`event::Event`]s and carries out the
//! [`event::Action`]s it returns, in their order. The gateway's threads and the virtual-time proofs drive the
//! same code. Protocol between driver and machine:
//!
//! 1. Make a machine with [`machine::RequestMachine::new`] and hand it [`event::Event::Admitted`], or
//!    [`event::Event::NotAdmitted`] so that a refusal of a key says only what is so.
//! 2. Carry out each action. Actions that ask for something (`Choose`, `Claim`, `LookUpClaim`, `Dispatch`,
//!    `Resume`, `AskRunState`, `AskRetry`) are answered by exactly one event, except that an opened stream goes on with
//!    `Part` events until `Disconnected`. `Emit`, `Cancel`, `Release` and `Settle` are not answered.
//! 3. Events of an attempt that the machine has left are ignored, so late ones do no harm.
//! 4. Stop after `Finish` or `Detach`; whatever is handed in later has no effect, but for one thing: while
//!    [`machine::RequestMachine::awaits_claim`] says so, the claim's answer is still handed in, and its `Release`
//!    carried out.

mod claiming;
pub mod event;
mod forwarding;
mod looking;
pub mod machine;
mod outcome;
mod reading;
mod recovery;
pub mod specification;
pub mod stream_check;
