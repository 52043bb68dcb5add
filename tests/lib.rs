//! Support shared by the proofs: fuzzing, replay and process runs.
