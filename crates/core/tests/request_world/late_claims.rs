//! Writes of a claim that its gateway gave up and that take effect late neither block the key nor let it run twice.

use super::World;
use super::joining::{OWNER, SECOND, answer, ask, claim, run_well};
use super::step::Step;
use shelfjunction_core::outcome::{Failure, Outcome};

/// A transaction is lost for now and may take effect late.
const LOST: u8 = 1;
/// A transaction takes effect and its answer is lost.
const UNANSWERED: u8 = 2;
/// An engine refuses a dispatch because it drains.
const DRAINING: u8 = 2;
/// The retry budget is spent.
const NO_RETRY: u8 = 8;

/// A claim whose write and whose repeat end in these ways; every copy that was lost then takes effect.
fn give_up_a_claim(world: &mut World, gateway: u8, fates: [u8; 2]) {
    let course = u8::try_from(world.courses.len()).unwrap();
    ask(world, gateway);
    answer(world, course, 9);
    for fate in fates {
        world.apply(&Step::Table { fate });
    }
    let outcome = world.courses[usize::from(course)].outcome.clone();
    assert_eq!(outcome, Some(Outcome::Unknown(Failure::LedgerUnavailable)));
    for which in [1, 0] {
        world.apply(&Step::LateWrite { which });
    }
}

fn assert_the_next_call_runs(world: &mut World) {
    ask(world, SECOND);
    run_well(world);
    let last = world.courses.last().unwrap();
    assert_eq!(last.outcome, Some(Outcome::Completed));
    assert_eq!(world.engines.log.len(), 1);
}

#[test]
fn a_claim_that_takes_effect_late_leaves_its_key_free() {
    for fates in [[LOST, LOST], [LOST, UNANSWERED], [UNANSWERED, LOST]] {
        let mut world = World::default();
        give_up_a_claim(&mut world, OWNER, fates);
        assert_the_next_call_runs(&mut world);
    }
}

#[test]
fn a_late_claim_on_a_released_key_leaves_it_free_too() {
    let mut world = World::default();
    ask(&mut world, OWNER);
    claim(&mut world, OWNER);
    answer(&mut world, OWNER, DRAINING);
    answer(&mut world, OWNER, NO_RETRY);
    assert!(matches!(world.courses[0].outcome, Some(Outcome::NotRun(_))));
    ask(&mut world, OWNER);
    answer(&mut world, 1, 9);
    // Meets the released key; only the claim that follows is lost.
    world.apply(&Step::Table { fate: 9 });
    for _ in 0..2 {
        world.apply(&Step::Table { fate: LOST });
    }
    assert_eq!(
        world.courses[1].outcome,
        Some(Outcome::Unknown(Failure::LedgerUnavailable))
    );
    for _ in 0..2 {
        world.apply(&Step::LateWrite { which: 0 });
    }
    assert_the_next_call_runs(&mut world);
}
