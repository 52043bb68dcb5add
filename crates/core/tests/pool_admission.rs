//! What engines are seen to take, and which requests are taken by it: in time, late or refused.

#![allow(clippy::unwrap_used)]

mod pool_support;

use pool_support::{engine_with, pool, router_with};
use proptest::prelude::*;
use shelfjunction_core::forwarding::{CallerWaits, PoolId, RouteId};
use shelfjunction_core::identity::{EngineId, NodeId, ZoneId};
use shelfjunction_core::routing::pool::{
    Admission, AdmissionDecision, EngineStage, EstimateError, KvCacheSource, LATE_RANK, PeerLoad,
    PeerLoadSlice, PoolAdmission, PoolQuery, PoolRoute, PoolRouter, PoolSpeeds, PoolWeights, PrefillSpeed,
    PrefixBlock, PromptPart, PromptShape, RejectionRate, RequestConstraints, RequestTiming,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

/// Tokens that the engines of these tests are assumed to read in a second.
const SPEED: f64 = 100_000.0;

fn router() -> PoolRouter {
    let weights = PoolWeights {
        assumed_prompt_tokens_per_second: SPEED,
        decode_reading_pace: 0.001,
        ..PoolWeights::default()
    };
    let engines = [("p1", EngineStage::Prefill), ("d1", EngineStage::Decode)]
        .map(|(id, stage)| engine_with(id, stage, 4));
    router_with(weights, 4, Some(1e-7), &engines)
}

struct Asked {
    pool: PoolId,
    zone: ZoneId,
    prompt: PromptShape,
    prefixes: Vec<PrefixBlock>,
}

impl Asked {
    fn new(tokens: u32) -> Self {
        let prompt = PromptShape {
            model: "m".to_owned(),
            parts: vec![PromptPart { name: 7, tokens }],
            tokens,
            output_tokens: 100,
            output_estimate: Some(40),
        };
        Self {
            pool: pool(),
            zone: ZoneId::new("zone-a"),
            prefixes: prompt.prefixes(),
            prompt,
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
            draw: 1,
            rank: 0,
            remaining: Duration::from_secs(5),
            slot_max_wait: Duration::ZERO,
        }
    }
}

fn timing(is_retry: bool) -> RequestTiming {
    RequestTiming {
        target: Duration::from_millis(200),
        remaining: Duration::from_secs(2),
        is_retry,
    }
}

/// A router before whose only prefill engine so many tokens of a rank wait.
fn waiting(rank: usize, tokens: u32) -> PoolRouter {
    let mut router = router();
    let handle = router.engine(&EngineId::new("p1")).unwrap().handle;
    let mut work = PeerLoad {
        requests: 3,
        ..PeerLoad::default()
    };
    work.prompt_tokens[rank] = tokens;
    router.on_peer_load(&NodeId::new("other"), PeerLoadSlice::ALL, &[(handle, work)], NOW);
    router
}

fn decide(router: &PoolRouter, is_retry: bool, settings: &PoolAdmission) -> AdmissionDecision {
    router.admit(&Asked::new(5_000).query(), timing(is_retry), settings, NOW)
}

#[test]
fn what_can_be_in_time_is_taken_and_what_can_not_goes_behind_it_or_is_refused_at_once() {
    let settings = PoolAdmission::default();
    assert_eq!(
        decide(&waiting(0, 0), false, &settings).admission,
        Admission::InTime
    );
    let late = decide(&waiting(0, 60_000), false, &settings);
    assert_eq!(late.admission, Admission::Late);
    assert_ne!(late.route, PoolRoute::Nowhere);
    let refused = decide(&waiting(0, 400_000), false, &settings);
    assert!(matches!(refused.admission, Admission::Refused { .. }));
    assert_eq!(refused.route, PoolRoute::Nowhere);
}

#[test]
fn what_waits_behind_everything_else_delays_nobody() {
    let decision = decide(&waiting(LATE_RANK, 400_000), false, &PoolAdmission::default());
    assert_eq!(decision.admission, Admission::InTime);
}

#[test]
fn a_caller_that_has_come_back_is_not_refused_again() {
    let router = waiting(0, 400_000);
    let settings = PoolAdmission::default();
    assert_eq!(decide(&router, true, &settings).admission, Admission::Late);
    let without_late = PoolAdmission {
        late: false,
        ..settings
    };
    assert_eq!(decide(&router, true, &without_late).admission, Admission::InTime);
}

#[test]
fn switched_off_everything_is_taken_as_it_comes() {
    let off = PoolAdmission {
        enabled: false,
        ..PoolAdmission::default()
    };
    assert_eq!(
        decide(&waiting(0, 4_000_000), false, &off).admission,
        Admission::InTime
    );
}

#[test]
fn a_refused_caller_is_told_to_come_back_within_the_bounds() {
    let settings = PoolAdmission::default();
    for tokens in [400_000, 900_000, 4_000_000] {
        let Admission::Refused { retry_after } = decide(&waiting(0, tokens), false, &settings).admission
        else {
            panic!("{tokens} tokens ahead can't be read in time");
        };
        let bounds = Duration::from_millis(settings.least_return_millis)
            ..=Duration::from_millis(settings.most_return_millis);
        assert!(bounds.contains(&retry_after), "{retry_after:?}");
    }
}

#[test]
fn a_full_decode_engine_counts_in_what_is_expected() {
    let expected = |requests| {
        let mut router = router();
        let handle = router.engine(&EngineId::new("d1")).unwrap().handle;
        let work = PeerLoad {
            requests,
            outputs: requests,
            ..PeerLoad::default()
        };
        router.on_peer_load(&NodeId::new("other"), PeerLoadSlice::ALL, &[(handle, work)], NOW);
        decide(&router, false, &PoolAdmission::default()).expected
    };
    assert_eq!(expected(0), expected(3), "one place is free");
    assert!(expected(4) > expected(3), "none is free");
}

/// Found in trials on obrocnik-lj: a late hand-over entered the mean, and everything was taken for late for seconds.
#[test]
fn a_late_hand_over_tells_nothing_of_those_in_time() {
    let mut router = router();
    let asked = Asked::new(5_000);
    let before = router.speeds(&pool());
    let late = PoolQuery {
        rank: LATE_RANK,
        ..asked.query()
    };
    let ticket = router.on_output_sent(&EngineId::new("d1"), &late, KvCacheSource::Transfer, NOW);
    router.on_output_started(&ticket, &asked.prefixes, NOW + Duration::from_secs(2));
    assert_eq!(router.speeds(&pool()), before);
    let ticket = router.on_output_sent(&EngineId::new("d1"), &asked.query(), KvCacheSource::Transfer, NOW);
    router.on_output_started(&ticket, &asked.prefixes, NOW + Duration::from_secs(2));
    assert!(router.speeds(&pool()).handoff_seconds > before.handoff_seconds);
}

#[test]
fn roles_are_not_planned_by_an_assumed_speed() {
    let mut router = router();
    let asked = Asked::new(5_000);
    let p1 = EngineId::new("p1");
    let mut at = NOW;
    for reading in 0..25 {
        let (_, demand) = router.role_planner_input(&pool(), at);
        assert!(reading >= 20 || demand.prompt_tokens_per_second.is_none());
        let ticket = router.on_prompt_sent(&p1, &asked.query(), at);
        at = at + Duration::from_millis(60);
        router.on_prompt_prefilled(&ticket, &[], at);
    }
    let (_, demand) = router.role_planner_input(&pool(), at);
    assert!(demand.prompt_tokens_per_second.is_some());
}

/// Found in the log of a quiet day: readings are a straight line, and the estimate believed twice the speed.
#[test]
fn speed_and_fixed_part_are_learned_from_readings_of_several_lengths() {
    let mut speed = PrefillSpeed::with_initial_speed(40_000.0);
    for reading in 0..300 {
        let tokens = f64::from(1_000 + (reading % 17) * 3_000);
        speed.observe(tokens, Duration::from_secs_f64(0.008 + tokens / 205_000.0));
    }
    assert!((speed.tokens_per_second() / 205_000.0 - 1.0).abs() < 0.02);
    assert!((speed.fixed_seconds() - 0.008).abs() < 0.001);
}

#[test]
fn a_few_lost_packets_move_the_line_little() {
    let mut speed = PrefillSpeed::with_initial_speed(200_000.0);
    for reading in 0..300 {
        let tokens = f64::from(1_000 + (reading % 17) * 3_000);
        let lost = if reading % 29 == 7 { 3.0 } else { 0.0 };
        speed.observe(tokens, Duration::from_secs_f64(0.008 + tokens / 200_000.0 + lost));
    }
    assert!((speed.seconds(20_000.0) / 0.108 - 1.0).abs() < 0.25);
}

proptest! {
    /// Found in trials: rounding left a fixed part of -1e-17 seconds, which no duration takes.
    #[test]
    fn no_reading_leads_to_a_negative_or_endless_time(
        readings in prop::collection::vec((0u32..2_000_000, 0u64..20_000_000), 1..200),
    ) {
        let mut speed = PrefillSpeed::with_initial_speed(40_000.0);
        for (tokens, micros) in readings {
            speed.observe(f64::from(tokens), Duration::from_micros(micros));
            for asked in [0.0, 1.0, 1e4, 1e9] {
                let seconds = speed.seconds(asked);
                prop_assert!(seconds.is_finite() && seconds >= 0.0, "{seconds} for {asked}");
                prop_assert!(Duration::try_from_secs_f64(seconds).is_ok());
            }
        }
    }
}

#[test]
fn more_care_asks_for_more_room() {
    let mut error = EstimateError::default();
    for ratio in (0..2_000).map(|number| 50 + number % 100) {
        error.observe(Duration::from_millis(980), Duration::from_millis(ratio * 10 - 20));
    }
    assert!(error.factor(0.0) < error.factor(0.5) && error.factor(0.5) < error.factor(1.0));
    assert_eq!(error.factor(1.0), error.factor(9.0));
    let mut turned_away = RejectionRate::default();
    (0..40).for_each(|_| turned_away.observe(true));
    assert!(turned_away.share() > 0.8);
    (0..80).for_each(|_| turned_away.observe(false));
    assert!(turned_away.share() < 0.05);
}

#[test]
fn reading_beside_outputs_is_harmful_only_where_pauses_come_near_the_longest() {
    let harm = |part: f64| {
        let mut speeds = PoolSpeeds::with_initial_speed(SPEED, 0.5);
        (0..500).for_each(|_| speeds.pauses.observe(part));
        speeds.pauses.harm()
    };
    assert_eq!(harm(0.2), 0.0);
    assert!(harm(0.65) > 0.2 && harm(0.65) < 0.8);
    assert_eq!(harm(1.2), 1.0);
}

#[test]
fn callers_with_much_less_time_than_others_on_the_route_have_come_back() {
    let mut waits = CallerWaits::default();
    let (route, other) = (RouteId("a".to_owned()), RouteId("b".to_owned()));
    let millis = Duration::from_millis;
    assert!(!waits.has_returned(&route, millis(1_999)));
    assert!(!waits.has_returned(&route, millis(1_990)));
    assert!(waits.has_returned(&route, millis(1_500)));
    assert!(
        !waits.has_returned(&other, millis(1_500)),
        "each route on its own"
    );
    (0..500).for_each(|_| {
        waits.has_returned(&route, millis(1_000));
    });
    assert!(
        !waits.has_returned(&route, millis(1_000)),
        "callers wait less than they did"
    );
}
