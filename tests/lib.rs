//! Support shared by the proofs: fuzzing, replay and process runs.
#![allow(clippy::unwrap_used)]

pub mod fuzzing;
pub mod world;
