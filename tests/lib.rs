//! Support shared by the proofs: fuzzing, replay and process runs.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]
#![allow(clippy::unwrap_used)]

pub mod fuzzing;
pub mod world;
