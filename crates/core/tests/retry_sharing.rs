//! What all nodes grant together stays within the budget of every window, whatever is killed and started again.
//!
//! Users saw a service receive more arrivals beyond the first of each request than the budget of a window gives, on 66
//! nodes and each time around a kill of all. Many engines refused, so nodes granted all that they had; then all nodes
//! were killed. Each came back within the window with nothing spent, and until it had read the list of nodes it took
//! an eighth of the slack where a sixty-sixth was its part.
//! Evidence: in the worst window of the reproduction, 4,634 arrivals beyond the first for 4,529 allowed, 2,038 of
//! 4,825 repeats were granted by processes younger than the window, and nodes had 44 repeats left 26 ms after their
//! start, a fifth less than an eighth of a slack of 448.

#![allow(clippy::unwrap_used)]

mod retry_world;

use proptest::prelude::*;
use retry_world::Fleet;
use shelfjunction_core::retry::window::WindowBudgetSettings;
use std::time::Duration;

const SETTINGS: WindowBudgetSettings = WindowBudgetSettings {
    ratio: 0.2,
    slack: 448.0,
    window: Duration::from_secs(10),
};

/// Part of the budget that a settled node may use among settled ones.
const WHOLE_PART: f64 = 0.8;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn kills_of_all_leave_the_budget_of_every_window_kept() {
    const NODES: usize = 66;
    let mut fleet = Fleet::new(NODES, SETTINGS, 1);
    fleet.pass(seconds(14), 2, false);
    fleet.pass(seconds(5), 2, true);
    for _ in 0..4 {
        fleet.kill(0..NODES, Duration::from_millis(500), true);
        fleet.pass(seconds(5), 2, true);
    }
    assert_eq!(fleet.seen.breach(&SETTINGS), None);
}

/// The load of the dead comes to the rest, who earn from it a second time.
#[test]
fn half_of_the_nodes_gone_for_long_leave_the_budget_kept() {
    for (nodes, first) in [(8, 0), (66, 0), (66, 33)] {
        let mut fleet = Fleet::new(nodes, SETTINGS, 2);
        fleet.pass(seconds(14), 2, false);
        fleet.pass(seconds(1), 2, true);
        fleet.kill(first..first + nodes / 2, seconds(20), true);
        fleet.pass(seconds(30), 2, true);
        let breach = fleet.seen.breach(&SETTINGS);
        assert_eq!(breach, None, "{nodes} nodes, {first} and those behind it gone");
    }
}

#[test]
fn a_rolling_restart_of_all_leaves_the_budget_kept() {
    for nodes in [3, 8, 66] {
        let mut fleet = Fleet::new(nodes, SETTINGS, 3);
        fleet.pass(seconds(14), 2, false);
        let at_once = nodes.div_ceil(20);
        for first in (0..nodes).step_by(at_once) {
            fleet.kill(first..(first + at_once).min(nodes), seconds(1), true);
            fleet.pass(Duration::from_millis(800), 2, true);
        }
        fleet.pass(seconds(12), 2, true);
        assert_eq!(fleet.seen.breach(&SETTINGS), None, "{nodes} nodes");
    }
}

/// Kills some of the nodes in calm and starts them again; everybody uses the whole part soon afterwards.
fn calm_kills_take_nothing(nodes: usize, killed: std::ops::Range<usize>) {
    let mut fleet = Fleet::new(nodes, SETTINGS, 4);
    fleet.pass(seconds(14), 1, false);
    fleet.kill(killed, Duration::from_millis(500), true);
    fleet.pass(Duration::from_millis(1_300), 1, false);
    for number in 0..nodes {
        let part = fleet.share(number).usable_part();
        assert_eq!(part, WHOLE_PART, "node {number} of {nodes}");
    }
}

/// One that starts while the others go on uses as much as they do, as soon as it has heard one of them.
#[test]
fn a_single_kill_takes_nothing_from_anybody() {
    for nodes in [7, 8, 66, 300] {
        calm_kills_take_nothing(nodes, nodes - 1..nodes);
    }
}

/// While little is granted there is little to forget.
#[test]
fn half_of_the_nodes_killed_in_calm_take_nothing_from_anybody() {
    for nodes in [8, 66] {
        calm_kills_take_nothing(nodes, nodes / 2..nodes);
    }
}

/// After the window all is as before.
#[test]
fn a_window_after_a_kill_of_all_everybody_uses_the_whole_part_again() {
    let mut fleet = Fleet::new(66, SETTINGS, 5);
    fleet.pass(seconds(14), 1, false);
    fleet.kill(0..66, seconds(1), true);
    fleet.pass(seconds(2), 1, false);
    assert!(fleet.share(40).usable_part() < 0.2);
    fleet.pass(seconds(11), 1, false);
    assert_eq!(fleet.share(40).usable_part(), WHOLE_PART);
}

/// Without the list of nodes nobody knows his part of the slack.
#[test]
fn a_node_that_knows_nobody_takes_no_slack() {
    let mut fleet = Fleet::new(66, SETTINGS, 6);
    fleet.kill(0..66, Duration::ZERO, false);
    fleet.pass(seconds(12), 1, false);
    assert_eq!(fleet.share(0).slack_part(SETTINGS.window), 0.0);
}

#[derive(Clone, Debug)]
enum Step {
    Pass {
        millis: u64,
        refuse: bool,
    },
    Kill {
        first: usize,
        count: usize,
        down_millis: u64,
        list_readable: bool,
    },
    Freeze {
        first: usize,
        count: usize,
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (100u64..6_000, any::<bool>()).prop_map(|(millis, refuse)| Step::Pass { millis, refuse }),
        3 => (0usize..66, 1usize..67, 100u64..3_000, any::<bool>()).prop_map(
            |(first, count, down_millis, list_readable)| Step::Kill { first, count, down_millis, list_readable }
        ),
        1 => (0usize..66, 1usize..10, 500u64..8_000)
            .prop_map(|(first, count, millis)| Step::Freeze { first, count, millis }),
    ]
}

fn some_nodes(first: usize, count: usize, nodes: usize) -> impl Iterator<Item = usize> {
    (0..count.min(nodes)).map(move |offset| (first + offset) % nodes)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]
    /// Whatever is killed, frozen and started again, as often as it may be, the budget of every window is kept.
    #[test]
    fn kills_and_freezes_at_any_moment_leave_the_budget_kept(
        nodes in prop::sample::select(vec![1usize, 3, 8, 66]),
        slack in prop::sample::select(vec![0.0, 20.0, 448.0, 5_000.0]),
        words_lost in prop::sample::select(vec![0.0, 0.2]),
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 3..14),
    ) {
        let settings = WindowBudgetSettings { slack, ..SETTINGS };
        let mut fleet = Fleet::new(nodes, settings, seed);
        fleet.words_lost = words_lost;
        fleet.pass(seconds(11), 1, false);
        for step in steps {
            match step {
                Step::Pass { millis, refuse } => fleet.pass(Duration::from_millis(millis), 1, refuse),
                Step::Kill { first, count, down_millis, list_readable } => {
                    let down = Duration::from_millis(down_millis);
                    fleet.kill(some_nodes(first, count, nodes), down, list_readable);
                }
                Step::Freeze { first, count, millis } => {
                    fleet.freeze(some_nodes(first, count, nodes), Duration::from_millis(millis));
                }
            }
        }
        prop_assert_eq!(fleet.seen.breach(&settings), None);
    }
}
