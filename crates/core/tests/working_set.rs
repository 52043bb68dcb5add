//! How many engines of a large pool are in use, and what callers get of it: in virtual time, without a network.

mod pool_support;

use pool_support::{pool, router_with};
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{
    Admission, EngineStage, KvCacheSource, PeerLoad, PeerLoadSlice, PoolAdmission, PoolEngine, PoolQuery,
    PoolRoute, PoolRouter, PoolTicket, PoolWeights, PrefixBlock, PromptPart, PromptShape, RequestConstraints,
    RequestTiming,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;

const ZONES: [&str; 5] = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
const PLACES: u32 = 64;
const LEAST_IN_GROUP: usize = 20;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Two of five engines read prompts.
fn engine(number: usize) -> PoolEngine {
    let id = format!("e{number}");
    let stage = if number % 5 < 2 {
        EngineStage::Prefill
    } else {
        EngineStage::Decode
    };
    PoolEngine {
        zone: ZoneId::new(ZONES[number / 5 % ZONES.len()]),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_080).into(),
        ..pool_support::engine_with(&id, stage, PLACES)
    }
}

fn fleet(engines: usize) -> PoolRouter {
    let engines: Vec<PoolEngine> = (0..engines).map(engine).collect();
    router_with(PoolWeights::default(), PLACES, Some(4e-7), &engines)
}

fn names(router: &PoolRouter) -> BTreeSet<String> {
    let engines = router.engines();
    engines.map(|state| state.engine.id.as_str().to_owned()).collect()
}

fn in_use(router: &PoolRouter, stage: EngineStage) -> usize {
    let engines = router.engines();
    engines
        .filter(|state| state.engine.stage == stage && state.is_active())
        .count()
}

struct Asked {
    prompt: PromptShape,
    prefixes: Vec<PrefixBlock>,
    pool: shelfjunction_core::forwarding::PoolId,
    zone: ZoneId,
    draw: u64,
}

impl Asked {
    /// A request with a prompt of its own of so many tokens.
    fn new(number: u64, tokens: u32) -> Self {
        let prompt = PromptShape {
            model: "m".to_owned(),
            tokens,
            output_tokens: 20,
            output_estimate: None,
            parts: vec![PromptPart { name: number, tokens }],
        };
        Self {
            prefixes: prompt.prefixes(),
            prompt,
            pool: pool(),
            zone: ZoneId::new(ZONES[number as usize % ZONES.len()]),
            draw: number,
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
            draw: self.draw,
        }
    }
}

/// Requests of a burst.
const REQUESTS: u64 = 2_000;

const TIMING: RequestTiming = RequestTiming {
    target: Duration::from_millis(600),
    remaining: Duration::from_secs(5),
    is_retry: false,
};

/// Admits requests of 4,000 tokens, a tenth of a second of reading each, that are not read meanwhile.
fn burst(router: &mut PoolRouter, requests: u64, now: MonotonicTime) -> (usize, Vec<PoolTicket>) {
    let mut in_time = 0;
    let mut tickets = Vec::new();
    for number in 0..requests {
        let asked = Asked::new(number, 4_000);
        let decision = router.admit_or_grow(&asked.query(), TIMING, &PoolAdmission::default(), now);
        in_time += usize::from(decision.admission == Admission::InTime);
        let query = asked.query();
        tickets.extend(match decision.route {
            PoolRoute::Split { prefill, .. } => Some(router.on_prompt_sent(&prefill.id, &query, now)),
            PoolRoute::Whole(engine) => {
                Some(router.on_output_sent(&engine.id, &query, KvCacheSource::Prefill, now))
            }
            PoolRoute::Nowhere => None,
        });
    }
    (in_time, tickets)
}

#[test]
fn what_a_node_keeps_of_engines_does_not_grow_with_the_fleet() {
    let sizes = [1_000, 3_000, 10_000, 20_000];
    let kept: Vec<usize> = sizes.map(|engines| fleet(engines).engines().count()).to_vec();
    let groups = ZONES.len() * 2;
    assert_eq!(kept, [groups * LEAST_IN_GROUP; 4], "engines in use at {sizes:?}");
}

#[test]
fn a_pool_of_two_hundred_engines_is_in_use_as_a_whole() {
    assert_eq!(fleet(200).engines().count(), 200);
}

#[test]
fn nodes_agree_on_the_engines_whatever_the_order_in_which_they_heard_of_them() {
    let forwards = fleet(3_000);
    let backwards: Vec<PoolEngine> = (0..3_000).rev().map(engine).collect();
    let backwards = router_with(PoolWeights::default(), PLACES, Some(4e-7), &backwards);
    assert_eq!(names(&forwards), names(&backwards));
}

#[test]
fn an_engine_that_leaves_or_ends_is_replaced_at_once() {
    let mut router = fleet(3_000);
    let before = in_use(&router, EngineStage::Prefill);
    let used: Vec<PoolEngine> = router.in_use();
    let mut prefill = used
        .into_iter()
        .filter(|engine| engine.stage == EngineStage::Prefill);
    let (leaving, gone) = (prefill.next().unwrap(), prefill.next().unwrap());
    router.on_engine_listed(PoolEngine {
        leaving: true,
        ..leaving
    });
    router.on_engine_delisted(&gone.id, false, at(10));
    assert_eq!(in_use(&router, EngineStage::Prefill), before);
}

#[test]
fn half_of_the_engines_in_use_lost_at_once_are_replaced_at_once() {
    let mut router = fleet(3_000);
    let used = router.in_use();
    for engine in used.iter().step_by(2) {
        router.on_engine_delisted(&engine.id, false, at(10));
    }
    assert_eq!(router.in_use().len(), used.len());
}

#[test]
fn a_burst_beyond_the_engines_in_use_is_in_time_as_long_as_the_reserve_lasts() {
    let mut router = fleet(10_000);
    let first = in_use(&router, EngineStage::Prefill);
    let (in_time, _) = burst(&mut router, REQUESTS, at(1_000));
    assert_eq!(
        in_time, REQUESTS as usize,
        "requests that met a queue while others stood idle"
    );
    let grown = in_use(&router, EngineStage::Prefill);
    assert!(
        grown >= 2 * first,
        "{first} engines read prompts at first, {grown} then"
    );
}

#[test]
fn without_a_reserve_the_same_burst_is_late() {
    let mut router = fleet(200);
    let (in_time, _) = burst(&mut router, REQUESTS, at(1_000));
    assert!(
        in_time < 1_500,
        "{in_time} of {REQUESTS} in time with 80 engines that read"
    );
}

#[test]
fn after_a_burst_engines_go_back_into_the_reserve_slowly() {
    let mut router = fleet(10_000);
    let first = in_use(&router, EngineStage::Prefill);
    let (_, tickets) = burst(&mut router, REQUESTS, at(1_000));
    tickets
        .iter()
        .for_each(|ticket| router.on_prompt_prefilled(ticket, &[], at(1_500)));
    let grown = in_use(&router, EngineStage::Prefill);
    router.update_working_set(at(11_000));
    assert_eq!(in_use(&router, EngineStage::Prefill), grown, "ten seconds later");
    for second in 12..400 {
        router.update_working_set(at(second * 1_000));
    }
    assert_eq!(in_use(&router, EngineStage::Prefill), first, "minutes later");
}

#[test]
fn an_engine_of_the_reserve_that_another_node_uses_comes_into_use() {
    let mut router = fleet(3_000);
    let reserved = router.reserve().next().unwrap().id.clone();
    let handle = SubjectHandle::of_engine(&reserved);
    let work = PeerLoad {
        requests: 1,
        ..PeerLoad::default()
    };
    let peer = shelfjunction_core::identity::NodeId::new("peer");
    router.on_peer_load(&peer, PeerLoadSlice::ALL, &[(handle, work)], at(10));
    assert!(router.engine(&reserved).is_some());
}

#[test]
fn a_stage_that_the_reserve_has_needs_no_order() {
    let router = fleet(3_000);
    assert!(router.has_reserve(&pool(), EngineStage::Prefill));
    assert!(!fleet(150).has_reserve(&pool(), EngineStage::Prefill));
}

#[test]
fn an_entry_that_cannot_be_read_takes_its_engine_out_of_the_reserve() {
    let mut router = fleet(3_000);
    let reserved = router.reserve().next().unwrap().id.clone();
    router.on_entry_unreadable(&reserved, at(10));
    assert_eq!(router.bring_into_use(SubjectHandle::of_engine(&reserved)), None);
    assert_eq!(router.reserve().filter(|engine| engine.id == reserved).count(), 0);
}

#[test]
fn names_that_nobody_listed_are_not_brought_in() {
    let mut router = fleet(300);
    assert_eq!(
        router.bring_into_use(SubjectHandle::of_engine(&EngineId::new("nobody"))),
        None
    );
}
