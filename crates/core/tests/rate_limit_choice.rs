//! Engines that name a rate limit, as the router and the planner of roles see them.

#![allow(clippy::unwrap_used)]

mod pool_support;

use pool_support::{engine_with, pool, router_with};
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, EngineStart, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::{LimitChange, LimitNotice, RateLimit, ResponseLimit};
use shelfjunction_core::routing::pool::{
    EngineStage, KvCacheSource, PoolEngine, PoolQuery, PoolRoute, PoolRouter, PoolWeights, RequestConstraints,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

/// Two engines that run no model.
fn router() -> PoolRouter {
    let engines = ["a", "b"].map(|id| engine_with(id, EngineStage::Whole, 8));
    router_with(PoolWeights::default(), 8, None, &engines)
}

struct Asked {
    pool: PoolId,
    zone: ZoneId,
}

impl Asked {
    fn new() -> Self {
        Self {
            pool: pool(),
            zone: ZoneId::new("zone-a"),
        }
    }

    fn query(&self, max_wait: u64) -> PoolQuery<'_> {
        PoolQuery {
            from_this_node: true,
            pool: &self.pool,
            prompt: None,
            prefixes: &[],
            zone: &self.zone,
            excluded: &[],
            last_resort: false,
            constraints: RequestConstraints::default(),
            rank: 1,
            remaining: Duration::from_secs(3),
            slot_max_wait: Duration::from_millis(max_wait),
            draw: 0,
        }
    }
}

fn name_limit(router: &mut PoolRouter, engine: &str, rate: f64) {
    let said = ResponseLimit::Valid(RateLimit::new(rate).unwrap());
    let change = router.on_response_limit(&EngineId::new(engine), &said, NOW, NOW);
    assert_eq!(change, LimitChange::Changed);
}

fn no_slot_for(router: &mut PoolRouter, engine: &str, millis: u64) {
    let engine = SubjectHandle::of_engine(&EngineId::new(engine));
    router.record_slot_wait(engine, Duration::from_millis(millis), NOW);
}

fn chosen(route: PoolRoute) -> Option<String> {
    match route {
        PoolRoute::Whole(engine) => Some(engine.id.to_string()),
        PoolRoute::Split { .. } => panic!("there are no prompts"),
        PoolRoute::Nowhere => None,
    }
}

#[test]
fn a_request_goes_elsewhere_before_it_waits_for_a_slot_and_nowhere_when_it_would_wait_too_long() {
    let asked = Asked::new();
    let mut router = router();
    for engine in ["a", "b"] {
        name_limit(&mut router, engine, 2.0);
    }
    no_slot_for(&mut router, "a", 200);
    let choose = |router: &PoolRouter, max_wait| chosen(router.choose(&asked.query(max_wait), NOW));
    assert_eq!(choose(&router, 500), Some("b".to_owned()), "b has a slot now");
    no_slot_for(&mut router, "b", 400);
    assert_eq!(choose(&router, 500), Some("a".to_owned()), "the shorter wait");
    assert_eq!(choose(&router, 100), None, "also where nothing else is left");
    let wait = router.time_until_accepted(&asked.query(100), NOW);
    assert_eq!(
        wait,
        Some(Duration::from_millis(200)),
        "which is what the caller is told"
    );
    let later = NOW + Duration::from_millis(250);
    assert_eq!(
        chosen(router.choose(&asked.query(0), later)),
        Some("a".to_owned())
    );
}

#[test]
fn a_limit_belongs_to_one_start_of_an_engine() {
    let mut router = router();
    name_limit(&mut router, "a", 1.0);
    assert_eq!(router.rate_limited_engines().count(), 1);
    let started_again = PoolEngine {
        id: EngineId::started("a", EngineStart(7)),
        ..engine_with("a", EngineStage::Whole, 8)
    };
    router.on_engine_listed(started_again);
    assert_eq!(router.rate_limited_engines().count(), 0);
}

#[test]
fn words_pass_a_limit_on_with_its_age_and_the_next_slot() {
    let (mut one, mut other) = (router(), router());
    name_limit(&mut one, "a", 1.7);
    no_slot_for(&mut one, "a", 300);
    let later = NOW + Duration::from_millis(100);
    let notices = one.limit_notices(false, later);
    assert_eq!(
        (notices.len(), notices[0].age_millis, notices[0].slot_wait_millis),
        (1, 100, 200)
    );
    assert!(other.on_limit_notice(&notices[0], later).is_some());
    assert!(other.on_limit_notice(&notices[0], later).is_none(), "nothing new");
    let limited = other.rate_limited_engines().next().unwrap();
    assert_eq!(limited.rate_limit(), RateLimit::new(1.7));
    assert_eq!(limited.slot_wait(later), Duration::from_millis(200));
    assert!(
        other.limit_notices(true, later).is_empty(),
        "no answer to it has named the limit"
    );
    let ended = LimitNotice {
        limit: None,
        age_millis: 0,
        ..notices[0]
    };
    assert!(other.on_limit_notice(&ended, later).is_some());
    assert!(
        other.on_limit_notice(&notices[0], later).is_none(),
        "the older notice comes late"
    );
    assert_eq!(other.rate_limited_engines().count(), 0);
}

#[test]
fn the_planner_counts_an_engine_by_the_part_of_its_share_that_its_limit_lets_through() {
    let asked = Asked::new();
    let mut router = router();
    let part = |router: &PoolRouter, now| {
        let (views, _) = router.role_planner_input(&pool(), now);
        views.iter().map(|view| view.part).collect::<Vec<_>>()
    };
    name_limit(&mut router, "a", 2.0);
    assert_eq!(part(&router, NOW), [1.0, 1.0], "nothing falls to it yet");
    let mut now = NOW;
    // Sixteen a second for long: eight fall to each engine.
    for _ in 0..800 {
        now = now + Duration::from_micros(62_500);
        let ticket = router.on_output_sent(&EngineId::new("b"), &asked.query(0), KvCacheSource::Prefill, now);
        router.on_completed(&ticket);
    }
    let parts = part(&router, now);
    assert!((parts[0] - 0.25).abs() < 0.02, "{parts:?}");
    assert_eq!(parts[1], 1.0);
}
