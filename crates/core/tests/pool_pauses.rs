//! Pauses of streams: what is expected of them, and how many streams keep their pace under the choices made by it.

#![allow(clippy::unwrap_used)]

mod pauses_world;
mod pool_support;

use pauses_world::{Setup, Streams, play};
use pool_support::{engine_with, pool, router_with};
use shelfjunction_core::identity::{EngineId, NodeId, ZoneId};
use shelfjunction_core::routing::pool::pauses::{
    EventInterval, PauseForecast, RecentPrefill, late_probability,
};
use shelfjunction_core::routing::pool::{
    EngineLoad, EngineStage, KvCacheSource, PeerLoad, PeerLoadSlice, PoolQuery, PoolRoute, PoolRouter,
    PoolWeights, PrefillSpeed, PromptPart, PromptShape, RequestConstraints,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);
const BOUND: Duration = Duration::from_millis(200);
const PAUSE_SECONDS: f64 = 0.2;

fn foreseeing() -> PoolWeights {
    PoolWeights {
        pause_seconds: PAUSE_SECONDS,
        ..PoolWeights::default()
    }
}

mod expected {
    use super::*;

    fn forecast(work_factor: f64) -> PauseForecast {
        PauseForecast {
            event_interval_seconds: 0.050,
            prefill: PrefillSpeed::with_initial_speed(30_000.0),
            work_factor,
            recent_prefill_tokens: 0.0,
        }
    }

    #[test]
    fn a_pause_is_an_event_and_the_reading_beside_it_times_the_engines_factor() {
        let usual = forecast(1.0);
        assert!((usual.pause(0.0) - 0.050).abs() < 1e-9);
        assert!((usual.pause(3_000.0) - 0.160).abs() < 1e-9);
        assert!((forecast(4.0).pause(0.0) - 0.200).abs() < 1e-9);
    }

    #[test]
    fn what_was_read_of_late_still_counts_and_fades() {
        let mut lately = RecentPrefill::default();
        assert!(lately.tokens(NOW) == 0.0);
        lately.observe(9_000.0, NOW);
        lately.observe(1_000.0, NOW + Duration::from_millis(100));
        let after = |millis| lately.tokens(NOW + Duration::from_millis(millis));
        assert!(after(100) > 7_000.0, "a lesser reading does not hide it");
        assert!(after(3_000) < 50.0);
        let reader = PauseForecast {
            recent_prefill_tokens: after(100),
            ..forecast(1.0)
        };
        let none = EngineLoad::default();
        assert!(reader.own_late_probability(none.all_prompt_tokens(), Some(BOUND)) > 0.8);
        assert!(forecast(1.0).own_late_probability(none.all_prompt_tokens(), Some(BOUND)) < 0.01);
    }

    #[test]
    fn the_share_late_grows_steeply_towards_the_bound_and_ends_at_one() {
        assert!(late_probability(0.100, BOUND) < 0.07);
        assert!((late_probability(0.200, BOUND) - 0.5).abs() < 1e-9);
        assert!(late_probability(0.400, BOUND) > 0.9);
        assert!(late_probability(1e9, BOUND) <= 1.0);
        assert!(late_probability(f64::MAX, Duration::ZERO) <= 1.0);
    }

    #[test]
    fn only_streams_that_a_reading_makes_late_are_counted() {
        let keeping_pace = EngineLoad {
            outputs: 6.0,
            streams: 6.0,
            min_event_gap_limit: Some(BOUND),
            ..EngineLoad::default()
        };
        let late_already = EngineLoad {
            prompt_tokens: [0.0, 40_000.0, 0.0, 0.0],
            ..keeping_pace
        };
        let no_bound = EngineLoad {
            min_event_gap_limit: None,
            ..keeping_pace
        };
        let made_late = |work: &EngineLoad| forecast(1.0).added_late_streams(work, 8_000.0, Some(0.0));
        assert!(made_late(&keeping_pace) > 4.0);
        assert!(made_late(&late_already) < 0.1);
        assert!(made_late(&no_bound) == 0.0);
    }

    #[test]
    fn the_pace_follows_what_is_seen_and_one_long_pause_moves_it_little() {
        let mut pace = EventInterval::default();
        (0..50).for_each(|_| pace.observe(0.050));
        pace.observe(5.0);
        assert!(pace.seconds() < 0.055, "{}", pace.seconds());
    }
}

mod choice {
    use super::*;

    /// One engine that reads and one that runs six streams of another node.
    fn beside_streams(weights: PoolWeights, bound_millis: u32) -> PoolRouter {
        let engines = [
            engine_with("p1", EngineStage::Prefill, 64),
            engine_with("d1", EngineStage::Decode, 64),
        ];
        let mut router = router_with(weights, 64, Some(1e-7), &engines);
        let handle = router.engine(&EngineId::new("d1")).unwrap().handle;
        let work = PeerLoad {
            requests: 6,
            outputs: 6,
            streams: if bound_millis > 0 { 6 } else { 0 },
            min_event_gap_limit_millis: bound_millis,
            ..PeerLoad::default()
        };
        router.on_peer_load(&NodeId::new("other"), PeerLoadSlice::ALL, &[(handle, work)], NOW);
        router
    }

    fn route(router: &PoolRouter, tokens: u32, max_event_gap: Option<Duration>) -> PoolRoute {
        asked(tokens, max_event_gap, |query| router.choose(query, NOW))
    }

    fn asked<T>(tokens: u32, max_event_gap: Option<Duration>, ask: impl FnOnce(&PoolQuery<'_>) -> T) -> T {
        let prompt = PromptShape {
            model: "m".to_owned(),
            parts: vec![PromptPart { name: 1, tokens }],
            tokens,
            output_tokens: 100,
            output_estimate: None,
        };
        let query = PoolQuery {
            from_this_node: true,
            pool: &pool(),
            prompt: Some(&prompt),
            prefixes: &prompt.prefixes(),
            zone: &ZoneId::new("zone-a"),
            excluded: &[],
            last_resort: false,
            constraints: RequestConstraints {
                max_event_gap,
                ..RequestConstraints::default()
            },
            draw: 0,
            rank: 1,
            remaining: Duration::from_secs(5),
            slot_max_wait: Duration::ZERO,
        };
        ask(&query)
    }

    #[test]
    fn nodes_tell_how_many_streams_keep_their_pace_and_the_shortest_bound() {
        let mut one = beside_streams(foreseeing(), 0);
        let mut other = one.clone();
        let engine = EngineId::new("d1");
        let mut send = |bound_millis| {
            let bound = Some(Duration::from_millis(bound_millis));
            asked(0, bound, |query| {
                one.on_output_sent(&engine, query, KvCacheSource::Transfer, NOW)
            })
        };
        let (_, strict) = (send(300), send(200));
        let mut heard = |one: &PoolRouter| {
            other.on_peer_load(&NodeId::new("one"), PeerLoadSlice::ALL, &one.own_load(), NOW);
            let work = other.engine(&engine).unwrap().load(NOW);
            (work.streams, work.min_event_gap_limit)
        };
        assert_eq!(heard(&one), (2.0, Some(Duration::from_millis(200))));
        one.on_event_gap_exceeded(&strict);
        assert_eq!(heard(&one), (1.0, Some(Duration::from_millis(300))));
    }

    #[test]
    fn a_prompt_is_read_apart_where_streams_that_another_node_told_of_would_pause_too_long() {
        // A hand-over costs more than reading beside outputs, but for the pauses.
        let beside = |pause_seconds| PoolWeights {
            pause_seconds,
            decode_reading_pace: 1.0,
            decode_reading_stall: 0.0,
            decode_reading_harm: 0.0,
            ..PoolWeights::default()
        };
        let without = beside_streams(beside(0.0), 200);
        assert!(matches!(route(&without, 5_000, None), PoolRoute::Whole(_)));
        let foreseen = beside_streams(beside(PAUSE_SECONDS), 200);
        assert!(matches!(route(&foreseen, 5_000, None), PoolRoute::Split { .. }));
        let generous = beside_streams(beside(PAUSE_SECONDS), 5_000);
        assert!(matches!(route(&generous, 5_000, None), PoolRoute::Whole(_)));
    }

    #[test]
    fn a_reading_too_large_for_every_bound_still_goes_somewhere() {
        let engines = [engine_with("d1", EngineStage::Decode, 64)];
        let mut router = router_with(foreseeing(), 64, Some(1e-7), &engines);
        let handle = router.engine(&EngineId::new("d1")).unwrap().handle;
        let work = PeerLoad {
            requests: 60,
            outputs: 60,
            streams: 60,
            min_event_gap_limit_millis: 1,
            ..PeerLoad::default()
        };
        router.on_peer_load(&NodeId::new("other"), PeerLoadSlice::ALL, &[(handle, work)], NOW);
        let bound = Some(Duration::from_millis(1));
        assert!(matches!(route(&router, 4_000_000, bound), PoolRoute::Whole(_)));
    }

    #[test]
    fn a_bound_that_nobody_names_changes_nothing() {
        let (plain, foreseen) = (
            beside_streams(PoolWeights::default(), 0),
            beside_streams(foreseeing(), 0),
        );
        for tokens in [100, 500, 1_000, 1_500, 3_000, 10_000, 50_000] {
            assert_eq!(route(&plain, tokens, None), route(&foreseen, tokens, None));
        }
    }

    #[test]
    fn the_setting_is_checked() {
        let wrong = PoolWeights {
            pause_seconds: -0.1,
            ..PoolWeights::default()
        };
        let errors = wrong.validate();
        assert_eq!(errors.len(), 1);
        assert_eq!(errors[0].field, "routing.pause_seconds");
        assert_eq!(errors[0].value, "-0.1");
    }
}

mod in_virtual_time {
    use super::*;

    const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

    fn setup(weights: PoolWeights, bound: Option<Duration>, seed: u64) -> Setup {
        Setup {
            nodes: 6,
            reading_engines: vec![1.0; 5],
            busy_share: 0.0,
            output_engines: vec![1.0, 1.0, 1.0, 1.0, 1.5, 1.5, 2.0, 2.0, 3.0, 4.0],
            requests_per_second: 75.0,
            seconds: 20,
            bound,
            first_event_within: Duration::from_millis(400),
            weights,
            seed,
        }
    }

    /// The runs of several seeds, without and with pauses foreseen.
    fn both(change: impl Fn(Setup) -> Setup) -> [Vec<Streams>; 2] {
        [PoolWeights::default(), foreseeing()].map(|weights| {
            let run = |seed| play(change(setup(weights.clone(), Some(BOUND), seed)));
            SEEDS.map(run).collect()
        })
    }

    fn mean(streams: &[Streams], share: impl Fn(&Streams) -> f64) -> f64 {
        streams.iter().map(share).sum::<f64>() / streams.len() as f64
    }

    fn shares(streams: &[Streams]) -> [f64; 3] {
        [
            mean(streams, Streams::share_late_by_pause),
            mean(streams, Streams::share_late_by_first_event),
            mean(streams, Streams::share_late),
        ]
    }

    #[test]
    fn fewer_streams_pause_too_long_and_fewer_are_late_in_all() {
        let [before, after] = both(|setup| setup);
        let [pause_before, first_before, late_before] = shares(&before);
        let [pause_after, first_after, late_after] = shares(&after);
        println!("late by a pause {pause_before:.3} to {pause_after:.3}");
        println!("late by the first event {first_before:.3} to {first_after:.3}");
        println!("late {late_before:.3} to {late_after:.3}");
        for (before, after) in before.iter().zip(&after) {
            assert_eq!(after.nowhere, 0);
            assert_eq!(before.ended, after.ended, "every stream ends");
        }
        assert!(pause_after < 0.7 * pause_before);
        assert!(first_after < first_before + 0.01);
        assert!(late_after < late_before);
    }

    #[test]
    fn where_nothing_can_be_read_apart_in_time_little_is_lost_by_trying() {
        let [before, after] = both(|setup| Setup {
            reading_engines: vec![1.0; 4],
            requests_per_second: 90.0,
            ..setup
        });
        let (late_before, late_after) = (shares(&before)[2], shares(&after)[2]);
        println!("late {late_before:.3} to {late_after:.3}");
        assert!(late_before > 0.5, "an overload");
        assert!(late_after < late_before + 0.03);
        assert!(after.iter().all(|streams| streams.nowhere == 0));
    }

    #[test]
    fn without_a_bound_every_choice_is_the_same() {
        let before = play(setup(PoolWeights::default(), None, 5));
        let after = play(setup(foreseeing(), None, 5));
        assert!(before.ended > 1_000);
        assert_eq!(before, after);
    }
}
