//! Failure detection for paths between zones: isolated zones, unresponsive engines in working zones, and recovery.

#![allow(clippy::unwrap_used)]

mod path_world;
mod pool_support;

use path_world::{Fleet, Outage, Outcome};
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{PathState, Paths};
use shelfjunction_core::routing::slow_start::SlowStart;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn after(millis: u64) -> MonotonicTime {
    NOW + Duration::from_millis(millis)
}

fn zone(name: &str) -> ZoneId {
    ZoneId::new(name)
}

fn engine(number: u64) -> SubjectHandle {
    SubjectHandle::of_text("engine", &number.to_string())
}

/// The path between zones a and b.
struct PathFixture {
    paths: Paths,
    a: ZoneId,
    b: ZoneId,
}

impl PathFixture {
    fn new() -> Self {
        Self {
            paths: Paths::default(),
            a: zone("a"),
            b: zone("b"),
        }
    }

    fn record_unanswered_request(&mut self, number: u64, sent_at: MonotonicTime, now: MonotonicTime) {
        self.paths
            .record_unanswered_request(&self.a, &self.b, engine(number), 20, sent_at, now);
    }

    fn admits(&self, now: MonotonicTime) -> bool {
        self.paths.admits(&self.a, &self.b, 7, true, now)
    }

    fn suspect(&mut self) {
        for number in 0..3 {
            self.record_unanswered_request(number, NOW, after(250));
        }
    }

    fn states(&mut self) -> Vec<PathState> {
        let changes = self.paths.take_changes();
        changes.into_iter().map(|change| change.state).collect()
    }
}

mod suspicion {
    use super::*;

    #[test]
    fn three_silent_engines_without_an_answer_make_a_path_suspected_in_both_directions() {
        let mut fixture = PathFixture::new();
        fixture.record_unanswered_request(1, NOW, after(250));
        fixture.record_unanswered_request(1, after(10), after(260));
        fixture.record_unanswered_request(2, after(20), after(270));
        assert!(
            fixture.admits(after(270)),
            "two unanswered requests to one engine count once"
        );
        fixture.record_unanswered_request(3, after(30), after(280));
        assert!(!fixture.admits(after(280)));
        assert!(!fixture.paths.admits(&fixture.b, &fixture.a, 7, true, after(280)));
        assert!(!fixture.paths.allows_transfer(&fixture.b, &fixture.a));
        assert!(fixture.paths.admits(&fixture.a, &zone("c"), 7, true, after(280)));
        assert_eq!(fixture.states(), [PathState::Suspected]);
    }

    #[test]
    fn silent_engines_in_a_zone_that_answers_do_not_make_a_path_suspected() {
        let mut fixture = PathFixture::new();
        for number in 0..20 {
            let sent = after(number * 100);
            fixture
                .paths
                .record_answer(&fixture.a, &fixture.b, sent + Duration::from_millis(50));
            fixture.record_unanswered_request(number, sent, sent + Duration::from_millis(250));
            assert!(fixture.admits(sent + Duration::from_millis(250)));
        }
        assert!(fixture.states().is_empty());
    }

    #[test]
    fn suspicion_needs_both_engines_of_a_zone_of_two_and_never_follows_from_a_single_engine() {
        for (engines, expected) in [(2, false), (1, true)] {
            let mut paths = Paths::default();
            let (a, b) = (zone("a"), zone("b"));
            for number in 0..engines {
                paths.record_unanswered_request(&a, &b, engine(number), engines as usize, NOW, after(250));
            }
            assert_eq!(paths.admits(&a, &b, 7, true, after(250)), expected, "{engines}");
        }
    }

    #[test]
    fn unanswered_requests_outside_the_window_do_not_add_up() {
        let mut fixture = PathFixture::new();
        for number in 0..5 {
            let sent = after(number * 1_500);
            fixture.record_unanswered_request(number, sent, sent + Duration::from_millis(250));
        }
        assert!(fixture.admits(after(8_000)));
    }

    #[test]
    fn there_is_no_path_within_a_zone() {
        let mut paths = Paths::default();
        let a = zone("a");
        for number in 0..9 {
            paths.record_unanswered_request(&a, &a, engine(number), 20, NOW, after(250));
        }
        assert!(paths.admits(&a, &a, 7, true, after(250)));
    }
}

mod trials {
    use super::*;

    #[test]
    fn trials_over_a_suspected_path_back_off() {
        let mut fixture = PathFixture::new();
        fixture.suspect();
        let mut trials = Vec::new();
        for millis in 250..10_250 {
            if fixture.admits(after(millis)) {
                fixture
                    .paths
                    .record_request(&fixture.a, &fixture.b, after(millis));
                trials.push(millis - 250);
            }
        }
        assert_eq!(trials, [500, 1_500, 3_500, 5_500, 7_500, 9_500]);
    }

    #[test]
    fn the_next_trial_does_not_follow_at_once_after_one_that_was_not_answered() {
        let mut fixture = PathFixture::new();
        fixture.suspect();
        fixture.paths.record_request(&fixture.a, &fixture.b, after(750));
        fixture.record_unanswered_request(1, after(750), after(2_550));
        assert!(!fixture.admits(after(2_550)));
        assert!(!fixture.admits(after(3_049)));
        assert!(fixture.admits(after(3_050)));
        fixture.record_unanswered_request(2, NOW, after(3_050));
        assert!(
            fixture.admits(after(3_050)),
            "it was sent before the path was suspected"
        );
    }

    #[test]
    fn requests_that_must_not_be_repeated_are_not_used_as_trials() {
        let mut fixture = PathFixture::new();
        fixture.suspect();
        assert!(
            fixture
                .paths
                .admits(&fixture.a, &fixture.b, 7, true, after(5_000))
        );
        assert!(
            !fixture
                .paths
                .admits(&fixture.a, &fixture.b, 7, false, after(5_000))
        );
    }

    #[test]
    fn load_returns_gradually_after_an_answer_to_a_trial() {
        let mut fixture = PathFixture::new();
        fixture.suspect();
        fixture.paths.record_answer(&fixture.a, &fixture.b, after(1_000));
        let admitted = |fixture: &PathFixture, millis| {
            let draw = (0..10_000_u64).filter(|draw| {
                let paths = &fixture.paths;
                paths.admits(&fixture.a, &fixture.b, *draw, false, after(millis))
            });
            draw.count() / 100
        };
        let steps: Vec<usize> = [1_000, 1_250, 1_500, 1_750, 2_000]
            .map(|millis| admitted(&fixture, millis))
            .to_vec();
        for (step, expected) in steps.iter().zip([10, 32, 55, 77, 100]) {
            assert!(step.abs_diff(expected) <= 1, "{steps:?}");
        }
        fixture.paths.record_answer(&fixture.a, &fixture.b, after(2_000));
        let expected = [PathState::Suspected, PathState::Recovering, PathState::Trusted];
        assert_eq!(fixture.states(), expected);
    }

    #[test]
    fn two_silent_engines_make_a_recovering_path_suspected_again() {
        let mut fixture = PathFixture::new();
        fixture.suspect();
        fixture.paths.record_answer(&fixture.a, &fixture.b, after(1_000));
        fixture.record_unanswered_request(1, after(1_010), after(1_260));
        assert!(fixture.paths.allows_transfer(&fixture.a, &fixture.b));
        fixture.record_unanswered_request(2, after(1_020), after(1_270));
        assert!(!fixture.paths.allows_transfer(&fixture.a, &fixture.b));
    }

    #[test]
    fn slow_start_ends_after_its_duration() {
        let slow_start = SlowStart::begin(NOW);
        assert!(slow_start.admitted_fraction(NOW) < 0.2);
        assert!((slow_start.admitted_fraction(after(5_000)) - 1.0).abs() < f64::EPSILON);
        assert!((0..1_000).all(|draw| slow_start.admits(draw, after(1_000))));
    }
}

/// Simulated fleets of nodes, placers and engines.
mod fleets {
    use super::*;

    const OUTAGE_STARTS_AT: u64 = 1_000;
    const OUTAGE_ENDS_AT: u64 = 6_000;

    fn isolated_zone() -> Outage {
        Outage::IsolatedZone {
            zone: zone("zone-d"),
            from: OUTAGE_STARTS_AT,
            until: OUTAGE_ENDS_AT,
        }
    }

    /// Number of requests that arrived in the interval and timed out at an engine.
    fn timed_out(outcomes: &[Outcome], from: u64, until: u64) -> usize {
        let arrived = outcomes
            .iter()
            .filter(|outcome| (from..until).contains(&outcome.arrived_at));
        arrived.filter(|outcome| outcome.timeouts > 0).count()
    }

    /// Simulates an isolated zone three times: with placers that share timeouts, with placers that don't, and with
    /// timeouts reported as connection failures, which only affect single engines.
    fn check_isolated_zone(nodes: u32, engines: u32, per_second: u32) {
        let simulate = |reports_timeouts, shares_timeouts| {
            let mut fleet = Fleet::new(nodes, engines, 8);
            fleet.reports_timeouts = reports_timeouts;
            fleet.shares_timeouts = shares_timeouts;
            fleet.simulate(per_second, 11_000, &isolated_zone())
        };
        let (outcomes, unshared, baseline) = (
            simulate(true, true),
            simulate(true, false),
            simulate(false, false),
        );
        assert_eq!(timed_out(&outcomes, 0, OUTAGE_STARTS_AT - 300), 0);
        let first_second =
            |outcomes: &[Outcome]| timed_out(outcomes, OUTAGE_STARTS_AT, OUTAGE_STARTS_AT + 1_000);
        let later = |outcomes: &[Outcome]| timed_out(outcomes, OUTAGE_STARTS_AT + 1_000, OUTAGE_ENDS_AT);
        println!(
            "{nodes} nodes: {} then {} requests timed out, {} then {} if placers share nothing, {} then {} without paths",
            first_second(&outcomes),
            later(&outcomes),
            first_second(&unshared),
            later(&unshared),
            first_second(&baseline),
            later(&baseline)
        );
        assert!(first_second(&outcomes) <= first_second(&unshared));
        assert!(first_second(&unshared) * 10 <= first_second(&baseline) * 7);
        assert!(later(&outcomes) * 8 <= later(&baseline));
        let single_try = outcomes.iter().filter(|outcome| outcome.single_try);
        for outcome in single_try
            .filter(|outcome| (OUTAGE_STARTS_AT + 1_000..OUTAGE_ENDS_AT).contains(&outcome.arrived_at))
        {
            assert_eq!(
                outcome.timeouts, 0,
                "a request that must not be repeated was used as a trial: {outcome:?}"
            );
        }
        assert!(outcomes.iter().all(|outcome| outcome.answers == 1));
        // A trial follows within 2 s, and the full load returns within 1 s after it.
        let after = outcomes
            .iter()
            .filter(|outcome| outcome.arrived_at > OUTAGE_ENDS_AT + 3_300);
        let (in_zone, total) = after.fold((0, 0), |(in_zone, total), outcome| {
            (in_zone + u32::from(outcome.zone == zone("zone-d")), total + 1)
        });
        assert!(
            in_zone * 5 > total,
            "{in_zone} of {total} requests go to the zone after it is reachable again"
        );
    }

    #[test]
    fn few_requests_of_66_nodes_time_out_in_an_isolated_zone() {
        check_isolated_zone(66, 90, 400);
    }

    #[test]
    fn few_requests_of_300_nodes_time_out_in_an_isolated_zone() {
        check_isolated_zone(300, 160, 800);
    }

    #[test]
    fn unresponsive_engines_in_every_zone_leave_the_paths_trusted() {
        let outage = Outage::UnresponsiveEngines {
            every: 5,
            from: OUTAGE_STARTS_AT,
            until: OUTAGE_ENDS_AT,
        };
        let simulate = |shares_timeouts| {
            let mut fleet = Fleet::new(66, 90, 8);
            fleet.shares_timeouts = shares_timeouts;
            let outcomes = fleet.simulate(400, 9_000, &outage);
            assert_eq!(
                fleet.path_changes(),
                0,
                "placers share timeouts: {shares_timeouts}"
            );
            timed_out(&outcomes, OUTAGE_STARTS_AT, OUTAGE_ENDS_AT)
        };
        let (shared, unshared) = (simulate(true), simulate(false));
        println!(
            "18 of 90 engines unresponsive: {shared} requests timed out, {unshared} if placers share nothing"
        );
        assert!(shared * 2 <= unshared);
    }
}

/// Effects of a suspected path on KV cache transfers and on the choice of decode engines.
mod router {
    use super::*;
    use crate::pool_support::{engine_with, pool, router_with};
    use shelfjunction_core::identity::EngineId;
    use shelfjunction_core::routing::pool::{
        EngineStage, KvCacheSource, PoolEngine, PoolQuery, PoolRoute, PoolRouter, PoolWeights, PromptPart,
        PromptShape, RequestConstraints,
    };

    struct TestRequest {
        pool: shelfjunction_core::forwarding::PoolId,
        prompt: PromptShape,
        prefixes: Vec<shelfjunction_core::routing::pool::PrefixBlock>,
        zone: ZoneId,
    }

    impl TestRequest {
        fn new() -> Self {
            let part = |name| PromptPart { name, tokens: 4_000 };
            let prompt = PromptShape {
                model: "m".to_owned(),
                parts: vec![part(1), part(2)],
                tokens: 8_000,
                output_tokens: 100,
                output_estimate: None,
            };
            Self {
                pool: pool(),
                prefixes: prompt.prefixes(),
                prompt,
                zone: zone("zone-a"),
            }
        }

        fn query(&self) -> PoolQuery<'_> {
            PoolQuery {
                from_this_node: true,
                pool: &self.pool,
                prompt: Some(&self.prompt),
                prefixes: &self.prefixes,
                zone: &self.zone,
                region: None,
                excluded: &[],
                last_resort: false,
                constraints: RequestConstraints::default(),
                rank: 0,
                remaining: Duration::from_secs(5),
                slot_max_wait: Duration::ZERO,
                draw: 1,
                origin: None,
            }
        }
    }

    fn engine_in(id: &str, stage: EngineStage, zone_name: &str) -> PoolEngine {
        PoolEngine {
            zone: zone(zone_name),
            ..engine_with(id, stage, 8)
        }
    }

    /// Prefill and decode engines in two zones; the prefill engine in zone-b holds the prompt in its KV cache.
    fn router() -> PoolRouter {
        let engines = [
            engine_in("p-a", EngineStage::Prefill, "zone-a"),
            engine_in("p-b", EngineStage::Prefill, "zone-b"),
            engine_in("d-a", EngineStage::Decode, "zone-a"),
            engine_in("d-b", EngineStage::Decode, "zone-b"),
            engine_in("d-b2", EngineStage::Decode, "zone-b"),
        ];
        let mut router = router_with(PoolWeights::default(), 8, Some(1e-6), &engines);
        let request = TestRequest::new();
        router.on_prefixes_held(&EngineId::new("p-b"), &request.prefixes, NOW);
        router
    }

    fn suspect_path(router: &mut PoolRouter) {
        let request = TestRequest::new();
        for engine in ["p-b", "d-b", "d-b2"] {
            let id = EngineId::new(engine);
            let ticket = router.on_output_sent(&id, &request.query(), KvCacheSource::Prefill, NOW);
            router.on_unanswered_request(&ticket, after(250));
        }
    }

    #[test]
    fn no_kv_cache_is_fetched_over_a_suspected_path() {
        let mut router = router();
        let request = TestRequest::new();
        let reader = EngineId::new("p-a");
        assert!(router.fetch_source(&reader, &request.query(), NOW).is_some());
        suspect_path(&mut router);
        // At this time the engines themselves are no longer avoided, but the path is still suspected.
        let later = after(900);
        assert_eq!(router.fetch_source(&reader, &request.query(), later), None);
    }

    #[test]
    fn decode_stays_in_the_zone_of_the_prefill_if_the_path_is_suspected() {
        let mut router = router();
        let request = TestRequest::new();
        for _ in 0..8 {
            router.on_output_sent(
                &EngineId::new("d-a"),
                &request.query(),
                KvCacheSource::Prefill,
                NOW,
            );
        }
        let source = EngineId::new("p-a");
        let chosen = |router: &PoolRouter, now| router.choose_decode(&request.query(), &source, now).unwrap();
        assert_eq!(
            chosen(&router, NOW).zone,
            zone("zone-b"),
            "the engine in zone-a is busy"
        );
        suspect_path(&mut router);
        assert_eq!(chosen(&router, after(900)).zone, zone("zone-a"));
    }

    #[test]
    fn a_request_whose_trial_was_not_answered_is_not_tried_over_a_suspected_path_again() {
        let beyond = ["w-b1", "w-b2", "w-b3"].map(|id| engine_in(id, EngineStage::Whole, "zone-b"));
        let near = engine_in("w-a", EngineStage::Whole, "zone-a");
        let mut engines = beyond.to_vec();
        engines.push(near.clone());
        let mut router = router_with(PoolWeights::default(), 8, None, &engines);
        let request = TestRequest::new();
        let query = PoolQuery {
            prompt: None,
            prefixes: &[],
            ..request.query()
        };
        let send = |router: &mut PoolRouter, engine: &EngineId, now| {
            router.on_output_sent(engine, &query, KvCacheSource::Prefill, now)
        };
        let chosen = |router: &PoolRouter, query: &PoolQuery<'_>, now| match router.choose(query, now) {
            PoolRoute::Whole(engine) => engine,
            other => panic!("{other:?}"),
        };
        for engine in &beyond {
            let ticket = send(&mut router, &engine.id, NOW);
            router.on_unanswered_request(&ticket, after(250));
        }
        for _ in 0..8 {
            send(&mut router, &near.id, after(900));
        }
        let tried = chosen(&router, &query, after(900));
        assert_eq!(tried.zone, zone("zone-b"), "the engine in zone-a is busy");
        let trial = send(&mut router, &tried.id, after(900));
        router.on_unanswered_request(&trial, after(2_700));
        // The next trial has been due since 1,900 ms.
        let again = PoolQuery {
            excluded: &[tried.id],
            ..query.clone()
        };
        assert_eq!(chosen(&router, &again, after(2_700)).id, near.id);
    }

    #[test]
    fn a_suspected_path_is_used_if_there_is_no_alternative() {
        let engines = ["d-1", "d-2", "d-3"].map(|id| engine_in(id, EngineStage::Decode, "zone-b"));
        let mut router = router_with(PoolWeights::default(), 8, Some(1e-6), &engines);
        let request = TestRequest::new();
        for engine in &engines {
            let ticket = router.on_output_sent(&engine.id, &request.query(), KvCacheSource::Prefill, NOW);
            router.on_unanswered_request(&ticket, after(250));
        }
        assert!(
            router
                .choose_decode(&request.query(), &EngineId::new("d-1"), after(260))
                .is_some()
        );
    }
}
