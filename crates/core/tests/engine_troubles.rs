//! What is believed of an engine that broke or fell silent: the pause, the return of load, and the risk for requests that
//! may run on one engine only.

#![allow(clippy::unwrap_used)]

mod pool_support;

use pool_support::{engine_with, pool, router_with};
use shelfjunction_core::engine::EngineRefusalReason;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::health::Health;
use shelfjunction_core::routing::pool::{
    EngineStage, KvCacheSource, PoolEngine, PoolQuery, PoolRoute, PoolRouter, PoolWeights, PrefixBlock,
    PrefixUpdate, PromptPart, PromptShape, RequestConstraints, SilenceReport,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn after(millis: u64) -> MonotonicTime {
    NOW + Duration::from_millis(millis)
}

struct Asked {
    pool: PoolId,
    prompt: PromptShape,
    prefixes: Vec<PrefixBlock>,
    zone: ZoneId,
    single_try: bool,
}

impl Asked {
    fn new(single_try: bool) -> Self {
        let prompt = PromptShape {
            model: "m".to_owned(),
            parts: vec![PromptPart { name: 1, tokens: 400 }],
            tokens: 400,
            output_tokens: 100,
            output_estimate: None,
        };
        Self {
            pool: pool(),
            prefixes: prompt.prefixes(),
            prompt,
            zone: ZoneId::new("zone-a"),
            single_try,
        }
    }

    fn query(&self, draw: u64) -> PoolQuery<'_> {
        PoolQuery {
            from_this_node: true,
            pool: &self.pool,
            prompt: Some(&self.prompt),
            prefixes: &self.prefixes,
            zone: &self.zone,
            excluded: &[],
            last_resort: false,
            constraints: RequestConstraints {
                single_try: self.single_try,
                ..RequestConstraints::default()
            },
            rank: 0,
            remaining: Duration::from_secs(5),
            slot_max_wait: Duration::ZERO,
            draw,
        }
    }
}

fn engine(id: &str) -> PoolEngine {
    engine_with(id, EngineStage::Decode, 8)
}

fn router(engines: &[PoolEngine]) -> PoolRouter {
    router_with(PoolWeights::default(), 8, Some(1e-6), engines)
}

/// Requests of a thousand that go to an engine.
fn to(router: &PoolRouter, asked: &Asked, id: &str, now: MonotonicTime) -> usize {
    let chosen = (0..1_000).filter(|draw| match router.choose(&asked.query(*draw), now) {
        PoolRoute::Whole(engine) => engine.id.as_str() == id,
        route => panic!("{route:?}"),
    });
    chosen.count()
}

fn fall_silent(router: &mut PoolRouter, id: &str, now: MonotonicTime) {
    let asked = Asked::new(false);
    let ticket = router.on_output_sent(&EngineId::new(id), &asked.query(0), KvCacheSource::Prefill, now);
    router.on_silence(&ticket, now);
}

fn answer(router: &mut PoolRouter, id: &str, now: MonotonicTime) {
    let asked = Asked::new(false);
    let ticket = router.on_output_sent(&EngineId::new(id), &asked.query(0), KvCacheSource::Prefill, now);
    router.on_output_started(&ticket, &asked.prefixes, now);
    router.on_answered(&ticket);
}

mod silence {
    use super::*;

    #[test]
    fn load_returns_step_by_step_to_an_engine_that_was_silent() {
        let mut router = router(&[engine("d1"), engine("d2")]);
        fall_silent(&mut router, "d1", NOW);
        let asked = Asked::new(false);
        let shares: Vec<usize> = [400, 500, 1_000, 1_500]
            .map(|millis| to(&router, &asked, "d1", after(millis)))
            .to_vec();
        assert_eq!(shares[0], 0, "left alone");
        assert!((10..150).contains(&shares[1]), "{shares:?}");
        assert!(shares[1] < shares[2] && shares[2] < shares[3], "{shares:?}");
        assert!((400..600).contains(&shares[3]), "as before: {shares:?}");
    }

    #[test]
    fn pauses_grow_with_each_trial_in_vain_up_to_two_seconds() {
        let mut health = Health::default();
        let mut now = NOW;
        let mut pauses = Vec::new();
        for _ in 0..5 {
            health.on_unresponsive(now);
            // Whoever else waited for it says so a moment later: nothing new.
            health.on_unresponsive(now + Duration::from_millis(50));
            let begun = now;
            while health.is_backing_off(now) {
                now = now + Duration::from_millis(50);
            }
            pauses.push(now.since(begun).as_millis());
        }
        assert_eq!(pauses, [500, 1_000, 2_000, 2_000, 2_000]);
    }

    #[test]
    fn an_answer_to_another_node_ends_a_pause_for_silence_but_no_other() {
        let mut silent = Health::default();
        silent.on_unresponsive(NOW);
        silent.on_peer_success(after(100));
        assert!(!silent.is_backing_off(after(100)));
        let mut full = Health::default();
        full.on_refusal(EngineRefusalReason::QueueFull, NOW);
        full.on_peer_success(after(50));
        assert!(full.is_backing_off(after(50)));
        let mut broken = Health::default();
        broken.on_connection_failure(NOW);
        broken.on_peer_success(after(50));
        assert!(broken.is_backing_off(after(50)));
    }

    fn word(engine: &str, sent_before_millis: u32) -> SilenceReport {
        SilenceReport {
            engine: SubjectHandle::of_engine(&EngineId::new(engine)),
            from: ZoneId::new("zone-a"),
            sent_before_millis,
        }
    }

    #[test]
    fn an_engine_that_was_silent_to_another_placer_is_left_alone_unless_somebody_has_heard_it_since() {
        let mut router = router(&[engine("d1"), engine("d2")]);
        let asked = Asked::new(false);
        answer(&mut router, "d1", after(100));
        router.on_peer_silence_reports(&[word("d1", 250)], true, after(300));
        assert!(to(&router, &asked, "d1", after(310)) > 0, "it has answered since");
        router.on_peer_silence_reports(&[word("d1", 250)], false, after(700));
        assert!(
            to(&router, &asked, "d1", after(710)) > 0,
            "small fleets judge for themselves"
        );
        router.on_peer_silence_reports(&[word("d1", 250)], true, after(700));
        assert_eq!(to(&router, &asked, "d1", after(710)), 0);
        let news = PrefixUpdate {
            engine: SubjectHandle::of_engine(&EngineId::new("d1")),
            prefixes: Vec::new(),
            just_answered: true,
        };
        router.on_prefix_updates(&[news], after(720));
        assert!(to(&router, &asked, "d1", after(730)) > 0);
        let changes = router.take_availability_changes();
        let pauses: Vec<_> = changes
            .iter()
            .map(|change| (change.pause, change.from_peer))
            .collect();
        assert_eq!(pauses, [(Some(Duration::from_millis(500)), true), (None, true)]);
    }

    #[test]
    fn each_silence_is_told_once_with_its_age() {
        let mut router = router(&[engine("d1"), engine("d2")]);
        let asked = Asked::new(false);
        let id = EngineId::new("d1");
        let ticket = router.on_output_sent(&id, &asked.query(0), KvCacheSource::Prefill, NOW);
        router.on_silence(&ticket, after(250));
        assert_eq!(router.take_silence_reports(8, after(270)), [word("d1", 270)]);
        assert!(router.take_silence_reports(8, after(270)).is_empty());
    }

    #[test]
    fn a_word_of_an_engine_that_is_not_known_changes_nothing() {
        let mut router = router(&[engine("d1")]);
        router.on_peer_silence_reports(&[word("d9", 250)], true, NOW);
        assert!(router.take_path_changes().is_empty());
    }
}

mod risk {
    use super::*;

    /// Two engines, of which the first broke so often of late and has answered once since.
    fn broken_once() -> PoolRouter {
        let mut router = router(&[engine("d1"), engine("d2")]);
        let asked = Asked::new(false);
        for id in ["d1", "d2"] {
            answer(&mut router, id, NOW);
        }
        let id = EngineId::new("d1");
        let ticket = router.on_output_sent(&id, &asked.query(0), KvCacheSource::Prefill, NOW);
        router.on_broken(&ticket, NOW);
        answer(&mut router, "d1", after(600));
        router
    }

    #[test]
    fn what_may_run_once_only_avoids_an_engine_that_broke_and_the_rest_does_not() {
        let router = broken_once();
        let now = after(700);
        assert_eq!(to(&router, &Asked::new(true), "d1", now), 0);
        assert!((300..700).contains(&to(&router, &Asked::new(false), "d1", now)));
    }

    #[test]
    fn it_still_goes_there_where_the_others_are_full() {
        let mut router = broken_once();
        let asked = Asked::new(true);
        for _ in 0..16 {
            router.on_output_sent(
                &EngineId::new("d2"),
                &asked.query(0),
                KvCacheSource::Transfer,
                after(650),
            );
        }
        assert_eq!(to(&router, &asked, "d1", after(700)), 1_000);
    }

    #[test]
    fn a_break_is_forgotten_with_time_and_sooner_with_answers() {
        let risk = |router: &PoolRouter, millis| {
            let state = router.engine(&EngineId::new("d1")).unwrap();
            state.risk(after(millis))
        };
        let mut router = broken_once();
        let first = risk(&router, 700);
        assert!((0.2..0.3).contains(&first), "{first}");
        assert!(risk(&router, 60_000) < 0.01);
        for _ in 0..30 {
            answer(&mut router, "d1", after(700));
        }
        assert!(risk(&router, 700) < 0.02);
    }

    #[test]
    fn a_spot_engine_is_a_risk_for_a_while_after_its_zone_took_others_back() {
        let spot = |id: &str| PoolEngine {
            spot: true,
            ..engine(id)
        };
        let ids = ["s1", "s2", "s3", "s4", "s5"];
        let mut engines: Vec<PoolEngine> = ids.iter().map(|id| spot(id)).collect();
        engines.push(engine("d1"));
        let mut router = router(&engines);
        for engine in &engines {
            answer(&mut router, engine.id.as_str(), NOW);
        }
        for id in ["s1", "s2", "s4", "s5"] {
            router.on_engine_listed(PoolEngine {
                leaving: true,
                ..spot(id)
            });
        }
        assert!(router.update_reclaimed_zones(NOW));
        let now = after(5_000);
        assert_eq!(to(&router, &Asked::new(true), "s3", now), 0);
        assert!(to(&router, &Asked::new(false), "s3", now) > 300);
        assert!(to(&router, &Asked::new(true), "s3", after(15_000)) > 300);
    }

    #[test]
    fn the_weight_must_be_a_finite_number() {
        for value in [-0.1, f64::NAN, f64::INFINITY] {
            let weights = PoolWeights {
                single_try_seconds: value,
                ..PoolWeights::default()
            };
            let errors = weights.validate();
            assert_eq!(errors.len(), 1);
            assert_eq!(errors[0].field, "routing.single_try_seconds");
        }
    }
}
