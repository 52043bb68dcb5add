//! A fleet in virtual time: the real decision code of controllers, engines and the platform over a network that fails.
//!
//! One thread, one random stream from one seed, no clock: the same seed and steps give the same run to the byte.

mod actions;
mod asking;
mod bundle_forge;
mod callers;
mod claims;
mod clock;
mod commanding;
mod controller;
mod engine;
mod faults;
mod fleet;
mod gateway;
mod history;
mod network;
mod order_sends;
mod planted;
mod questions;
mod schedule;
mod serving;
mod store;
mod streams;
mod table_calls;
mod watching;

pub mod authority_oracle;
pub mod bundle_oracle;
pub mod bundles;
pub mod caller_oracle;
pub mod rollout;

pub use callers::{Ask, Caller, CallerEnd, CallerHistory};
pub use controller::ProcessState;
pub use fleet::{Fleet, FleetPlan, ZonePlan};
pub use history::{EngineEntry, History, OrderSend, SendEnd};
pub use network::{Place, Weather};
pub use planted::PlantedFault;
pub use schedule::Schedule;
pub use store::StoreTrouble;
