//! Discrete-event model of a fleet: the real decisions of `core` on modelled engines, deterministic from a seed.
//!
//! What is real: routing, admission, demand estimates, the role planner, and the engines' batching, caches, fenced
//! orders and lagging reports. What is modelled: delays between processes (one constant per report path, none
//! towards engines), one controller view shared by the zones, callers that do not come back after a refusal.

pub mod catalogue;
pub mod comparison;
pub mod deployment;
pub mod policy;
pub mod statistics;
pub mod table;
pub mod trace;
pub mod workload;
pub mod world;

mod course;
mod dispatch;
mod engines;
mod gateways;
mod planning;
