//! How large a scale run is and how long its phases last.

use std::time::Duration;

/// Nodes of the sizes that the capacity page quotes.
pub const FULL_SIZES: [usize; 5] = [25, 50, 100, 205, 410];

/// Settings of a scale run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOptions {
    /// Numbers of nodes, in the order they are run.
    pub sizes: Vec<usize>,
    /// Tenants of the bundle.
    pub tenants: usize,
    /// Longest wait for everyone to know something.
    pub patience: Duration,
    /// Time that a new fleet rests for each node before it is measured, beside [`ScaleOptions::rest`].
    pub settle_per_node: Duration,
    /// Time over which the steady state is measured.
    pub steady: Duration,
    /// Time that a zone is cut off, and that the store is away.
    pub outage: Duration,
    /// Nodes restarted one after another.
    pub restarts: usize,
    /// Time between two restarts.
    pub restart_interval: Duration,
    /// Rest before a measurement, for what is under way to arrive.
    pub rest: Duration,
}

impl ScaleOptions {
    /// The run that the capacity page quotes; it took 293 to 371 s, and is meant to take five minutes at most.
    pub fn full() -> Self {
        Self {
            sizes: FULL_SIZES.to_vec(),
            tenants: 4_800,
            patience: Duration::from_secs(30),
            settle_per_node: Duration::from_millis(20),
            steady: Duration::from_secs(7),
            outage: Duration::from_secs(4),
            restarts: 3,
            restart_interval: Duration::from_millis(1_000),
            rest: Duration::from_secs(5),
        }
    }

    /// A run for correctness alone.
    pub fn small() -> Self {
        Self {
            sizes: vec![14],
            tenants: 40,
            settle_per_node: Duration::from_millis(10),
            steady: Duration::from_secs(2),
            outage: Duration::from_secs(2),
            rest: Duration::from_secs(1),
            restarts: 1,
            ..Self::full()
        }
    }
}
