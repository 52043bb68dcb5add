//! Steps and expectations of the serving run: requests, engines, gateways and planned changes under failure.

use super::strategies::{places, role, trouble, weather};
use super::{PLANTED, coverage};
use crate::world::authority_oracle::{AuthorityOracle, Violation};
use crate::world::caller_oracle;
use crate::world::{Ask, CallerEnd, Fleet, FleetPlan, Place, StoreTrouble, Weather, ZonePlan};
use proptest::prelude::*;
use proptest::sample::select;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use serde::{Deserialize, Serialize};
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::Role;
use shelfjunction_core::outcome::Outcome;
use std::time::Duration;

/// Processes of each zone.
pub const ZONES: [ZonePlan; 2] = [
    ZonePlan {
        controllers: 1,
        engines: 3,
        applications: 1,
        gateways: 2,
    },
    ZonePlan {
        controllers: 1,
        engines: 1,
        applications: 1,
        gateways: 1,
    },
];
const GATEWAYS: usize = 3;
const CONTROLLERS: usize = 2;
const ENGINES: usize = 6;
/// Engines that planned changes may take: a mixed one and an application of the first zone stay, as the floors ask.
const CHANGEABLE: [usize; 4] = [1, 2, 4, 5];
const ALL_ENGINES: [usize; 6] = [0, 1, 2, 3, 4, 5];
/// Callers that a step may name.
const CALLERS: usize = 24;

/// Longest time after which every request has ended once every failure is over.
const SETTLING: Duration = Duration::from_secs(60);

/// One step from outside.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingStep {
    /// Virtual time passes, in milliseconds.
    Run(u64),
    /// A caller asks a gateway.
    Ask(usize, Ask),
    /// The same ask at two gateways at once.
    AskTwice(usize, usize, Ask),
    /// An earlier answer is read again.
    ReadAgain(usize, usize),
    /// A caller goes away.
    Leave(usize),
    /// A caller cancels.
    Cancel(usize),
    /// A gateway is killed.
    KillGateway(usize),
    /// A gateway is stopped; its clock goes on.
    PauseGateway(usize),
    /// A gateway is stopped with its clock.
    FreezeGateway(usize),
    /// A stopped gateway goes on.
    ResumeGateway(usize),
    /// A gateway is stopped in the planned way.
    StopGateway(usize),
    /// A controller is killed.
    KillController(usize),
    /// An engine ends and starts empty.
    CrashEngine(usize),
    /// The platform announces that an engine leaves.
    Leaving(usize),
    /// An engine is wanted in a role.
    Want(usize, Role, bool),
    /// Two places are cut off from one another.
    Cut(Place, Place),
    /// Every cut is mended.
    Mend,
    /// The weather changes.
    Weather(Weather),
    /// The platform's trouble changes.
    Trouble(StoreTrouble),
}

/// Seed of the fleet; every step is allowed at all times.
#[derive(Clone, Debug)]
pub struct ServingSeed(pub u64);

/// The fleet under test and the oracle that watches its orders.
pub struct Served {
    /// The fleet.
    pub fleet: Fleet,
    authority: AuthorityOracle,
}

/// Requests under every failure.
pub struct ServingMachine;

/// Requests under nothing but planned changes; `SHARED` tells whether two callers may come with the same key.
pub struct PlannedMachine<const SHARED: bool>;

impl ReferenceStateMachine for ServingMachine {
    type State = ServingSeed;
    type Transition = ServingStep;

    fn init_state() -> BoxedStrategy<Self::State> {
        any::<u64>().prop_map(ServingSeed).no_shrink().boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        prop_oneof![
            6 => planned(&ALL_ENGINES),
            8 => asking(prop_oneof![1 => 300_u64..4_000, 3 => 8_000_u64..20_000], 0_u32..5, true),
            4 => failing(),
            3 => surroundings(),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

impl<const SHARED: bool> ReferenceStateMachine for PlannedMachine<SHARED> {
    type State = ServingSeed;
    type Transition = ServingStep;

    fn init_state() -> BoxedStrategy<Self::State> {
        ServingMachine::init_state()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        let keys = if SHARED { 0_u32..5 } else { 0..u32::MAX };
        prop_oneof![1 => planned(&CHANGEABLE), 1 => asking(20_000_u64..40_000, keys, SHARED)].boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

impl StateMachineTest for ServingMachine {
    type SystemUnderTest = Served;
    type Reference = Self;

    fn init_test(seed: &ServingSeed) -> Served {
        Served::new(seed.0)
    }

    fn apply(mut served: Served, _: &ServingSeed, step: ServingStep) -> Served {
        step.apply(&mut served.fleet);
        served
    }

    fn teardown(mut served: Served, _: ServingSeed) {
        served.settle();
        served.hold(caller_oracle::check(&served.fleet));
        served.count();
    }
}

impl<const SHARED: bool> StateMachineTest for PlannedMachine<SHARED> {
    type SystemUnderTest = Served;
    type Reference = Self;

    fn init_test(seed: &ServingSeed) -> Served {
        Served::new(seed.0)
    }

    fn apply(mut served: Served, _: &ServingSeed, step: ServingStep) -> Served {
        step.apply(&mut served.fleet);
        served
    }

    fn teardown(mut served: Served, _: ServingSeed) {
        served.settle();
        served.hold(caller_oracle::check(&served.fleet));
        served.hold(caller_oracle::nothing_was_cut_off(&served.fleet));
        served.count();
    }
}

impl Served {
    /// The fleet of the fuzz runs.
    pub fn new(seed: u64) -> Self {
        Self::with_plan(&FleetPlan {
            zones: ZONES.to_vec(),
            seed,
            planted: PLANTED.get(),
        })
    }

    /// A fleet whose engines are wanted as they are.
    pub fn with_plan(plan: &FleetPlan) -> Self {
        let mut fleet = Fleet::new(plan);
        fleet.run_for(Duration::from_millis(1_500));
        for engine in 0..fleet.sizes().1 {
            fleet.want(engine, Role::Mixed, false);
        }
        fleet.run_for(Duration::from_millis(500));
        Self {
            fleet,
            authority: AuthorityOracle::default(),
        }
    }

    /// With every failure over, each request ends.
    pub fn settle(&mut self) {
        self.fleet.heal();
        self.fleet.run_for(SETTLING);
        let authority = self.authority.check(&self.fleet);
        self.hold(authority);
        let open = self.fleet.open_courses();
        assert!(open.is_empty(), "every request ends: {open:?}");
    }

    /// Everything that the oracles demand of what happened.
    pub fn check(&self) -> Result<(), Violation> {
        caller_oracle::check(&self.fleet)
    }

    fn hold(&self, checked: Result<(), Violation>) {
        if let Err(violation) = checked {
            panic!("{}: {}", violation.property, violation.seen);
        }
    }

    fn count(&self) {
        let history = &self.fleet.callers;
        coverage::met_times("seen: callers", history.callers.len() as u64);
        coverage::met_times("seen: calls sent", history.dispatches.len() as u64);
        coverage::met_times("seen: calls run", history.runs.len() as u64);
        for caller in &history.callers {
            coverage::met(match &caller.end {
                None => "end: none",
                Some((_, CallerEnd::RefusedAtDoor)) => "end: refused at the door",
                Some((_, CallerEnd::ConnectionLost)) => "end: gateway killed",
                Some((_, CallerEnd::Left)) => "end: caller left",
                Some((_, CallerEnd::Outcome(Outcome::Completed))) if caller.reread => "end: read again whole",
                Some((_, CallerEnd::Outcome(Outcome::Completed))) => "end: completed",
                Some((_, CallerEnd::Outcome(Outcome::NotRun(_)))) => "end: not run",
                Some((_, CallerEnd::Outcome(Outcome::Failed(_)))) => "end: failed after running",
                Some((_, CallerEnd::Outcome(Outcome::Unknown(_)))) => "end: unknown",
            });
            if caller.finished.is_some_and(|(_, cached)| cached > 0) {
                coverage::met("seen: prefix cache hits");
            }
        }
    }
}

impl ServingStep {
    fn name(&self) -> &'static str {
        match self {
            Self::Run(_) => "step: run",
            Self::Ask(..) => "step: ask",
            Self::AskTwice(..) => "step: ask at two gateways at once",
            Self::ReadAgain(..) => "step: read an answer again",
            Self::Leave(_) => "step: caller leaves",
            Self::Cancel(_) => "step: caller cancels",
            Self::KillGateway(_) => "step: kill gateway",
            Self::PauseGateway(_) => "step: pause gateway",
            Self::FreezeGateway(_) => "step: freeze gateway with its clock",
            Self::ResumeGateway(_) => "step: resume gateway",
            Self::StopGateway(_) => "step: planned stop of gateway",
            Self::KillController(_) => "step: kill controller",
            Self::CrashEngine(_) => "step: crash engine",
            Self::Leaving(_) => "step: engine leaves",
            Self::Want(..) => "step: want a role",
            Self::Cut(..) => "step: cut",
            Self::Mend => "step: mend",
            Self::Weather(_) => "step: loss, delay and garbling",
            Self::Trouble(_) => "step: store trouble",
        }
    }

    /// Carries the step out.
    pub fn apply(&self, fleet: &mut Fleet) {
        coverage::met(self.name());
        match self {
            Self::Run(millis) => fleet.run_for(Duration::from_millis(*millis)),
            Self::Ask(gateway, ask) => {
                fleet.ask(*gateway, *ask);
            }
            Self::AskTwice(first, second, ask) => {
                fleet.ask(*first, *ask);
                fleet.ask(*second, *ask);
            }
            Self::ReadAgain(gateway, caller) => fleet.read_again(*gateway, *caller),
            Self::Leave(caller) => fleet.leave(*caller, false),
            Self::Cancel(caller) => fleet.leave(*caller, true),
            Self::KillGateway(gateway) => fleet.crash_gateway(*gateway),
            Self::PauseGateway(gateway) => fleet.pause_gateway(*gateway, false),
            Self::FreezeGateway(gateway) => fleet.pause_gateway(*gateway, true),
            Self::ResumeGateway(gateway) => fleet.resume_gateway(*gateway),
            Self::StopGateway(gateway) => fleet.stop_gateway(*gateway),
            Self::KillController(controller) => fleet.kill_controller(*controller),
            Self::CrashEngine(engine) => fleet.crash_engine(*engine),
            Self::Leaving(engine) => fleet.announce_leaving(*engine),
            Self::Want(engine, role, draining) => fleet.want(*engine, *role, *draining),
            Self::Cut(left, right) => fleet.cut(*left, *right),
            Self::Mend => fleet.mend(),
            Self::Weather(weather) => fleet.set_weather(*weather),
            Self::Trouble(trouble) => fleet.set_trouble(*trouble),
        }
    }
}

/// Planned changes to some of the engines.
fn planned(engines: &'static [usize]) -> impl Strategy<Value = ServingStep> {
    prop_oneof![
        8 => (1_u64..4_000).prop_map(ServingStep::Run),
        3 => (select(engines), role(), any::<bool>())
            .prop_map(|(engine, role, draining)| ServingStep::Want(engine, role, draining)),
        1 => (0..GATEWAYS).prop_map(ServingStep::StopGateway),
        1 => select(engines).prop_map(ServingStep::Leaving),
    ]
}

/// What callers do; `keys` draws keys, and `shared` tells whether two callers may come with the same one.
fn asking(
    deadline: impl Strategy<Value = u64> + Clone + 'static,
    keys: impl Strategy<Value = u32> + Clone + 'static,
    shared: bool,
) -> impl Strategy<Value = ServingStep> {
    prop_oneof![
        8 => (0..GATEWAYS, ask(deadline.clone(), keys.clone()))
            .prop_map(|(gateway, ask)| ServingStep::Ask(gateway, ask)),
        3 * u32::from(shared) => (0..GATEWAYS, 0..GATEWAYS, ask(deadline, keys))
            .prop_map(|(first, second, ask)| ServingStep::AskTwice(first, second, ask)),
        2 => (0..GATEWAYS, 0..CALLERS)
            .prop_map(|(gateway, caller)| ServingStep::ReadAgain(gateway, caller)),
        1 => (0..CALLERS).prop_map(ServingStep::Leave),
        1 => (0..CALLERS).prop_map(ServingStep::Cancel),
    ]
}

fn failing() -> impl Strategy<Value = ServingStep> {
    prop_oneof![
        2 => (0..GATEWAYS).prop_map(ServingStep::KillGateway),
        2 => (0..GATEWAYS).prop_map(ServingStep::PauseGateway),
        2 => (0..GATEWAYS).prop_map(ServingStep::FreezeGateway),
        4 => (0..GATEWAYS).prop_map(ServingStep::ResumeGateway),
        1 => (0..CONTROLLERS).prop_map(ServingStep::KillController),
        3 => (0..ENGINES).prop_map(ServingStep::CrashEngine),
    ]
}

fn surroundings() -> impl Strategy<Value = ServingStep> {
    prop_oneof![
        2 => places().prop_map(|(left, right)| ServingStep::Cut(left, right)),
        2 => Just(ServingStep::Mend),
        2 => weather().prop_map(ServingStep::Weather),
        2 => trouble().prop_map(ServingStep::Trouble),
    ]
}

fn ask(deadline: impl Strategy<Value = u64>, keys: impl Strategy<Value = u32>) -> impl Strategy<Value = Ask> {
    let keyed = prop_oneof![1 => Just(false), 2 => Just(true)];
    let kind = prop_oneof![2 => Just(ModelKind::Model), 1 => Just(ModelKind::Application)];
    (0_usize..2, keyed, keys, 0_u8..4, kind, 4_u32..30, deadline).prop_map(
        |(tenant, keyed, key, body, kind, max_tokens, deadline_millis)| {
            // What an application does is never repeated.
            let key = (keyed || kind == ModelKind::Application).then_some(key);
            Ask {
                tenant,
                key,
                // One key comes with one body, but for one key that comes with any.
                body: key.filter(|key| *key != 3).map_or(body, |key| (key % 4) as u8),
                kind,
                max_tokens: if key.is_some() { 12 } else { max_tokens },
                deadline_millis,
            }
        },
    )
}
