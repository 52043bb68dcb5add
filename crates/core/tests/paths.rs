//! Paths between zones: a zone that is cut off, dark engines beside others that answer, and the return of load.

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

/// Paths between a and b, and what tests say of them.
struct Two {
    paths: Paths,
    a: ZoneId,
    b: ZoneId,
}

impl Two {
    fn new() -> Self {
        Self {
            paths: Paths::default(),
            a: zone("a"),
            b: zone("b"),
        }
    }

    fn silent(&mut self, number: u64, sent_at: MonotonicTime, now: MonotonicTime) {
        self.paths
            .record_silence(&self.a, &self.b, engine(number), 20, sent_at, now);
    }

    fn admits(&self, now: MonotonicTime) -> bool {
        self.paths.admits(&self.a, &self.b, 7, true, now)
    }

    fn suspect(&mut self) {
        for number in 0..3 {
            self.silent(number, NOW, after(250));
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
    fn three_silent_engines_without_an_answer_between_make_a_path_suspected_in_both_directions() {
        let mut two = Two::new();
        two.silent(1, NOW, after(250));
        two.silent(1, after(10), after(260));
        two.silent(2, after(20), after(270));
        assert!(two.admits(after(270)), "one engine twice counts once");
        two.silent(3, after(30), after(280));
        assert!(!two.admits(after(280)));
        assert!(!two.paths.admits(&two.b, &two.a, 7, true, after(280)));
        assert!(!two.paths.allows_transfer(&two.b, &two.a));
        assert!(two.paths.admits(&two.a, &zone("c"), 7, true, after(280)));
        assert_eq!(two.states(), [PathState::Suspected]);
    }

    #[test]
    fn dark_engines_whose_neighbours_answer_never_do() {
        let mut two = Two::new();
        for number in 0..20 {
            let sent = after(number * 100);
            two.paths
                .record_answer(&two.a, &two.b, sent + Duration::from_millis(50));
            two.silent(number, sent, sent + Duration::from_millis(250));
            assert!(two.admits(sent + Duration::from_millis(250)));
        }
        assert!(two.states().is_empty());
    }

    #[test]
    fn a_zone_of_two_engines_is_suspected_when_both_are_silent_and_one_of_one_never() {
        for (engines, expected) in [(2, false), (1, true)] {
            let mut paths = Paths::default();
            let (a, b) = (zone("a"), zone("b"));
            for number in 0..engines {
                paths.record_silence(&a, &b, engine(number), engines as usize, NOW, after(250));
            }
            assert_eq!(paths.admits(&a, &b, 7, true, after(250)), expected, "{engines}");
        }
    }

    #[test]
    fn silences_that_are_far_apart_have_nothing_to_do_with_each_other() {
        let mut two = Two::new();
        for number in 0..5 {
            let sent = after(number * 1_500);
            two.silent(number, sent, sent + Duration::from_millis(250));
        }
        assert!(two.admits(after(8_000)));
    }

    #[test]
    fn within_a_zone_there_is_no_path() {
        let mut paths = Paths::default();
        let a = zone("a");
        for number in 0..9 {
            paths.record_silence(&a, &a, engine(number), 20, NOW, after(250));
        }
        assert!(paths.admits(&a, &a, 7, true, after(250)));
    }
}

mod trials {
    use super::*;

    #[test]
    fn one_request_tries_a_suspected_path_now_and_then_and_ever_more_seldom() {
        let mut two = Two::new();
        two.suspect();
        let mut trials = Vec::new();
        for millis in 250..10_250 {
            if two.admits(after(millis)) {
                two.paths.record_request(&two.a, &two.b, after(millis));
                trials.push(millis - 250);
            }
        }
        assert_eq!(trials, [500, 1_500, 3_500, 5_500, 7_500, 9_500]);
    }

    #[test]
    fn what_may_not_be_repeated_is_no_trial() {
        let mut two = Two::new();
        two.suspect();
        assert!(two.paths.admits(&two.a, &two.b, 7, true, after(5_000)));
        assert!(!two.paths.admits(&two.a, &two.b, 7, false, after(5_000)));
    }

    #[test]
    fn an_answer_to_a_trial_lets_load_return_step_by_step() {
        let mut two = Two::new();
        two.suspect();
        two.paths.record_answer(&two.a, &two.b, after(1_000));
        let admitted = |two: &Two, millis| {
            let drawn = (0..10_000_u64).filter(|drawn| {
                let paths = &two.paths;
                paths.admits(&two.a, &two.b, *drawn, false, after(millis))
            });
            drawn.count() / 100
        };
        let steps: Vec<usize> = [1_000, 1_250, 1_500, 1_750, 2_000]
            .map(|millis| admitted(&two, millis))
            .to_vec();
        for (step, expected) in steps.iter().zip([10, 32, 55, 77, 100]) {
            assert!(step.abs_diff(expected) <= 1, "{steps:?}");
        }
        two.paths.record_answer(&two.a, &two.b, after(2_000));
        let expected = [PathState::Suspected, PathState::Recovering, PathState::Trusted];
        assert_eq!(two.states(), expected);
    }

    #[test]
    fn two_silent_engines_end_a_return() {
        let mut two = Two::new();
        two.suspect();
        two.paths.record_answer(&two.a, &two.b, after(1_000));
        two.silent(1, after(1_010), after(1_260));
        assert!(two.paths.allows_transfer(&two.a, &two.b));
        two.silent(2, after(1_020), after(1_270));
        assert!(!two.paths.allows_transfer(&two.a, &two.b));
    }

    #[test]
    fn a_return_is_over_after_its_time() {
        let returning = SlowStart::begin(NOW);
        assert!(returning.admitted_fraction(NOW) < 0.2);
        assert!((returning.admitted_fraction(after(5_000)) - 1.0).abs() < f64::EPSILON);
        assert!((0..1_000).all(|drawn| returning.admits(drawn, after(1_000))));
    }
}

/// Whole fleets in virtual time: placers with their tables and routers, nodes that wait as they do, engines that answer.
mod fleets {
    use super::*;

    const CUT_AT: u64 = 1_000;
    const HEALED_AT: u64 = 6_000;

    fn cut() -> Outage {
        Outage::ZoneCut {
            zone: zone("zone-d"),
            from: CUT_AT,
            until: HEALED_AT,
        }
    }

    /// Requests from outside the zone that waited in vain for one of its engines, by when they were asked.
    fn waited(outcomes: &[Outcome], from: u64, until: u64) -> usize {
        let asked = outcomes
            .iter()
            .filter(|outcome| (from..until).contains(&outcome.asked_at));
        asked.filter(|outcome| outcome.silences > 0).count()
    }

    /// Plays the cut with silence told as such, and told like any broken connection, which only leaves the one engine
    /// alone for a while.
    fn check(nodes: u32, engines: u32, per_second: u32) {
        let play = |tells_silence, shares_silence| {
            let mut fleet = Fleet::new(nodes, engines, 8);
            fleet.tells_silence = tells_silence;
            fleet.shares_silence = shares_silence;
            fleet.play(per_second, 11_000, &cut())
        };
        let (outcomes, alone, before) = (play(true, true), play(true, false), play(false, false));
        assert_eq!(waited(&outcomes, 0, CUT_AT - 300), 0);
        let first = |outcomes: &[Outcome]| waited(outcomes, CUT_AT, CUT_AT + 1_000);
        let later = |outcomes: &[Outcome]| waited(outcomes, CUT_AT + 1_000, HEALED_AT);
        println!(
            "{nodes} nodes: {} and then {} requests waited, {} and {} where placers tell nothing, {} and {} without paths",
            first(&outcomes),
            later(&outcomes),
            first(&alone),
            later(&alone),
            first(&before),
            later(&before)
        );
        assert!(first(&outcomes) <= first(&alone));
        assert!(first(&alone) * 10 <= first(&before) * 7);
        assert!(later(&outcomes) * 8 <= later(&before));
        let tried_once = outcomes.iter().filter(|outcome| outcome.single_try);
        for outcome in tried_once.filter(|outcome| (CUT_AT + 1_000..HEALED_AT).contains(&outcome.asked_at)) {
            assert_eq!(
                outcome.silences, 0,
                "a trial that may not be repeated: {outcome:?}"
            );
        }
        assert!(outcomes.iter().all(|outcome| outcome.handed_over == 1));
        // Two seconds at most until a trial, one until all may go there again.
        let after = outcomes
            .iter()
            .filter(|outcome| outcome.asked_at > HEALED_AT + 3_300);
        let (there, total) = after.fold((0, 0), |(there, total), outcome| {
            (there + u32::from(outcome.zone == zone("zone-d")), total + 1)
        });
        assert!(
            there * 5 > total,
            "{there} of {total} go there again after the zone is back"
        );
    }

    #[test]
    fn few_requests_of_66_nodes_wait_for_a_zone_that_is_cut_off() {
        check(66, 90, 400);
    }

    #[test]
    fn few_requests_of_300_nodes_wait_for_a_zone_that_is_cut_off() {
        check(300, 160, 800);
    }

    #[test]
    fn dark_engines_in_every_zone_leave_the_paths_trusted_and_few_requests_wait() {
        let dark = Outage::Dark {
            every: 5,
            from: CUT_AT,
            until: HEALED_AT,
        };
        let play = |shares_silence| {
            let mut fleet = Fleet::new(66, 90, 8);
            fleet.shares_silence = shares_silence;
            let outcomes = fleet.play(400, 9_000, &dark);
            assert_eq!(fleet.path_changes(), 0, "placers tell: {shares_silence}");
            waited(&outcomes, CUT_AT, HEALED_AT)
        };
        let (shared, alone) = (play(true), play(false));
        println!("18 of 90 engines dark: {shared} requests waited, {alone} where placers tell nothing");
        assert!(shared * 2 <= alone);
    }
}

/// What the router does with a suspected path besides choosing engines.
mod router {
    use super::*;
    use crate::pool_support::{engine_with, pool, router_with};
    use shelfjunction_core::identity::EngineId;
    use shelfjunction_core::routing::pool::{
        EngineStage, KvCacheSource, PoolEngine, PoolQuery, PoolRouter, PoolWeights, PromptPart, PromptShape,
        RequestConstraints,
    };

    struct Asked {
        pool: shelfjunction_core::forwarding::PoolId,
        prompt: PromptShape,
        prefixes: Vec<shelfjunction_core::routing::pool::PrefixBlock>,
        zone: ZoneId,
    }

    impl Asked {
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
                excluded: &[],
                last_resort: false,
                constraints: RequestConstraints::default(),
                rank: 0,
                remaining: Duration::from_secs(5),
                slot_max_wait: Duration::ZERO,
                draw: 1,
            }
        }
    }

    fn engine_in(id: &str, stage: EngineStage, zone_name: &str) -> PoolEngine {
        PoolEngine {
            zone: zone(zone_name),
            ..engine_with(id, stage, 8)
        }
    }

    /// Two engines of each kind in two zones; the one that reads prompts in zone-b holds the prompt.
    fn router() -> PoolRouter {
        let engines = [
            engine_in("p-a", EngineStage::Prefill, "zone-a"),
            engine_in("p-b", EngineStage::Prefill, "zone-b"),
            engine_in("d-a", EngineStage::Decode, "zone-a"),
            engine_in("d-b", EngineStage::Decode, "zone-b"),
            engine_in("d-b2", EngineStage::Decode, "zone-b"),
        ];
        let mut router = router_with(PoolWeights::default(), 8, Some(1e-6), &engines);
        let asked = Asked::new();
        router.on_prefixes_held(&EngineId::new("p-b"), &asked.prefixes, NOW);
        router
    }

    fn cut(router: &mut PoolRouter) {
        let asked = Asked::new();
        for engine in ["p-b", "d-b", "d-b2"] {
            let id = EngineId::new(engine);
            let ticket = router.on_output_sent(&id, &asked.query(), KvCacheSource::Prefill, NOW);
            router.on_silence(&ticket, after(250));
        }
    }

    #[test]
    fn nothing_is_fetched_from_beyond_a_suspected_path() {
        let mut router = router();
        let asked = Asked::new();
        let reader = EngineId::new("p-a");
        assert!(router.fetch_source(&reader, &asked.query(), NOW).is_some());
        cut(&mut router);
        // The engines themselves are no longer left alone by then, the path still is.
        let later = after(900);
        assert_eq!(router.fetch_source(&reader, &asked.query(), later), None);
    }

    #[test]
    fn an_output_does_not_leave_the_zone_of_its_prompt_over_a_suspected_path() {
        let mut router = router();
        let asked = Asked::new();
        for _ in 0..8 {
            router.on_output_sent(&EngineId::new("d-a"), &asked.query(), KvCacheSource::Prefill, NOW);
        }
        let source = EngineId::new("p-a");
        let chosen = |router: &PoolRouter, now| router.choose_output(&asked.query(), &source, now).unwrap();
        assert_eq!(chosen(&router, NOW).zone, zone("zone-b"), "its own zone is full");
        cut(&mut router);
        assert_eq!(chosen(&router, after(900)).zone, zone("zone-a"));
    }

    #[test]
    fn where_nothing_else_is_left_a_suspected_path_is_taken() {
        let engines = ["d-1", "d-2", "d-3"].map(|id| engine_in(id, EngineStage::Decode, "zone-b"));
        let mut router = router_with(PoolWeights::default(), 8, Some(1e-6), &engines);
        let asked = Asked::new();
        for engine in &engines {
            let ticket = router.on_output_sent(&engine.id, &asked.query(), KvCacheSource::Prefill, NOW);
            router.on_silence(&ticket, after(250));
        }
        assert!(
            router
                .choose_output(&asked.query(), &EngineId::new("d-1"), after(260))
                .is_some()
        );
    }
}
