//! Open-loop load on a running deployment, with latencies measured from each call's intended start.
//!
//! A tool that waits for one answer before it sends the next call measures a slow server less often than a fast
//! one (coordinated omission). Here every call has a time in a schedule made beforehand, and the time it waits
//! for a free sender counts as part of its latency.

pub mod collect;
pub mod config;
mod direct_call;
pub mod embedded;
mod gateway_call;
pub mod observation;
pub mod plan;
pub mod report;
mod runner;
pub mod schedule;
pub mod summary;
mod token_watch;

pub use gateway_call::completion_call;
pub use runner::{Progress, run};
