//! What an engine said of itself outranks every other source, for that start of the engine.

mod pool_support;

use pool_support::{engine_with, router_with};
use proptest::prelude::*;
use shelfjunction_core::identity::{EngineId, EngineStart};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{
    EngineStage, NotAccepting, PoolEngine, PoolRouter, PoolWeights, WorkingSetSettings,
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
        Source::ListedReady => router.on_engine(engine.clone()),
        Source::ListedLeaving => router.on_engine(PoolEngine {
            leaving: true,
            ..engine.clone()
        }),
        Source::Gone => router.on_engine_gone(&engine.id, false, now),
        Source::GoneInDoubt => router.on_engine_gone(&engine.id, true, now),
        Source::UnreadableEntry => {
            router.on_entry_unreadable(&EngineId::new(engine.id.as_str()), now);
        }
        Source::NamedByAnotherNode => {
            router.bring_in(handle(engine));
        }
    }
}

proptest! {
    #[test]
    fn no_other_source_revokes_a_drain_that_an_engine_announced(
        before in prop::collection::vec(source(), 0..4),
        after in prop::collection::vec((source(), 0_u64..8_000), 0..12),
        whole_up_to in prop_oneof![Just(0_usize), Just(200)],
    ) {
        let weights = PoolWeights {
            working_set: WorkingSetSettings { whole_up_to, ..WorkingSetSettings::default() },
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
            router.keep_working_set(now);
            prop_assert_eq!(router.taking_work(now), 0);
            prop_assert_eq!(router.reserve().count(), 0);
            prop_assert_eq!(router.not_accepting(&drains.id), Some(NotAccepting::Draining));
        }
    }
}

#[test]
fn a_later_start_under_the_same_name_does_not_inherit_a_drain() {
    let (first, second) = (engine("engine", 1), engine("engine", 2));
    let mut router = router(std::slice::from_ref(&first));
    router.on_draining(handle(&first));
    router.on_engine(second.clone());
    assert_eq!(router.taking_work(NOW), 1);
    assert_eq!(router.not_accepting(&second.id), None);
    assert_eq!(router.not_accepting(&first.id), Some(NotAccepting::Draining));
}

#[test]
fn an_engine_of_the_reserve_takes_the_place_of_one_that_drains_at_once() {
    let weights = PoolWeights {
        working_set: WorkingSetSettings {
            whole_up_to: 0,
            least_in_group: 1,
            ..WorkingSetSettings::default()
        },
        ..PoolWeights::default()
    };
    let engines = [engine("one", 0), engine("other", 0)];
    let mut router = router_with(weights, 64, None, &engines);
    let drains = router.in_use().pop().expect("one is in use");
    router.on_draining(handle(&drains));
    let taking = router.taking_work(NOW);
    assert_eq!(taking, 1);
    assert_eq!(router.reserve().count(), 0);
}
