//! Steps and expectations of the bundle run.

use super::strategies::{places, trouble, weather};
use super::{PLANTED, coverage};
use crate::world::authority_oracle::Violation;
use crate::world::bundle_oracle;
use crate::world::bundles::{BundleFleet, NODES_PER_ZONE, ZONES};
use crate::world::rollout::RolloutEnd;
use crate::world::{Place, StoreTrouble, Weather};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NODES: usize = ZONES * NODES_PER_ZONE;

/// A cut-off zone is isolated after the limit, counted from the cut: no answer vouches for an instant after its question left.
const ISOLATED_AFTER: Duration = Duration::from_millis(5_000);

/// Linked zones in fair weather vouch for one another within this time.
const VOUCHED_WITHIN: Duration = Duration::from_millis(15_000);

/// "Within seconds": time from the end of every failure until the latest bundle is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// One step from outside.
#[derive(Clone, Debug)]
pub enum BundleStep {
    /// Virtual time passes, in milliseconds.
    Run(u64),
    /// An operator rolls out through a zone.
    RollOut(usize),
    /// Two operators roll out at once.
    Race(usize, usize),
    /// A node is killed.
    Kill(usize),
    /// A node is shown a forged head.
    Forged(usize),
    /// A node is shown an old head.
    Old(usize, usize),
    /// Two places are cut off from one another.
    Cut(Place, Place),
    /// Every cut is mended.
    Mend,
    /// The weather changes.
    Weather(Weather),
    /// The platform's trouble changes.
    Trouble(StoreTrouble),
}

/// Seed of the world; every step is allowed at all times.
#[derive(Clone, Debug)]
pub struct BundleSeed(pub u64);

/// The world with what the expectations need to remember.
pub struct Distributed {
    /// The world.
    pub fleet: BundleFleet,
    cut_off_since: [Option<MonotonicTime>; ZONES],
    calm_since: Option<MonotonicTime>,
}

/// The run.
pub struct BundleMachine;

impl ReferenceStateMachine for BundleMachine {
    type State = BundleSeed;
    type Transition = BundleStep;

    fn init_state() -> BoxedStrategy<BundleSeed> {
        any::<u64>().prop_map(BundleSeed).no_shrink().boxed()
    }

    fn transitions(_: &BundleSeed) -> BoxedStrategy<BundleStep> {
        prop_oneof![
            10 => (1_u64..12_000).prop_map(BundleStep::Run),
            5 => (0..ZONES).prop_map(BundleStep::RollOut),
            3 => (0..ZONES, 0..ZONES).prop_map(|(first, second)| BundleStep::Race(first, second)),
            3 => (0..NODES).prop_map(BundleStep::Kill),
            1 => (0..NODES).prop_map(BundleStep::Forged),
            1 => (0..NODES, 0..4_usize).prop_map(|(node, behind)| BundleStep::Old(node, behind)),
            3 => places().prop_map(|(left, right)| BundleStep::Cut(left, right)),
            2 => Just(BundleStep::Mend),
            2 => weather().prop_map(BundleStep::Weather),
            1 => Just(BundleStep::Weather(Weather::FAIR)),
            3 => trouble().prop_map(BundleStep::Trouble),
        ]
        .boxed()
    }

    fn apply(state: BundleSeed, _: &BundleStep) -> BundleSeed {
        state
    }
}

impl StateMachineTest for BundleMachine {
    type SystemUnderTest = Distributed;
    type Reference = Self;

    fn init_test(seed: &BundleSeed) -> Distributed {
        let fleet = BundleFleet::new(seed.0, PLANTED.get());
        Distributed {
            calm_since: Some(fleet.now()),
            fleet,
            cut_off_since: [None; ZONES],
        }
    }

    fn apply(mut world: Distributed, _: &BundleSeed, step: BundleStep) -> Distributed {
        world.step(&step);
        world.expect();
        world
    }

    fn teardown(mut world: Distributed, _: BundleSeed) {
        world.settle();
        world.count();
    }
}

impl Distributed {
    fn step(&mut self, step: &BundleStep) {
        coverage::met(step.name());
        let fleet = &mut self.fleet;
        match step {
            BundleStep::Run(millis) => fleet.run_for(Duration::from_millis(*millis)),
            BundleStep::RollOut(zone) => fleet.roll_out(*zone),
            BundleStep::Race(first, second) => {
                fleet.roll_out(*first);
                fleet.roll_out(*second);
            }
            BundleStep::Kill(node) => fleet.kill(*node),
            BundleStep::Forged(node) => fleet.offer_forged(*node),
            BundleStep::Old(node, behind) => fleet.offer_old(*node, *behind),
            BundleStep::Cut(left, right) => fleet.cut(*left, *right),
            BundleStep::Mend => fleet.mend(),
            BundleStep::Weather(weather) => fleet.set_weather(*weather),
            BundleStep::Trouble(trouble) => fleet.set_trouble(*trouble),
        }
        self.remember(step);
    }

    /// Notes since when zones are cut off, and since when nothing but the store may be in trouble.
    fn remember(&mut self, step: &BundleStep) {
        let now = self.fleet.now();
        for zone in 0..ZONES {
            let since = self.cut_off_since[zone];
            self.cut_off_since[zone] = self.fleet.is_cut_off(zone).then(|| since.unwrap_or(now));
        }
        match step {
            BundleStep::Cut(..) => self.calm_since = None,
            BundleStep::Weather(weather) if *weather != Weather::FAIR => self.calm_since = None,
            BundleStep::Kill(_) if self.calm_since.is_some() => self.calm_since = Some(now),
            _ => {}
        }
    }

    fn expect(&self) {
        self.hold(bundle_oracle::check(&self.fleet));
        let now = self.fleet.now();
        for zone in 0..ZONES {
            if self.cut_off_since[zone].is_some_and(|since| now.since(since) > ISOLATED_AFTER) {
                coverage::met("seen: zone isolated");
                self.hold(bundle_oracle::isolation_is(&self.fleet, zone, true));
            }
            if self
                .calm_since
                .is_some_and(|since| now.since(since) > VOUCHED_WITHIN)
            {
                coverage::met("seen: zones vouch for one another");
                self.hold(bundle_oracle::isolation_is(&self.fleet, zone, false));
            }
        }
    }

    /// With every failure over, the latest bundle is in force everywhere within seconds.
    fn settle(&mut self) {
        self.fleet.mend();
        self.fleet.set_weather(Weather::FAIR);
        self.fleet.set_trouble(StoreTrouble::None);
        self.fleet.run_for(IN_FORCE_WITHIN);
        self.hold(bundle_oracle::in_force_everywhere(&self.fleet));
        self.fleet.run_for(Duration::from_secs(60));
        self.hold(bundle_oracle::check(&self.fleet));
    }

    fn hold(&self, checked: Result<(), Violation>) {
        if let Err(violation) = checked {
            panic!("{}: {}", violation.property, violation.seen);
        }
    }

    fn count(&self) {
        coverage::met_times("seen: bundles accepted", self.fleet.accepted.len() as u64);
        coverage::met_times("seen: bundles taken into force", self.fleet.in_force.len() as u64);
        for rollout in &self.fleet.rollouts {
            coverage::met(match &rollout.end {
                Some(RolloutEnd::Accepted(_)) => "rollout: accepted",
                Some(RolloutEnd::Superseded) => "rollout: superseded",
                Some(RolloutEnd::NotDone) => "rollout: nothing done",
                Some(RolloutEnd::Unknown) | None => "rollout: unknown",
            });
        }
    }
}

impl BundleStep {
    fn name(&self) -> &'static str {
        match self {
            Self::Run(_) => "step: run",
            Self::RollOut(..) => "step: roll out",
            Self::Race(..) => "step: two operators at once",
            Self::Kill(_) => "step: kill node",
            Self::Forged(_) => "step: show a forged head",
            Self::Old(..) => "step: show an old head",
            Self::Cut(..) => "step: cut",
            Self::Mend => "step: mend",
            Self::Weather(_) => "step: loss and delay",
            Self::Trouble(_) => "step: store trouble",
        }
    }
}
