//! What a second call with a key is told: it follows the claim where it moved, and "not run" is said of it only where
//! no earlier call ran.

use super::World;
use super::step::Step;
use shelfjunction_core::outcome::Outcome;

/// With this fate every question is answered and nothing goes wrong.
const WELL: u8 = 9;
/// An engine refuses a dispatch because it drains.
const DRAINING: u8 = 2;
/// No engine may be chosen.
const NOWHERE: u8 = 11;
/// The retry budget is spent.
const NO_RETRY: u8 = 8;
/// The owner of the claim, and a call with the same key at the other gateway.
pub(super) const OWNER: u8 = 0;
pub(super) const SECOND: u8 = 1;

pub(super) fn ask(world: &mut World, gateway: u8) {
    world.apply(&Step::Start {
        key: Some(0),
        body: 0,
        gateway,
    });
}

pub(super) fn answer(world: &mut World, course: u8, fate: u8) {
    world.apply(&Step::Answer { course, fate });
}

fn answer_table(world: &mut World) {
    world.apply(&Step::Table { fate: WELL });
}

/// Lets a course claim its key, or meet the claim that holds it.
pub(super) fn claim(world: &mut World, course: u8) {
    answer(world, course, WELL);
    answer_table(world);
}

pub(super) fn run_well(world: &mut World) {
    for _ in 0..20 {
        answer_table(world);
        for course in 0..world.courses.len() {
            answer(world, u8::try_from(course).unwrap(), WELL);
        }
    }
    world.check();
}

/// The owner's engine refuses after the second call has met the claim that names it.
fn met_before_a_refusal() -> World {
    let mut world = World::default();
    ask(&mut world, OWNER);
    claim(&mut world, OWNER);
    ask(&mut world, SECOND);
    claim(&mut world, SECOND);
    answer(&mut world, OWNER, DRAINING);
    world
}

#[test]
fn a_joined_claim_is_followed_to_the_engine_it_moved_to() {
    let mut world = met_before_a_refusal();
    run_well(&mut world);
    for course in &world.courses {
        assert_eq!(course.outcome, Some(Outcome::Completed));
    }
    assert_eq!(world.engines.log.len(), 1);
}

#[test]
fn a_released_claim_lets_the_next_call_run() {
    let mut world = met_before_a_refusal();
    answer(&mut world, OWNER, NO_RETRY);
    run_well(&mut world);
    assert!(matches!(world.courses[0].outcome, Some(Outcome::NotRun(_))));
    assert_eq!(world.courses[1].outcome, Some(Outcome::Completed));
    assert_eq!(world.engines.log.len(), 1);
}

#[test]
fn a_gateway_that_knows_no_engine_joins_the_run_of_a_key() {
    let mut world = World::default();
    ask(&mut world, OWNER);
    run_well(&mut world);
    ask(&mut world, SECOND);
    answer(&mut world, SECOND, NOWHERE);
    answer(&mut world, SECOND, NOWHERE);
    run_well(&mut world);
    assert_eq!(world.courses[1].outcome, Some(Outcome::Completed));
    assert_eq!(world.engines.log.len(), 1);
}
