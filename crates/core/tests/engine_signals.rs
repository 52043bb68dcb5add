//! What an engine said of itself outranks every other source, for that start of the engine.

mod pool_support;

use pool_support::{engine_with, pool, router_with};
use proptest::prelude::*;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, EngineStart, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{
    EngineStage, NotAccepting, PoolEngine, PoolQuery, PoolRoute, PoolRouter, PoolWeights, ReportedLoad,
    RequestConstraints, WorkingSetSettings,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn engine(name: &str, start: u64) -> PoolEngine {
    PoolEngine {
        id: EngineId::started(name, EngineStart(start)),
        ..engine_with(name, EngineStage::Whole, 8)
    }
}

fn router(engines: &[PoolEngine]) -> PoolRouter {
    router_with(PoolWeights::default(), 64, None, engines)
}

fn handle(engine: &PoolEngine) -> SubjectHandle {
    SubjectHandle::of_engine(&engine.id)
}

/// What other sources say of an engine, or do to it.
#[derive(Clone, Copy, Debug)]
enum Source {
    ListedReady,
    ListedLeaving,
    Gone,
    GoneInDoubt,
    UnreadableEntry,
    NamedByAnotherNode,
}

fn source() -> impl Strategy<Value = Source> {
    prop_oneof![
        Just(Source::ListedReady),
        Just(Source::ListedLeaving),
        Just(Source::Gone),
        Just(Source::GoneInDoubt),
        Just(Source::UnreadableEntry),
        Just(Source::NamedByAnotherNode),
    ]
}

fn apply(router: &mut PoolRouter, source: Source, engine: &PoolEngine, now: MonotonicTime) {
    match source {
        Source::ListedReady => router.on_engine_listed(engine.clone()),
        Source::ListedLeaving => router.on_engine_listed(PoolEngine {
            leaving: true,
            ..engine.clone()
        }),
        Source::Gone => router.on_engine_delisted(&engine.id, false, now),
        Source::GoneInDoubt => router.on_engine_delisted(&engine.id, true, now),
        Source::UnreadableEntry => {
            router.on_entry_unreadable(&EngineId::new(engine.id.as_str()), now);
        }
        Source::NamedByAnotherNode => {
            router.bring_into_use(handle(engine));
        }
    }
}

proptest! {
    #[test]
    fn no_other_source_revokes_a_drain_that_an_engine_announced(
        before in prop::collection::vec(source(), 0..4),
        after in prop::collection::vec((source(), 0_u64..8_000), 0..12),
        use_all_up_to in prop_oneof![Just(0_usize), Just(200)],
    ) {
        let weights = PoolWeights {
            working_set: WorkingSetSettings { use_all_up_to, ..WorkingSetSettings::default() },
            ..PoolWeights::default()
        };
        let drains = engine("drains", 0);
        let mut router = router_with(weights, 64, None, std::slice::from_ref(&drains));
        for source in before {
            apply(&mut router, source, &drains, NOW);
        }
        prop_assert!(router.on_draining(handle(&drains)));
        let mut now = NOW;
        for (source, pause) in after {
            now = now + Duration::from_millis(pause);
            apply(&mut router, source, &drains, now);
            router.update_working_set(now);
            prop_assert_eq!(router.available_engine_count(now), 0);
            prop_assert_eq!(router.reserve().count(), 0);
            prop_assert_eq!(router.not_accepting(&drains.id, now), Some(NotAccepting::Draining));
        }
    }
}

#[test]
fn a_later_start_under_the_same_name_does_not_inherit_a_drain() {
    let (first, second) = (engine("engine", 1), engine("engine", 2));
    let mut router = router(std::slice::from_ref(&first));
    router.on_draining(handle(&first));
    router.on_engine_listed(second.clone());
    assert_eq!(router.available_engine_count(NOW), 1);
    assert_eq!(router.not_accepting(&second.id, NOW), None);
    assert_eq!(router.not_accepting(&first.id, NOW), Some(NotAccepting::Draining));
}

#[test]
fn an_engine_of_the_reserve_takes_the_place_of_one_that_drains_at_once() {
    let weights = PoolWeights {
        working_set: WorkingSetSettings {
            use_all_up_to: 0,
            min_in_group: 1,
            ..WorkingSetSettings::default()
        },
        ..PoolWeights::default()
    };
    let engines = [engine("one", 0), engine("other", 0)];
    let mut router = router_with(weights, 64, None, &engines);
    let drains = router.in_use().pop().expect("one is in use");
    router.on_draining(handle(&drains));
    let taking = router.available_engine_count(NOW);
    assert_eq!(taking, 1);
    assert_eq!(router.reserve().count(), 0);
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

    fn query(&self, from_this_node: bool, draw: u64) -> PoolQuery<'_> {
        PoolQuery {
            pool: &self.pool,
            prompt: None,
            prefixes: &[],
            zone: &self.zone,
            from_this_node,
            excluded: &[],
            last_resort: false,
            constraints: RequestConstraints::default(),
            draw,
            rank: 1,
            remaining: Duration::from_secs(5),
            slot_max_wait: Duration::ZERO,
        }
    }
}

/// How many of a hundred requests go to an engine.
fn part_to(router: &PoolRouter, name: &str, from_this_node: bool, now: MonotonicTime) -> usize {
    let asked = Asked::new();
    let routes = (0..100).map(|draw| router.choose(&asked.query(from_this_node, draw), now));
    let there = |route: &PoolRoute| matches!(route, PoolRoute::Whole(engine) if engine.id.as_str() == name);
    routes.filter(there).count()
}

const BACKOFF: Duration = Duration::from_secs(3);

#[test]
fn a_backoff_binds_the_node_that_was_refused_and_not_those_for_which_it_chooses() {
    let only = engine("only", 0);
    let mut router = router(std::slice::from_ref(&only));
    router.on_backoff_requested(&only.id, BACKOFF, NOW);
    assert_eq!(part_to(&router, "only", true, NOW), 0, "also as a last resort");
    assert_eq!(part_to(&router, "only", false, NOW), 100);
    assert_eq!(
        router.not_accepting(&only.id, NOW),
        Some(NotAccepting::BackedOff { remaining: BACKOFF })
    );
    let asked = Asked::new();
    assert_eq!(
        router.time_until_accepted(&asked.query(true, 0), NOW),
        Some(BACKOFF)
    );
}

#[test]
fn the_longest_of_several_backoffs_counts_and_no_answer_or_listing_shortens_it() {
    let only = engine("only", 0);
    let mut router = router(std::slice::from_ref(&only));
    router.on_backoff_requested(&only.id, BACKOFF, NOW);
    router.on_backoff_requested(&only.id, BACKOFF / 10, NOW);
    router.on_reported_load(&only.id, ReportedLoad::default(), NOW);
    router.on_engine_listed(only.clone());
    let before_end = NOW + BACKOFF - Duration::from_millis(1);
    assert_eq!(part_to(&router, "only", true, before_end), 0);
    assert_eq!(part_to(&router, "only", true, NOW + BACKOFF), 100, "the only one");
}

#[test]
fn a_backoff_outlasts_what_the_router_forgets_of_an_engine() {
    let only = engine("only", 0);
    let mut router = router(std::slice::from_ref(&only));
    router.on_backoff_requested(&only.id, Duration::from_secs(30), NOW);
    router.on_engine_delisted(&only.id, false, NOW);
    let later = NOW + Duration::from_secs(10);
    router.on_engine_delisted(&EngineId::new("another"), false, later);
    assert!(router.engine(&only.id).is_none(), "forgotten");
    router.on_engine_listed(only.clone());
    assert_eq!(part_to(&router, "only", true, later), 0);
}

#[test]
fn load_returns_step_by_step_when_a_backoff_is_over() {
    let (backed_off, other) = (engine("backed-off", 0), engine("other", 0));
    let mut router = router(&[backed_off.clone(), other]);
    let usual = part_to(&router, "backed-off", true, NOW);
    assert!(usual > 0, "it is the cheaper one");
    router.on_backoff_requested(&backed_off.id, BACKOFF, NOW);
    let end = NOW + BACKOFF;
    let at_first = part_to(&router, "backed-off", true, end);
    assert!(at_first > 0 && at_first < usual / 2, "{at_first} of {usual}");
    assert_eq!(
        part_to(&router, "backed-off", true, end + Duration::from_secs(2)),
        usual
    );
}
