//! Reports of usage windows over a store that is restored from older copies and does calls late: no window gets two different
//! reports, whoever holds the lease.

#![allow(clippy::unwrap_used)]

mod report_world;

use proptest::prelude::*;
use report_world::{Fault, World};
use shelfjunction_core::metering::WindowNumber;

#[test]
fn a_holder_that_outlives_a_restore_keeps_the_figures_that_it_has_reported() {
    let mut world = World::new(1, 1);
    world.run(17_000);
    world.strike(Fault::Restore {
        age_millis: 6_000,
        away_millis: 1_000,
    });
    world.run(40_000);
    assert_eq!(world.platform.missing(), []);
}

#[test]
fn a_successor_in_a_new_era_leaves_out_windows_that_its_predecessor_may_have_reported() {
    let mut world = World::new(1, 1);
    world.run(17_000);
    let reported = world.last_reported();
    world.strike(Fault::Kill(0));
    world.strike(Fault::Restore {
        age_millis: 6_000,
        away_millis: 500,
    });
    world.run(60_000);
    assert_eq!(world.platform.reports[&reported].1, 1);
    assert!(
        world.last_reported().0 >= reported.0 + 8,
        "later windows are reported"
    );
}

#[test]
fn a_holder_that_was_replaced_before_a_restore_leaves_out_what_its_successor_may_have_reported() {
    let mut world = World::new(2, 1);
    world.run(12_000);
    let first = world.holder().unwrap();
    world.strike(Fault::Pause {
        process: first,
        millis: 16_000,
    });
    world.run(26_000);
    let reported = world.last_reported();
    world.strike(Fault::Kill(1 - first));
    world.strike(Fault::Restore {
        age_millis: 15_900,
        away_millis: 500,
    });
    world.run(70_000);
    assert!(
        world.last_reported().0 >= reported.0 + 7,
        "later windows are reported"
    );
}

#[test]
fn a_process_without_restores_leaves_nothing_out() {
    let mut world = World::new(3, 1);
    world.run(20_000);
    world.strike(Fault::Kill(world.holder().unwrap()));
    world.run(60_000);
    assert_eq!(world.platform.missing(), []);
}

#[test]
fn a_recording_done_late_on_restored_rows_is_not_reported() {
    let mut world = World::new(3, 13_695_711_809_676_257_533);
    world.run(8_000);
    let faults = [
        (4_701, Fault::KillAll),
        (
            1_501,
            Fault::Pause {
                process: 1,
                millis: 3_901,
            },
        ),
        (3_201, Fault::CallsLate { millis: 1_801 }),
        (3_401, Fault::Kill(0)),
        (
            201,
            Fault::Restore {
                age_millis: 1_601,
                away_millis: 0,
            },
        ),
        (0, Fault::Kill(0)),
    ];
    for (pause, fault) in faults {
        world.run(world.now() + pause);
        world.strike(fault);
    }
    world.run(60_000);
    assert_eq!(world.platform.reports[&WindowNumber(202)].1, 1);
}

fn fault() -> impl Strategy<Value = Fault> {
    let process = 0_usize..3;
    prop_oneof![
        2 => process.clone().prop_map(Fault::Kill),
        1 => Just(Fault::KillAll),
        2 => (process.clone(), 1_000_u64..12_000).prop_map(|(process, millis)| Fault::Pause { process, millis }),
        2 => (process, 1_000_u64..9_000).prop_map(|(process, millis)| Fault::CutOff { process, millis }),
        3 => (0_u64..12_000, 0_u64..4_000)
            .prop_map(|(age_millis, away_millis)| Fault::Restore { age_millis, away_millis }),
        2 => (500_u64..8_000).prop_map(|millis| Fault::CallsLate { millis }),
        2 => (500_u64..12_000).prop_map(|millis| Fault::PlatformDown { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_window_gets_two_different_reports_over_restores_and_late_calls(
        seed in any::<u64>(),
        faults in prop::collection::vec((0_u64..5_000, fault()), 1..16),
    ) {
        let mut world = World::new(3, seed);
        world.run(8_000);
        for (pause, fault) in faults {
            let until = world.now() + pause;
            world.run(until);
            world.strike(fault);
        }
        let calm_from = world.now() + 15_000;
        world.run(calm_from);
        let reported = world.last_reported();
        world.run(calm_from + 40_000);
        prop_assert!(world.last_reported().0 >= reported.0 + 6, "reports go on");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn a_recording_that_is_lost_around_a_restore_and_a_kill_gives_no_second_report(
        seed in any::<u64>(),
        begin in 9_000_u64..17_000,
        late in 500_u64..3_000,
        until_restore in 0_u64..3_000,
        (age_millis, away_millis) in (0_u64..3_000, 0_u64..1_000),
        platform_down in prop::option::of(3_000_u64..12_000),
        pause in prop::option::of((0_usize..3, 3_000_u64..9_000)),
        is_killed_at_once in any::<bool>(),
        (until_kill, kills) in (0_u64..9_000, 0_usize..3),
    ) {
        let mut world = World::new(3, seed);
        world.run(begin);
        world.strike(Fault::CallsLate { millis: late });
        if let Some(millis) = platform_down {
            world.strike(Fault::PlatformDown { millis });
        }
        world.run(begin + until_restore);
        if let Some((process, millis)) = pause {
            world.strike(Fault::Pause { process, millis });
        }
        world.strike(Fault::Restore { age_millis, away_millis });
        if is_killed_at_once && let Some(holder) = world.holder() {
            world.strike(Fault::Kill(holder));
        }
        world.run(world.now() + until_kill);
        for _ in 0..kills {
            if let Some(holder) = world.holder() {
                world.strike(Fault::Kill(holder));
            }
            if pause.is_some() {
                world.strike(Fault::CallsLate { millis: late });
            }
            world.run(world.now() + 6_000);
        }
        world.run(world.now() + 25_000);
    }
}
