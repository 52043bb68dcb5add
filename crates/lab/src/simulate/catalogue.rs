//! The workloads that are measured.

use super::deployment::Deployment;
use super::trace::DisturbanceKind;
use super::workload::{MixSide, StreamShape, Swing, Workload};
use shelfjunction_core::service_class::ServiceClass;
use std::time::Duration;

/// Length of a run, in seconds.
const RUN_SECONDS: f64 = 600.0;
/// Length of a run with long phases, in seconds.
const LONG_RUN_SECONDS: f64 = 1_500.0;
/// Time until a lost zone or a crashed engine is back.
const BACK_AFTER: Duration = Duration::from_secs(120);
/// Time until a crashed engine's process answers again.
const RESTART_AFTER: Duration = Duration::from_secs(5);

/// All workloads, those held out for the final figure last.
pub fn workloads() -> Vec<Workload> {
    vec![
        pharmacy("pharmacy-swings"),
        kadriks("kadriks-swings"),
        pharmacy_day(),
        kadriks_day(),
        pharmacy_long_swings(),
        kadriks_long_swings(),
        pharmacy_zone_lost(),
        kadriks_crash_in_change(),
        pharmacy_lagging(),
        pharmacy_greedy(),
        pharmacy_held_out(),
        kadriks_held_out(),
    ]
}

fn pharmacy(name: &'static str) -> Workload {
    Workload {
        name,
        deployment: Deployment::pharmacy(),
        streams: vec![
            stream(
                ServiceClass::Interactive,
                MixSide::Replies,
                40.0,
                (300.0, 0.4),
                (60.0, 0.4),
                0.3,
            ),
            stream(
                ServiceClass::Standard,
                MixSide::Replies,
                10.0,
                (900.0, 0.4),
                (220.0, 0.4),
                0.5,
            ),
            stream(
                ServiceClass::Batch,
                MixSide::Prompts,
                12.0,
                (4_000.0, 0.3),
                (120.0, 0.4),
                0.1,
            ),
        ],
        swing: Swing {
            phase_seconds: (90.0, 240.0),
            high: 1.6,
            low: 0.4,
            burst: 2.2,
            burst_seconds: 20.0,
        },
        seconds: RUN_SECONDS,
        day_depth: 0.0,
        greedy_tenant: None,
        extra_report_lag_millis: 0,
        disturbances: Vec::new(),
        held_out: false,
    }
}

fn kadriks(name: &'static str) -> Workload {
    Workload {
        name,
        deployment: Deployment::kadriks(),
        streams: vec![
            stream(
                ServiceClass::Interactive,
                MixSide::Replies,
                32.0,
                (1_500.0, 0.3),
                (24.0, 0.5),
                0.8,
            ),
            stream(
                ServiceClass::Standard,
                MixSide::Prompts,
                4.5,
                (6_000.0, 0.3),
                (20.0, 0.5),
                0.2,
            ),
            stream(
                ServiceClass::Batch,
                MixSide::Replies,
                4.0,
                (2_000.0, 0.3),
                (300.0, 0.4),
                0.5,
            ),
        ],
        swing: Swing {
            phase_seconds: (60.0, 150.0),
            high: 1.7,
            low: 0.3,
            burst: 2.5,
            burst_seconds: 15.0,
        },
        seconds: RUN_SECONDS,
        day_depth: 0.0,
        greedy_tenant: None,
        extra_report_lag_millis: 0,
        disturbances: Vec::new(),
        held_out: false,
    }
}

fn pharmacy_day() -> Workload {
    Workload {
        day_depth: 0.4,
        ..pharmacy("pharmacy-day")
    }
}

fn kadriks_day() -> Workload {
    Workload {
        day_depth: 0.4,
        ..kadriks("kadriks-day")
    }
}

/// Phases so long and so far apart that no split of the engines fits both.
fn pharmacy_long_swings() -> Workload {
    Workload {
        swing: long_swing(),
        seconds: LONG_RUN_SECONDS,
        ..pharmacy("pharmacy-long-swings")
    }
}

fn kadriks_long_swings() -> Workload {
    let mut workload = kadriks("kadriks-long-swings");
    workload.swing = long_swing();
    workload.seconds = LONG_RUN_SECONDS;
    workload.streams[1].rate *= 1.8;
    workload
}

fn long_swing() -> Swing {
    Swing {
        phase_seconds: (240.0, 420.0),
        high: 1.9,
        low: 0.1,
        burst: 2.2,
        burst_seconds: 20.0,
    }
}

fn pharmacy_zone_lost() -> Workload {
    let kind = DisturbanceKind::ZoneLost {
        zone: 1,
        back_after: BACK_AFTER,
    };
    Workload {
        disturbances: vec![(0.4, kind)],
        ..pharmacy("pharmacy-zone-lost")
    }
}

fn kadriks_crash_in_change() -> Workload {
    let crash = DisturbanceKind::EngineCrash {
        engine: 4,
        back_after: RESTART_AFTER,
    };
    Workload {
        disturbances: vec![(0.1, DisturbanceKind::CrashInNextChange), (0.6, crash)],
        ..kadriks("kadriks-crash-in-change")
    }
}

fn pharmacy_lagging() -> Workload {
    let slow = DisturbanceKind::EngineSlow {
        engine: 2,
        factor: 4.0,
    };
    let recovered = DisturbanceKind::EngineSlow {
        engine: 2,
        factor: 1.0,
    };
    let lies = DisturbanceKind::EngineLies {
        engine: 6,
        factor: 0.1,
    };
    Workload {
        extra_report_lag_millis: 2_000,
        disturbances: vec![(0.2, slow), (0.5, recovered), (0.6, lies)],
        ..pharmacy("pharmacy-lagging")
    }
}

fn pharmacy_greedy() -> Workload {
    Workload {
        greedy_tenant: Some((1, 4.0)),
        ..pharmacy("pharmacy-greedy")
    }
}

fn pharmacy_held_out() -> Workload {
    let mut workload = pharmacy("pharmacy-held-out");
    workload.streams[0].rate *= 1.15;
    workload.streams[2].prompt = (5_000.0, 0.5);
    workload.streams[2].rate *= 0.8;
    workload.swing.phase_seconds = (60.0, 300.0);
    workload.day_depth = 0.2;
    workload.held_out = true;
    workload
}

fn kadriks_held_out() -> Workload {
    let mut workload = kadriks("kadriks-held-out");
    workload.streams[1].prompt = (7_500.0, 0.4);
    workload.streams[1].rate *= 0.8;
    workload.streams[2].rate *= 1.1;
    workload.swing.phase_seconds = (45.0, 200.0);
    workload.day_depth = 0.2;
    workload.held_out = true;
    workload
}

fn stream(
    class: ServiceClass,
    side: MixSide,
    rate: f64,
    prompt: (f64, f64),
    output: (f64, f64),
    reuse: f64,
) -> StreamShape {
    StreamShape {
        class,
        side,
        rate,
        prompt,
        output,
        reuse,
    }
}
