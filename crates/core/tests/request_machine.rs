//! Courses of requests with and without keys, at two gateways, against engines that dedupe nothing, a table whose
//! answers get lost and calls that arrive late. The oracle is `request_world::oracle`.

#![allow(clippy::unwrap_used)]

mod request_world;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use request_world::World;
use request_world::step::{Step, any_step};

/// Steps have no preconditions: a step that names nothing is passed over.
#[derive(Debug)]
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        any_step().boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct Courses;

impl StateMachineTest for Courses {
    type SystemUnderTest = World;
    type Reference = AnyOrder;

    fn init_test(_: &()) -> World {
        World::default()
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        world.apply(&step);
        world
    }

    fn check_invariants(world: &World, _: &()) {
        world.check();
    }

    fn teardown(mut world: World, _: ()) {
        world.run_out();
        world.check();
        world.check_ended();
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 3_000, failure_persistence: None, ..Config::default() })]

    #[test]
    fn courses_keep_their_promises(sequential 1..60 => Courses);
}
