//! Callers that read slowly: what is kept for them, and who is let go when.

use shelfjunction_core::forwarding::{Delivery, DeliverySettings};
use std::time::Duration;

const SETTINGS: DeliverySettings = DeliverySettings {
    connection_bytes: 10_000,
    node_bytes: 100_000,
    patience_millis: 4_000,
};

fn judge(kept: usize, kept_for_all: usize, stalled_millis: u64) -> Delivery {
    SETTINGS.judge(kept, kept_for_all, Duration::from_millis(stalled_millis))
}

#[test]
fn a_caller_that_takes_everything_is_never_let_go() {
    assert_eq!(judge(0, 0, 60_000), Delivery::ReadOn);
    assert_eq!(
        judge(0, 200_000, 60_000),
        Delivery::ReadOn,
        "though others fill the node"
    );
}

#[test]
fn an_answer_is_taken_from_its_engine_up_to_the_bound_of_a_connection() {
    assert_eq!(judge(9_999, 9_999, 0), Delivery::ReadOn);
    assert_eq!(judge(10_000, 10_000, 0), Delivery::StopReading);
}

#[test]
fn a_caller_that_takes_nothing_is_let_go_after_the_patience() {
    assert_eq!(judge(1, 1, 4_000), Delivery::ReadOn);
    assert_eq!(judge(1, 1, 4_001), Delivery::LetGo);
    assert_eq!(judge(10_000, 10_000, 4_001), Delivery::LetGo);
}

#[test]
fn the_fuller_the_node_the_sooner_it_is_let_go() {
    assert_eq!(
        judge(500, 50_000, 3_900),
        Delivery::ReadOn,
        "up to half nothing changes"
    );
    assert_eq!(judge(500, 75_000, 2_100), Delivery::LetGo);
    assert_eq!(judge(500, 75_000, 1_900), Delivery::ReadOn);
    assert_eq!(judge(500, 100_000, 1), Delivery::LetGo);
    assert_eq!(
        judge(500, 100_000, 0),
        Delivery::ReadOn,
        "one that has just taken something stays"
    );
}

#[test]
fn what_is_kept_for_all_stays_bounded_when_a_tenth_of_the_callers_take_nothing() {
    let (callers, made_each_step, step_millis) = (1_000_usize, 200_usize, 100_u64);
    let mut kept = vec![0_usize; callers / 10];
    let mut stalled_since = vec![0_u64; callers / 10];
    let mut most = 0;
    for step in 0..100 {
        let now = step * step_millis;
        for caller in 0..kept.len() {
            let all = kept.iter().sum();
            match judge(kept[caller], all, now - stalled_since[caller]) {
                Delivery::ReadOn => kept[caller] += made_each_step,
                Delivery::StopReading => {}
                Delivery::LetGo => {
                    kept[caller] = 0;
                    stalled_since[caller] = now;
                }
            }
        }
        most = most.max(kept.iter().sum());
    }
    assert!(
        most <= SETTINGS.node_bytes + kept.len() * made_each_step,
        "{most} bytes kept"
    );
}

#[test]
fn settings_out_of_range_are_named() {
    let settings = DeliverySettings {
        connection_bytes: 10,
        node_bytes: 5,
        patience_millis: 1,
    };
    let fields: Vec<String> = settings.validate().into_iter().map(|fault| fault.field).collect();
    assert_eq!(
        fields,
        [
            "delivery.connection_bytes",
            "delivery.node_bytes",
            "delivery.patience_millis"
        ]
    );
    assert!(DeliverySettings::default().validate().is_empty());
}
