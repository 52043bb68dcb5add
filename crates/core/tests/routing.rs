//! Rules of routing that hold independently of the cost: allowed zones, engine state, backoff and the cache estimate.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::{
    EngineRefusalReason, EngineStatus, KvChange, KvEvent, LoadReport, LoadedWeights, Role,
};
use shelfjunction_core::identity::{EngineId, FencingToken, ModelId, WeightVersion, ZoneId};
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::membership::record::{EngineRecord, Liveness};
use shelfjunction_core::outcome::RefusalReason;
use shelfjunction_core::routing::{FinishedWork, KvRouter, Route, RouteQuery, RoutingWeights};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn engine(index: usize) -> EngineId {
    EngineId::new(format!("engine-{index}"))
}

fn record(index: usize, zone: &str, role: Role, load: LoadReport) -> EngineRecord {
    EngineRecord {
        zone: ZoneId::new(zone),
        service: MachineService::ModelEngine {
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        },
        machine_state: MachineState::Live,
        liveness: Liveness::Alive,
        status: Some(EngineStatus {
            engine: engine(index),
            incarnation: 1,
            fence: FencingToken(0),
            last_order: None,
            role,
            draining: false,
            changing: false,
            weights: vec![LoadedWeights {
                model: ModelId::new("renewal"),
                version: WeightVersion::new("1"),
                adapters: Vec::new(),
            }],
            load,
        }),
    }
}

fn idle() -> LoadReport {
    LoadReport {
        prefill_tokens_per_second: 15_000,
        decode_tokens_per_second: 1_300,
        ..LoadReport::default()
    }
}

fn query(zones: &[&str]) -> RouteQuery {
    RouteQuery {
        model: ModelId::new("renewal"),
        adapter: None,
        kind: ModelKind::Model,
        prompt_blocks: (0..40).collect(),
        prompt_tokens: 640,
        expected_output_tokens: 60,
        class: ServiceClass::Interactive,
        allowed_zones: zones.iter().map(|zone| ZoneId::new(*zone)).collect(),
        home_zone: ZoneId::new("a"),
        excluded: Vec::new(),
    }
}

fn engines_of(route: &Route) -> Vec<EngineId> {
    match route {
        Route::Whole { engine, .. } => vec![engine.clone()],
        Route::Split { prefill, decode } => vec![prefill.engine.clone(), decode.engine.clone()],
        Route::Nowhere(_) => Vec::new(),
    }
}

fn now() -> MonotonicTime {
    MonotonicTime::from_millis(1_000_000)
}

fn add_engine(router: &mut KvRouter, index: usize, record: &EngineRecord) {
    router.on_engine_record(&engine(index), record, Duration::ZERO, now());
}

prop_compose! {
    fn any_record()(
        zone in 0..ZONES.len(),
        role in prop_oneof![Just(Role::Prefill), Just(Role::Decode), Just(Role::Mixed)],
        state in 0..8_u8,
        queued in 0..100_000_u64,
    ) -> (usize, Role, u8, u64) {
        (zone, role, state, queued)
    }
}

/// Builds a record, and tells whether the engine accepts new work.
fn build_record(index: usize, (zone, role, state, queued): (usize, Role, u8, u64)) -> (EngineRecord, bool) {
    let load = LoadReport {
        queued_prefill_tokens: queued,
        ..idle()
    };
    let mut record = record(index, ZONES[zone], role, load);
    let status = record.status.as_mut().unwrap();
    match state {
        0 => status.draining = true,
        1 => status.changing = true,
        2 => record.machine_state = MachineState::Leaving,
        3 => record.liveness = Liveness::Leaving,
        4 => record.liveness = Liveness::Dead,
        _ => return (record, true),
    }
    (record, false)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn only_available_engines_in_allowed_zones_are_chosen(
        fleet in prop::collection::vec(any_record(), 1..40),
        allowed in prop::sample::subsequence(ZONES.to_vec(), 0..=3),
        seed in any::<u64>(),
    ) {
        let mut router = KvRouter::new(RoutingWeights::default());
        let mut available = Vec::new();
        for (index, parameters) in fleet.iter().enumerate() {
            let (record, accepts_work) = build_record(index, *parameters);
            let role = record.status.as_ref().unwrap().role;
            let is_allowed_zone = allowed.contains(&record.zone.as_str());
            add_engine(&mut router, index, &record);
            if accepts_work && is_allowed_zone {
                available.push((engine(index), role));
            }
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let route = router.choose(&query(&allowed), now(), &mut random);
        let chosen = engines_of(&route);
        for engine in &chosen {
            prop_assert!(available.iter().any(|(known, _)| known == engine), "{engine} must not be chosen");
        }
        let has = |role: Role| available.iter().any(|(_, known)| *known == role);
        let serves = has(Role::Mixed) || (has(Role::Prefill) && has(Role::Decode));
        prop_assert_eq!(serves, !chosen.is_empty(), "a request is placed if and only if an allowed engine can serve it");
        if let Route::Split { prefill, decode } = &route {
            let role = |engine: &EngineId| available.iter().find(|(known, _)| known == engine).unwrap().1;
            prop_assert_ne!(role(&prefill.engine), Role::Decode);
            prop_assert_ne!(role(&decode.engine), Role::Prefill);
        }
    }
}

#[test]
fn an_engine_is_avoided_for_a_while_after_a_refusal_or_connection_failure() {
    let mut router = KvRouter::new(RoutingWeights::default());
    for index in 0..2 {
        add_engine(&mut router, index, &record(index, "a", Role::Mixed, idle()));
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let ticket = router.on_dispatched(&engine(0), &query(&["a"]), now());
    router.on_connection_failed(&engine(0), &ticket, now());
    let ticket = router.on_dispatched(&engine(1), &query(&["a"]), now());
    router.on_refused(&engine(1), &ticket, EngineRefusalReason::Draining, now());
    let route = router.choose(&query(&["a"]), now(), &mut random);
    assert_eq!(route, Route::Nowhere(RefusalReason::EnginesRefused));
    let later = now() + Duration::from_secs(60);
    assert!(!engines_of(&router.choose(&query(&["a"]), later, &mut random)).is_empty());
}

#[test]
fn an_engine_slower_than_its_reports_receives_less_load() {
    let mut router = KvRouter::new(RoutingWeights::default());
    for index in 0..3 {
        add_engine(&mut router, index, &record(index, "a", Role::Mixed, idle()));
    }
    let mut time = now();
    for round in 0..30 {
        for index in 0..3 {
            let ticket = router.on_dispatched(&engine(index), &query(&["a"]), time);
            let is_slow = index == 0;
            let first_token = Duration::from_millis(if is_slow { 2_000 } else { 50 });
            let work = FinishedWork {
                output_tokens: 60,
                first_token: Some(first_token),
                total: first_token + Duration::from_millis(600),
            };
            router.on_finished(&engine(index), &ticket, &work, time + work.total);
        }
        time = now() + Duration::from_millis(100 * round);
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20 {
        let route = router.choose(&query(&["a"]), time, &mut random);
        let chosen = engines_of(&route);
        assert_ne!(chosen, vec![engine(0)]);
        router.on_dispatched(&chosen[0], &query(&["a"]), time);
    }
}

#[test]
fn a_gap_in_cache_events_clears_the_cache_estimate() {
    let mut router = KvRouter::new(RoutingWeights::default());
    add_engine(&mut router, 0, &record(0, "a", Role::Mixed, idle()));
    let stored = |sequence: u64, blocks: std::ops::Range<u64>| KvEvent {
        sequence,
        change: KvChange::Stored {
            blocks: blocks.collect(),
        },
    };
    let overlap = |router: &KvRouter| {
        let blocks: Vec<u64> = (0..40).collect();
        router.engine(&engine(0)).unwrap().cache.overlap(&blocks)
    };
    router.on_kv_events(&engine(0), 1, &[stored(1, 0..10), stored(2, 10..20)]);
    assert_eq!(overlap(&router), 20);
    router.on_kv_events(&engine(0), 1, &[stored(4, 20..40)]);
    assert_eq!(
        overlap(&router),
        0,
        "the missing event 3 may have removed any block"
    );
    router.on_kv_events(&engine(0), 2, &[stored(1, 0..5)]);
    router.on_kv_events(&engine(0), 1, &[stored(5, 0..40)]);
    assert_eq!(
        overlap(&router),
        5,
        "events of an earlier incarnation are ignored"
    );
}
