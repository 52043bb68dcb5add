//! Faults of whole regions, and the paths between them.

use super::disturbances::Struck;
use super::schedule::{Fault, Pace, ScheduledFault, Targets};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What goes wrong with a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionFault {
    /// Nodes of two regions hear nothing of each other.
    Cut(usize, usize),
    /// Nodes of the second region hear nothing of those of the first.
    CutOneWay(usize, usize),
    /// What nodes of two regions send to each other arrives so many milliseconds later.
    Slow(usize, usize, u64),
    /// All placers of a region are killed and started again.
    KillPlacers(usize),
    /// All engines of a region end without a word and others start at their places.
    StopEngines(usize),
    /// Nothing passes between the nodes of a region and the store.
    CutOffStore(usize),
    /// The settings of a node cease to name a region that is not its own, and name it again later.
    ForgetRegion {
        /// The node.
        node: usize,
        /// The region.
        region: usize,
    },
}

impl RegionFault {
    /// Nodes that it strikes. What nodes of two regions tell each other may concern those of a third.
    pub fn struck(self, regions: usize) -> Struck {
        match self {
            Self::Cut(..) | Self::CutOneWay(..) | Self::Slow(..) => Struck::All,
            Self::KillPlacers(region) | Self::CutOffStore(region) => Struck::Region { region, regions },
            Self::ForgetRegion { node, .. } => Struck::Node(node),
            Self::StopEngines(_) => Struck::Nobody,
        }
    }

    /// Whether nodes are started anew.
    pub fn restarts(self) -> bool {
        matches!(self, Self::KillPlacers(_))
    }
}

/// Number of the stream of draws for regions.
const REGIONS_STREAM: u64 = 3;

/// Pauses between two faults of regions, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 800..3_000;

/// Lengths of faults of regions, in milliseconds: longer than a placer may be silent and than a node counts as alive.
const LENGTH_MILLIS: std::ops::Range<u64> = 500..7_000;

/// Delays between regions, in milliseconds: up to beyond the longest wait for an answer.
const DELAY_MILLIS: std::ops::Range<u64> = 10..250;

/// Draws the faults of regions from a stream of their own, so that a seed gives the other faults that it always gave; none in a soak
/// without regions.
pub(super) fn draw(seed: u64, length: Duration, targets: Targets, pace: Pace) -> Vec<ScheduledFault> {
    if targets.regions < 2 {
        return Vec::new();
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(REGIONS_STREAM);
    let mut schedule = Vec::new();
    let mut at = pace.stretched(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
    while at < length {
        schedule.push(ScheduledFault {
            at,
            lasts: Duration::from_millis(random.random_range(LENGTH_MILLIS)),
            fault: Fault::Region(draw_one(&mut random, targets), targets.regions),
        });
        at += pace.stretched(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
    }
    schedule
}

fn draw_one(random: &mut ChaCha8Rng, targets: Targets) -> RegionFault {
    let region = random.random_range(0..targets.regions);
    let other = (region + random.random_range(1..targets.regions)) % targets.regions;
    let node = random.random_range(0..targets.nodes);
    let delay = random.random_range(DELAY_MILLIS);
    match random.random_range(0..20) {
        0..4 => RegionFault::Cut(region, other),
        4..8 => RegionFault::CutOneWay(region, other),
        8..11 => RegionFault::Slow(region, other, delay),
        11..14 => RegionFault::KillPlacers(region),
        14..17 => RegionFault::StopEngines(region),
        17..19 => RegionFault::CutOffStore(region),
        _ => RegionFault::ForgetRegion {
            node,
            region: (node + random.random_range(1..targets.regions)) % targets.regions,
        },
    }
}
