//! Steps and expectations of the authority run.

use super::PLANTED;
use super::coverage;
use super::strategies::{places, role, trouble, weather};
use crate::world::authority_oracle::AuthorityOracle;
use crate::world::{EngineEntry, Fleet, FleetPlan, Place, SendEnd, StoreTrouble, Weather, ZonePlan};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use shelfjunction_core::engine::{OrderReply, Role};
use std::time::Duration;

/// Processes of each zone.
const ZONES: [ZonePlan; 2] = [
    ZonePlan {
        controllers: 3,
        engines: 3,
        applications: 0,
        gateways: 0,
    },
    ZonePlan {
        controllers: 2,
        engines: 1,
        applications: 0,
        gateways: 0,
    },
];
const CONTROLLERS: usize = 5;
const ENGINES: usize = 4;

/// Time that the fleet gets to reach its goals once every failure is over.
const SETTLING: Duration = Duration::from_secs(90);

/// One step from outside.
#[derive(Clone, Debug)]
pub enum Step {
    /// Virtual time passes, in milliseconds.
    Run(u64),
    /// A controller is killed.
    Kill(usize),
    /// A controller is stopped; its clock goes on.
    Pause(usize),
    /// A controller is stopped with its clock.
    Freeze(usize),
    /// A stopped controller goes on.
    Resume(usize),
    /// A controller is stopped in the planned way.
    Release(usize),
    /// An engine ends and starts empty.
    CrashEngine(usize),
    /// Two places are cut off from one another.
    Cut(Place, Place),
    /// Every cut is mended.
    Mend,
    /// The weather changes.
    Weather(Weather),
    /// The platform's trouble changes.
    Trouble(StoreTrouble),
    /// An engine is wanted in a role.
    Want(usize, Role, bool),
}

/// The expectation holds no state of its own: every step is allowed at all times.
#[derive(Clone, Debug)]
pub struct Expectation {
    seed: u64,
}

/// The fleet under test and the oracle that watches it.
pub struct Watched {
    fleet: Fleet,
    oracle: AuthorityOracle,
}

/// The run.
pub struct AuthorityMachine;

impl ReferenceStateMachine for AuthorityMachine {
    type State = Expectation;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        any::<u64>()
            .prop_map(|seed| Expectation { seed })
            .no_shrink()
            .boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        prop_oneof![
            10 => (1_u64..6_000).prop_map(Step::Run),
            2 => (0..CONTROLLERS).prop_map(Step::Kill),
            2 => (0..CONTROLLERS).prop_map(Step::Pause),
            3 => (0..CONTROLLERS).prop_map(Step::Freeze),
            5 => (0..CONTROLLERS).prop_map(Step::Resume),
            1 => (0..CONTROLLERS).prop_map(Step::Release),
            2 => (0..ENGINES).prop_map(Step::CrashEngine),
            2 => places().prop_map(|(left, right)| Step::Cut(left, right)),
            2 => Just(Step::Mend),
            2 => weather().prop_map(Step::Weather),
            2 => trouble().prop_map(Step::Trouble),
            6 => (0..ENGINES, role(), any::<bool>()).prop_map(|(engine, role, draining)| {
                Step::Want(engine, role, draining)
            }),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

impl StateMachineTest for AuthorityMachine {
    type SystemUnderTest = Watched;
    type Reference = Self;

    fn init_test(expectation: &Expectation) -> Watched {
        let plan = FleetPlan {
            zones: ZONES.to_vec(),
            seed: expectation.seed,
            planted: PLANTED.get(),
        };
        let mut fleet = Fleet::new(&plan);
        fleet.run_for(Duration::from_millis(200));
        Watched {
            fleet,
            oracle: AuthorityOracle::default(),
        }
    }

    fn apply(mut watched: Watched, _: &Expectation, step: Step) -> Watched {
        apply_step(&mut watched.fleet, &step);
        watched
    }

    fn check_invariants(_: &Watched, _: &Expectation) {}

    fn teardown(mut watched: Watched, _: Expectation) {
        watched.check();
        watched.settle();
        watched.count();
    }
}

impl Watched {
    fn check(&mut self) {
        if let Err(violation) = self.oracle.check(&self.fleet) {
            panic!("{}: {}", violation.property, violation.seen);
        }
    }

    fn count(&self) {
        let history = &self.fleet.history;
        coverage::met_times("seen: lease takings", history.takings.len() as u64);
        coverage::met_times("seen: orders committed", history.commits.len() as u64);
        coverage::met_times("seen: order sends", history.sends.len() as u64);
        for send in &history.sends {
            match &send.end {
                Some((_, SendEnd::Lost)) => coverage::met("seen: order answers lost"),
                Some((_, SendEnd::NotSent)) => coverage::met("seen: engine out of reach"),
                _ => {}
            }
            if send.epoch_at_check != send.order.token {
                coverage::met("seen: sends after the lease by a frozen clock");
            }
        }
        for entry in &history.engines {
            match entry {
                EngineEntry::Crashed { .. } => coverage::met("seen: engine crashes"),
                EngineEntry::Told {
                    reply,
                    order,
                    obeyed,
                    epoch,
                    ..
                } => {
                    let stale = order.token < *epoch;
                    match reply {
                        OrderReply::Fenced { .. } if stale => coverage::met("seen: stale orders refused"),
                        _ if stale && *obeyed => coverage::met("seen: stale orders obeyed within the window"),
                        OrderReply::InProgress if *obeyed => coverage::met("seen: changes begun"),
                        _ => {}
                    }
                }
            }
        }
    }

    /// With every failure over, each engine reaches what is wanted of it under the latest token.
    fn settle(&mut self) {
        self.fleet.heal();
        self.fleet.run_for(SETTLING / 3);
        for engine in 0..ENGINES {
            self.fleet.want(engine, Role::Decode, engine == 0);
        }
        self.fleet.run_for(SETTLING);
        self.check();
        for engine in 0..ENGINES {
            let (status, token) = self.fleet.engine_status(engine);
            let reached = status.role == Role::Decode && status.draining == (engine == 0);
            assert!(
                reached && status.fence == token,
                "an engine reaches its goal: {status:?} under {token}"
            );
        }
    }
}

impl Step {
    fn name(&self) -> &'static str {
        match self {
            Self::Run(_) => "step: run",
            Self::Kill(_) => "step: kill controller",
            Self::Pause(_) => "step: pause controller",
            Self::Freeze(_) => "step: freeze controller with its clock",
            Self::Resume(_) => "step: resume controller",
            Self::Release(_) => "step: planned stop of controller",
            Self::CrashEngine(_) => "step: crash engine",
            Self::Cut(..) => "step: cut",
            Self::Mend => "step: mend",
            Self::Weather(_) => "step: loss and delay",
            Self::Trouble(_) => "step: store trouble",
            Self::Want(..) => "step: want a role",
        }
    }
}

/// Carries one step out.
pub fn apply_step(fleet: &mut Fleet, step: &Step) {
    coverage::met(step.name());
    match step {
        Step::Run(millis) => fleet.run_for(Duration::from_millis(*millis)),
        Step::Kill(controller) => fleet.kill_controller(*controller),
        Step::Pause(controller) => fleet.pause_controller(*controller, false),
        Step::Freeze(controller) => fleet.pause_controller(*controller, true),
        Step::Resume(controller) => fleet.resume_controller(*controller),
        Step::Release(controller) => fleet.release(*controller),
        Step::CrashEngine(engine) => fleet.crash_engine(*engine),
        Step::Cut(left, right) => fleet.cut(*left, *right),
        Step::Mend => fleet.mend(),
        Step::Weather(weather) => fleet.set_weather(*weather),
        Step::Trouble(trouble) => fleet.set_trouble(*trouble),
        Step::Want(engine, role, draining) => fleet.want(*engine, *role, *draining),
    }
}
