//! Planned changes under random load: no stream is cut, floors and bounds hold, a leaving engine gets nothing new,
//! and a change whose engine can't run empty is given up.
//!
//! The engines here are the oracle's own: they keep every stream they let in until its last token, and their load
//! reports lag behind the truth.
#![allow(clippy::unwrap_used)]

mod drain_world;

use drain_world::*;
use proptest::prelude::*;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::drain::{ChangeOutcome, WeightQueues, roll_requests};
use shelfjunction_core::engine::Role;
use shelfjunction_core::identity::{EngineId, ModelId, WeightVersion};
use shelfjunction_core::orders::EngineGoal;

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn planned_changes_cut_nothing_and_end(events in proptest::collection::vec(event(), 1..300)) {
        let mut zone = Zone::new();
        for event in &events {
            zone.take(event);
            zone.step();
        }
        // Without new work and requests, every change ends and every engine that stays serves again.
        zone.requests.clear();
        for _ in 0..200 {
            zone.step();
        }
        prop_assert_eq!(zone.coordinator.changing().count(), 0);
        for engine in &zone.engines {
            prop_assert_eq!(engine.draining, engine.leaving, "{:?}", engine);
            prop_assert!(engine.streams.is_empty());
        }
    }
}

#[test]
fn a_change_that_never_runs_empty_is_given_up_and_the_engine_serves_again() {
    let mut zone = Zone::new();
    zone.take(&Event::Offer {
        engine: 0,
        wanted: u32::MAX,
    });
    for _ in 0..=LAG {
        zone.step();
    }
    zone.take(&Event::Role {
        engine: 0,
        role: Role::Prefill,
    });
    for _ in 0..40 {
        zone.step();
    }
    assert_eq!(
        (zone.begun, zone.ended.as_slice()),
        (1, [ChangeOutcome::GivenUp].as_slice())
    );
    assert!(!zone.engines[0].draining);
    assert_eq!(zone.engines[0].streams.len(), 1);
}

#[test]
fn a_change_that_the_engine_rejects_is_given_up_at_once() {
    let mut zone = Zone::new();
    zone.take(&Event::Offer {
        engine: 0,
        wanted: 20,
    });
    zone.take(&Event::Role {
        engine: 0,
        role: Role::Prefill,
    });
    zone.step();
    let engine = zone.engines[0].name.clone();
    zone.coordinator.on_rejected(&engine);
    for _ in 0..3 {
        zone.step();
    }
    assert_eq!(
        (zone.begun, zone.ended.as_slice()),
        (1, [ChangeOutcome::GivenUp].as_slice())
    );
    assert!(!zone.engines[0].draining);
}

#[test]
fn a_new_version_is_asked_of_model_engines_only() {
    let mut models = models();
    models[0].version = WeightVersion::new("2");
    let mut queues = WeightQueues::new(0);
    queues.note(ModelId::new("model"), WeightVersion::new("2"), 0);
    let mut views = vec![Engine::new(0).view(), Engine::new(1).view()];
    views[0].kind = ModelKind::Application;
    let asked: Vec<EngineId> = roll_requests(&views, &models, &queues)
        .into_iter()
        .map(|request| request.engine)
        .collect();
    assert_eq!(asked, [views[1].engine.clone()]);
}

#[test]
fn a_load_waits_for_the_weight_stores_queue() {
    let mut models = models();
    models[0].version = WeightVersion::new("2");
    let views = [Engine::new(0).view()];
    let asked = |queue: Option<u64>| {
        let mut queues = WeightQueues::new(500);
        if let Some(millis) = queue {
            queues.note(ModelId::new("model"), WeightVersion::new("2"), millis);
        }
        roll_requests(&views, &models, &queues).len()
    };
    assert_eq!([asked(None), asked(Some(501)), asked(Some(500))], [0, 0, 1]);
}

#[test]
fn a_goal_that_an_earlier_holder_committed_is_carried_on() {
    let mut zone = Zone::new();
    zone.engines[0].draining = true;
    zone.engines[0].goal = Some(EngineGoal {
        role: Role::Prefill,
        weights: vec![weights(1)],
        draining: false,
    });
    for _ in 0..20 {
        zone.step();
    }
    assert_eq!(zone.ended, [ChangeOutcome::Completed]);
    assert_eq!(
        (zone.engines[0].role, zone.engines[0].draining),
        (Role::Prefill, false)
    );
}
