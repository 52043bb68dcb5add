//! Command of the zone: the thread that drives the lease and the orders, and the threads that carry them out.
//!
//! [`driver`] feeds events to the commander of `core` and hands its effects to [`executor`]. While the lease is
//! held, [`planning`] sets what each engine is wanted to be.

mod driver;
mod executor;
mod link;
mod planner_input;
mod planning;
mod status_board;
mod weight_watch;

pub use driver::run;
pub use executor::Executor;
pub use link::{CommandLink, CommandStatus};
pub use weight_watch::run as run_weight_watch;
