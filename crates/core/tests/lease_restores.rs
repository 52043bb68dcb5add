//! Who holds the lease, and under which token, though an older copy of its row is restored: no token is used by two processes, no lower
//! one after a higher one, and no two act by turns.

#![allow(clippy::unwrap_used)]

mod lease_world;

use lease_world::{Copy, Fate, STEP_MILLIS, TIMINGS, World};
use proptest::prelude::*;

/// Longest time after a restore until a process that lives holds the lease, in milliseconds.
const TAKEN_WITHIN: u64 = 2 * TIMINGS.duration_millis;

/// A world whose first process holds the lease, and the store as it was before that.
fn held() -> (World, Copy) {
    let mut world = World::default();
    let empty = world.store.clone();
    let first = world.start();
    world.run(200);
    assert_eq!(world.holder(), Some((first, 1)));
    (world, empty)
}

#[test]
fn a_process_that_starts_after_a_restore_takes_no_token_that_was_used_before() {
    let (mut world, _) = held();
    let copy = world.store.clone();
    world.processes[0].alive = false;
    let second = world.start();
    world.run(7_000);
    assert_eq!(world.holder(), Some((second, 2)));
    world.processes[second].alive = false;
    world.restore(&copy);
    let third = world.start();
    world.run_until_held(TAKEN_WITHIN).unwrap();
    assert_eq!(world.holder().map(|(holder, _)| holder), Some(third));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_lease_that_an_older_copy_says_was_released_is_not_taken_while_another_process_holds_it() {
    let (mut world, _) = held();
    world.processes[0].stopping = true;
    world.run(200);
    let copy = world.store.clone();
    let second = world.start();
    world.run(1_000);
    assert_eq!(world.holder(), Some((second, 2)));
    world.processes[second].cut = true;
    world.restore(&copy);
    let third = world.start();
    world.run(TAKEN_WITHIN);
    assert_eq!(world.holder().map(|(holder, _)| holder), Some(third));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_lease_whose_row_an_older_copy_lacks_is_not_taken_by_a_new_process_while_another_holds_it() {
    let (mut world, empty) = held();
    world.processes[0].cut = true;
    world.restore(&empty);
    let second = world.start();
    world.run(TAKEN_WITHIN);
    assert_eq!(world.holder().map(|(holder, _)| holder), Some(second));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_process_that_was_paused_beyond_its_lease_does_not_take_it_by_its_own_row_of_an_older_copy() {
    let (mut world, _) = held();
    let copy = world.store.clone();
    let second = world.start();
    world.processes[0].frozen_until = world.now + 8_000;
    world.run(7_900);
    assert_eq!(world.holder(), Some((second, 2)));
    world.processes[second].cut = true;
    world.restore(&copy);
    world.run(TAKEN_WITHIN);
    assert_eq!(world.holder().map(|(holder, _)| holder), Some(0));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_taking_that_is_executed_late_in_another_era_gives_no_lease() {
    let (mut world, _) = held();
    world.processes[0].stopping = true;
    world.run(200);
    let copy = world.store.clone();
    let late = world.start();
    // The first call reads.
    world.processes[late].fates = [Fate::Answered(0), Fate::Late(500)].into();
    world.run(STEP_MILLIS);
    let second = world.start();
    world.run(200);
    assert_eq!(world.holder(), Some((second, 2)));
    world.processes[late].frozen_until = world.now + 700;
    world.processes[second].cut = true;
    world.restore(&copy);
    world.run(TAKEN_WITHIN);
    assert_eq!(world.holder().map(|(holder, _)| holder), Some(late));
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn a_holder_that_lives_goes_on_over_restores_under_a_token_of_the_era() {
    let (mut world, empty) = held();
    let _challenger = world.start();
    for era in 1..=3 {
        world.run(2_000);
        let copy = if era == 2 {
            empty.clone()
        } else {
            world.store.clone()
        };
        world.run(500);
        world.restore(&copy);
        // Until the next renewal.
        world.run(1_250);
        let (holder, token) = world.holder().unwrap();
        assert_eq!((holder, token >> 20), (0, era));
    }
    assert_eq!(world.broken, Vec::<String>::new());
}

/// What strikes the world.
#[derive(Clone, Debug)]
enum Strike {
    /// The store comes back from a copy so many half seconds old.
    Restore(usize),
    /// A process is frozen for so long.
    Freeze(usize, u64),
    /// A process is killed and another starts.
    Replace(usize),
    /// A process gives the lease up and another starts.
    Stop(usize),
    /// A process is cut off from the store, or no longer.
    Cut(usize, bool),
    /// Other threads of a process ask the store as well.
    Learn(usize),
    /// Fates of a process's next calls.
    Calls(usize, Vec<Fate>),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => (0..800_u64).prop_map(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        3 => (1_000..6_000_u64).prop_map(Fate::Late),
        1 => Just(Fate::Refused),
    ]
}

fn strike() -> impl Strategy<Value = Strike> {
    let process = 0..PROCESSES;
    prop_oneof![
        3 => (0..20_usize).prop_map(Strike::Restore),
        2 => (process.clone(), 500..12_000_u64).prop_map(|(index, millis)| Strike::Freeze(index, millis)),
        2 => process.clone().prop_map(Strike::Replace),
        1 => process.clone().prop_map(Strike::Stop),
        2 => (process.clone(), any::<bool>()).prop_map(|(index, cut)| Strike::Cut(index, cut)),
        1 => process.clone().prop_map(Strike::Learn),
        3 => (process, prop::collection::vec(fate(), 1..4)).prop_map(|(index, fates)| Strike::Calls(index, fates)),
    ]
}

const PROCESSES: usize = 4;

/// The processes that have not been replaced, and copies of the store, the newest last.
struct Struck {
    world: World,
    present: Vec<usize>,
    copies: Vec<Copy>,
}

impl Struck {
    fn new() -> Self {
        let mut world = World::default();
        let present = (0..PROCESSES).map(|_| world.start()).collect();
        Self {
            world,
            present,
            copies: Vec::new(),
        }
    }

    fn run(&mut self, half_seconds: usize) {
        for _ in 0..half_seconds {
            self.copies.push(self.world.store.clone());
            self.world.run(500);
        }
    }

    fn strike(&mut self, strike: Strike) {
        let world = &mut self.world;
        match strike {
            Strike::Restore(age) => {
                let newest = self.copies.len() - 1;
                world.restore(&self.copies[newest.saturating_sub(age)]);
            }
            Strike::Freeze(slot, millis) => {
                world.processes[self.present[slot]].frozen_until = world.now + millis;
            }
            Strike::Replace(slot) => {
                world.processes[self.present[slot]].alive = false;
                self.present[slot] = world.start();
            }
            Strike::Stop(slot) => {
                world.processes[self.present[slot]].stopping = true;
                self.present[slot] = world.start();
            }
            Strike::Cut(slot, cut) => world.processes[self.present[slot]].cut = cut,
            Strike::Learn(slot) => world.processes[self.present[slot]].learns = true,
            Strike::Calls(slot, fates) => world.processes[self.present[slot]].fates = fates.into(),
        }
    }

    /// Nothing strikes any more, and what was late is done.
    fn calm(&mut self) {
        for process in &mut self.world.processes {
            process.cut = false;
            process.frozen_until = 0;
            process.fates.clear();
        }
        self.run(13);
    }
}

/// A cut off process whose condition held by chance put its older row in the place of the era's, and the era's first token was used again.
#[test]
fn an_older_row_that_replaces_the_one_of_the_era_does_not_let_its_tokens_be_used_again() {
    let strikes = [
        (5, Strike::Restore(1)),
        (1, Strike::Restore(0)),
        (5, Strike::Cut(3, true)),
        (1, Strike::Stop(1)),
        (4, Strike::Restore(11)),
        (1, Strike::Cut(0, false)),
        (5, Strike::Replace(0)),
    ];
    let mut struck = Struck::new();
    struck.run(2);
    for (wait, strike) in strikes {
        struck.strike(strike);
        struck.run(wait);
    }
    struck.calm();
    assert_eq!(struck.world.broken, Vec::<String>::new());
}

proptest! {
    #[test]
    fn one_process_at_a_time_holds_the_lease_under_rising_tokens_over_restores(
        strikes in prop::collection::vec((0..8_usize, strike()), 1..40),
    ) {
        let mut struck = Struck::new();
        struck.run(2);
        for (wait, strike) in strikes {
            struck.strike(strike);
            struck.run(wait);
        }
        prop_assert_eq!(&struck.world.broken, &Vec::<String>::new());
        struck.calm();
        let copy = struck.copies[struck.copies.len() - 6].clone();
        if let Some((holder, _)) = struck.world.holder() {
            struck.world.processes[holder].alive = false;
        }
        struck.world.restore(&copy);
        prop_assert!(struck.world.run_until_held(TAKEN_WITHIN).is_some());
        prop_assert_eq!(&struck.world.broken, &Vec::<String>::new());
    }
}
