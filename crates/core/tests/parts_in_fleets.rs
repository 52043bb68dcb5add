//! Requests with a part that crashes engines stop in fleets of any size, and sound ones that share their first part go on.

#![allow(clippy::unwrap_used)]

mod part_world;

use part_world::{Fleet, Outcome, Rule, Scene};
use std::time::Duration;

/// Reaches that may follow the fifth crash later than the contact time.
const LATE_ALLOWED: usize = 3;

/// Part of the sound requests that may be withheld from twice the contact time on.
const WITHHELD_ALLOWED: f64 = 0.05;

const CALM: Duration = Duration::from_secs(5);
const TROUBLE: Duration = Duration::from_secs(25);
const SEEDS: u64 = 5;

/// Fleets of three sizes, at which requests come in proportion to the engines.
fn scenes(lost: f64, rule: Rule) -> [Scene; 3] {
    [(3, 3), (66, 30), (300, 90)].map(|(nodes, engines)| Scene {
        nodes,
        engines,
        sound_per_second: 8.0 * engines as f64,
        guilty_per_second: 5.0,
        lost,
        cause_was_sound: false,
        rule,
    })
}

fn check(scene: &Scene, seed: u64, outcome: &Outcome) {
    assert!(
        outcome.late_reaches <= LATE_ALLOWED,
        "seed {seed}: {outcome:?} {scene:?}"
    );
    let withheld = outcome.late_withheld as f64 / outcome.late_sound.max(1) as f64;
    assert!(withheld <= WITHHELD_ALLOWED, "seed {seed}: {outcome:?} {scene:?}");
    assert!(outcome.late_sound >= 20, "seed {seed}: {outcome:?} {scene:?}");
}

#[test]
fn a_crashing_part_stops_and_sound_requests_go_on_at_any_loss_of_datagrams() {
    for lost in [0.0, 0.3] {
        for scene in scenes(lost, Rule::Attribution) {
            for seed in 0..SEEDS {
                let outcome = Fleet::new(scene, seed).run(CALM, TROUBLE);
                check(&scene, seed, &outcome);
            }
        }
    }
}

#[test]
fn a_part_that_was_sound_before_stops_as_well() {
    for scene in scenes(0.3, Rule::Attribution) {
        let scene = Scene {
            cause_was_sound: true,
            ..scene
        };
        for seed in 0..SEEDS {
            let outcome = Fleet::new(scene, seed).run(CALM, TROUBLE);
            check(&scene, seed, &outcome);
        }
    }
}

#[test]
fn a_fleet_that_knows_of_no_answers_finds_the_part_as_well() {
    for scene in scenes(0.3, Rule::Attribution) {
        for seed in 0..SEEDS {
            let outcome = Fleet::new(scene, seed).run_with_kill_of_all(CALM, TROUBLE);
            check(&scene, seed, &outcome);
        }
    }
}

/// What the design note quotes; run with `--nocapture`.
#[test]
fn attribution_withholds_fewer_sound_requests_than_plain_elimination() {
    let sum = |rule: Rule, scene: usize| {
        let mut sum = Outcome::default();
        for seed in 0..SEEDS {
            let outcome = Fleet::new(scenes(0.3, rule)[scene], seed).run(CALM, TROUBLE);
            sum.crashes += outcome.crashes;
            sum.late_reaches += outcome.late_reaches;
            sum.late_sound += outcome.late_sound;
            sum.late_withheld += outcome.late_withheld;
            sum.early_sound += outcome.early_sound;
            sum.early_withheld += outcome.early_withheld;
            sum.datagrams += outcome.datagrams;
        }
        println!("{rule:?}, fleet {scene}, {SEEDS} seeds: {sum:?}");
        sum.late_withheld + sum.early_withheld
    };
    for scene in 0..3 {
        let attribution = sum(Rule::Attribution, scene);
        assert!(attribution <= sum(Rule::Elimination, scene), "fleet {scene}");
    }
}
