//! Decisions of the serving system: no socket, file, thread, clock or global randomness.
//!
//! Time and seeds come in as arguments, so the same code runs in the real processes, the fuzzers and the
//! simulator. Each module holds one kind of decision; effects are returned as values for a caller to carry out.

pub mod admission;
pub mod autoscaling;
pub mod buffering;
pub mod bundle;
pub mod connections;
pub mod cordon;
pub mod demand;
pub mod drain;
pub mod engine;
pub mod engine_signals;
pub mod forwarding;
pub mod identity;
pub mod lease;
pub mod ledger;
pub mod machine;
pub mod membership;
pub mod metering;
pub mod orders;
pub mod outcome;
pub mod placing;
pub mod quarantine;
pub mod rate_limit;
pub mod reachability;
pub mod request;
pub mod residency;
pub mod retry;
pub mod roles;
pub mod routing;
pub mod service_class;
pub mod setting;
pub mod sharing;
pub mod spill;
pub mod streams;
pub mod table;
pub mod tenancy;
pub mod time;
pub mod topology;
pub mod watching;
