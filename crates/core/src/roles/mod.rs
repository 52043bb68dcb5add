//! The planner that gives engines their roles.
//!
//! [`planner::Planner`] is a pure function of demand, engines and policy. [`goodput`] predicts what a split of
//! engines into roles can serve; a change is made only when the goodput it gains over the horizon repays its price.

pub mod goodput;
pub mod input;
pub mod planner;
pub mod pool;
pub mod profile;
pub mod region_sums;
pub mod regional;

pub use input::{EngineState, PlannerHold, PlannerInput, RoleChange, RoleCounts};
pub use planner::Planner;
pub use profile::EngineProfile;
