//! State machines of `proptest-state-machine` over the virtual fleet, and how they are run.

pub mod authority;
pub mod bundles;
pub mod coverage;
pub mod runner;
pub mod serving;
mod strategies;

use crate::world::PlantedFault;
use proptest::test_runner::{Config, RngSeed};
use std::cell::Cell;

/// Seed of the runs in continuous integration; the same verdict every time.
const FIXED_SEED: u64 = 0x5e1f;

thread_local! {
    /// Fault planted into the fleets that this thread makes.
    pub static PLANTED: Cell<Option<PlantedFault>> = const { Cell::new(None) };
}

/// Settings of a run that gives the same verdict every time and keeps no files.
pub fn fixed() -> Config {
    with_seed(FIXED_SEED)
}

/// Settings of a run from the given seed.
pub fn with_seed(seed: u64) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        verbose: 0,
        ..Config::default()
    }
}
