//! Placers: who they are, and what they keep under lost, late and doubled datagrams.

#![allow(clippy::unwrap_used)]

mod pool_support;

use pool_support::{engine_with, pool, router_with};
use proptest::prelude::*;
use shelfjunction_core::engine::EngineRefusalReason;
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::config::PlacingSettings;
use shelfjunction_core::placing::placement_table::PlacementTable;
use shelfjunction_core::placing::placer_set::{Candidate, PlacerSet};
use shelfjunction_core::placing::question::{
    DispatchProgress, Placement, PlacementAnswer, PlacementKind, PlacementQuery, ProgressReport, RequestKey,
    RequestSummary,
};
use shelfjunction_core::routing::pool::{
    Admission, EngineStage, PoolAdmission, PoolRouter, PoolWeights, PromptPart, PromptShape,
    RequestConstraints, RequestTiming,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn after(millis: u64) -> MonotonicTime {
    NOW + Duration::from_millis(millis)
}

fn node(number: u32) -> SubjectHandle {
    SubjectHandle::of_text("node", &format!("node-{number}"))
}

fn candidates(numbers: impl Iterator<Item = u32>, processor_thousandths: u32) -> Vec<Candidate> {
    numbers
        .map(|number| Candidate {
            node: node(number),
            processor_thousandths,
        })
        .collect()
}

mod placers {
    use super::*;

    #[test]
    fn nodes_that_see_the_same_fleet_in_another_order_name_the_same_placers() {
        let fleet = candidates(0..295, 120);
        let mut turned = fleet.clone();
        turned.reverse();
        assert_eq!(PlacerSet::select(&fleet, 8), PlacerSet::select(&turned, 8));
        assert_eq!(PlacerSet::select(&fleet, 8).placers().len(), 8);
    }

    #[test]
    fn nodes_with_more_processor_come_first() {
        let small = candidates(0..280, 120);
        let large = candidates(280..295, 500);
        let fleet: Vec<Candidate> = small.iter().chain(&large).copied().collect();
        let placers = PlacerSet::select(&fleet, 8);
        assert!(large.iter().filter(|one| placers.includes(one.node)).count() == 8);
        let without_large = PlacerSet::select(&small, 8);
        assert_eq!(
            without_large.placers().len(),
            8,
            "any node will do where no large one lives"
        );
    }

    #[test]
    fn the_loss_of_a_placer_moves_only_what_it_had() {
        let fleet = candidates(0..60, 250);
        let placers = PlacerSet::select(&fleet, 8);
        let lost = placers.placers()[0];
        let left: Vec<Candidate> = fleet.iter().copied().filter(|one| one.node != lost).collect();
        let smaller = PlacerSet::select(&left, 8);
        let kept = placers
            .placers()
            .iter()
            .filter(|one| smaller.includes(**one))
            .count();
        assert_eq!(kept, 7);
        let nobody = |_| false;
        let newcomer = *smaller
            .placers()
            .iter()
            .find(|one| !placers.includes(**one))
            .unwrap();
        for subject in (0..2_000_u64).map(|number| number.wrapping_mul(0x9E37_79B9_7F4A_7C15)) {
            let before = placers.placers_for(subject, nobody, 1)[0];
            let now = smaller.placers_for(subject, nobody, 1)[0];
            assert!(now == before || before == lost || now == newcomer);
        }
    }

    #[test]
    fn a_silent_placer_is_passed_over_for_the_second_choice() {
        let placers = PlacerSet::select(&candidates(0..60, 250), 8);
        for subject in (1..100_u64).map(|number| number << 40) {
            let [first, second] = placers.placers_for(subject, |_| false, 2)[..] else {
                panic!("two placers");
            };
            assert_eq!(
                placers.placers_for(subject, |placer| placer == first, 1),
                [second]
            );
        }
        assert!(
            placers.placers_for(7, |_| true, 2).is_empty(),
            "nobody is left to ask"
        );
    }

    #[test]
    fn subjects_spread_over_the_placers() {
        let placers = PlacerSet::select(&candidates(0..295, 120), 8);
        let mut counts = std::collections::BTreeMap::new();
        for subject in (0..8_000_u64).map(|number| number.wrapping_mul(0x9E37_79B9_7F4A_7C15)) {
            *counts
                .entry(placers.placers_for(subject, |_| false, 1)[0])
                .or_insert(0) += 1;
        }
        assert!(
            counts.values().all(|count| (800..1_200).contains(count)),
            "{counts:?}"
        );
    }

    #[test]
    fn wrong_settings_are_named() {
        let settings = PlacingSettings {
            placers: 0,
            alone_up_to: 0,
            answer_wait_millis: 0,
        };
        let fields: Vec<String> = settings.validate().into_iter().map(|error| error.field).collect();
        let expected = [
            "placing.placers",
            "placing.alone_up_to",
            "placing.answer_wait_millis",
        ];
        assert_eq!(fields, expected);
        assert!(PlacingSettings::default().validate().is_empty());
    }
}

fn router() -> PoolRouter {
    let weights = PoolWeights {
        decode_reading_pace: 0.001,
        ..PoolWeights::default()
    };
    let engines = [
        ("p1", EngineStage::Prefill),
        ("p2", EngineStage::Prefill),
        ("d1", EngineStage::Decode),
        ("d2", EngineStage::Decode),
    ];
    let engines = engines.map(|(id, stage)| engine_with(id, stage, 64));
    router_with(weights, 64, None, &engines)
}

fn question(number: u64, step: u32, kind: PlacementKind) -> PlacementQuery {
    let part = |name, tokens| PromptPart { name, tokens };
    PlacementQuery {
        key: RequestKey {
            node: node(1),
            number,
        },
        step,
        request: RequestSummary {
            constraints: RequestConstraints::default(),
            pool: pool(),
            prompt: PromptShape {
                model: "m".to_owned(),
                parts: vec![part(5, 6_000), part(1_000 + number, 1_000)],
                tokens: 7_000,
                output_tokens: 100,
                output_estimate: None,
            },
            zone: ZoneId::new("zone-a"),
            rank: 1,
            remaining: Duration::from_secs(4),
        },
        kind,
    }
}

fn admission(number: u64) -> PlacementQuery {
    let timing = RequestTiming {
        target: Duration::from_secs(1),
        remaining: Duration::from_secs(4),
        is_retry: false,
    };
    question(number, 1, PlacementKind::Admission(timing))
}

fn output(number: u64, source: SubjectHandle) -> PlacementQuery {
    let excluded = Vec::new();
    question(
        number,
        2,
        PlacementKind::Decode {
            source,
            reported_load: None,
            excluded,
        },
    )
}

struct Placer {
    table: PlacementTable,
    router: PoolRouter,
}

impl Placer {
    fn new() -> Self {
        Self {
            table: PlacementTable::default(),
            router: router(),
        }
    }

    fn ask(&mut self, question: &PlacementQuery, now: MonotonicTime) -> PlacementAnswer {
        let settings = PoolAdmission::default();
        self.table
            .answer(&mut self.router, question, &settings, now)
            .unwrap()
    }

    fn tell(&mut self, question: &PlacementQuery, progress: DispatchProgress, now: MonotonicTime) {
        let report = ProgressReport {
            key: question.key,
            step: question.step,
            progress,
        };
        self.table.on_progress(&mut self.router, &report, now);
    }

    /// Streams that have kept to the longest pause that their route allows.
    fn streams(&self) -> u32 {
        self.router
            .engines()
            .map(|state| state.own_load().streams as u32)
            .sum()
    }

    fn requests(&self) -> u32 {
        self.router
            .engines()
            .map(|state| state.own_load().requests as u32)
            .sum()
    }
}

fn reader(answer: &PlacementAnswer) -> SubjectHandle {
    match answer.placement {
        Placement::Split { prefill, .. } => prefill.engine,
        other => panic!("not split: {other:?}"),
    }
}

#[test]
fn a_request_is_counted_from_the_answer_to_its_end() {
    let mut placer = Placer::new();
    let first = admission(1);
    let answer = placer.ask(&first, NOW);
    assert_eq!(answer.verdict.unwrap().admission, Admission::InTime);
    assert_eq!(placer.requests(), 1);
    let second = output(1, reader(&answer));
    let answer = placer.ask(&second, after(200));
    assert!(matches!(answer.placement, Placement::One(_)));
    assert_eq!(placer.requests(), 1, "the prompt is read, the output counts now");
    placer.tell(
        &second,
        DispatchProgress::Started { reported_load: None },
        after(230),
    );
    let end = DispatchProgress::Answered { pauses: vec![20, 30] };
    placer.tell(&second, end, after(300));
    assert_eq!((placer.requests(), placer.table.len()), (0, 0));
}

#[test]
fn the_next_request_with_a_part_goes_where_the_part_was_read() {
    let mut placer = Placer::new();
    let answer = placer.ask(&admission(1), NOW);
    let holder = reader(&answer);
    placer.ask(&output(1, holder), after(200));
    for number in 2..20 {
        let answer = placer.ask(&admission(number), after(1_000 + 400 * number));
        assert_eq!(reader(&answer), holder, "request {number}: {answer:?}");
        let done = output(number, holder);
        // As long as 1,000 tokens should take.
        placer.ask(&done, after(1_035 + 400 * number));
        placer.tell(&done, DispatchProgress::Abandoned, after(1_300 + 400 * number));
    }
}

#[test]
fn a_doubled_question_gets_the_same_answer_and_counts_once() {
    let mut placer = Placer::new();
    let first = placer.ask(&admission(1), NOW);
    let again = placer.ask(&admission(1), after(3));
    assert_eq!(first, again);
    assert_eq!(placer.requests(), 1);
}

#[test]
fn an_older_question_that_arrives_late_is_not_answered() {
    let mut placer = Placer::new();
    let answer = placer.ask(&admission(1), NOW);
    placer.ask(&output(1, reader(&answer)), after(200));
    let settings = PoolAdmission::default();
    let late = placer
        .table
        .answer(&mut placer.router, &admission(1), &settings, after(210));
    assert_eq!(late, None);
    assert_eq!(placer.requests(), 1);
}

#[test]
fn a_report_about_an_earlier_answer_changes_nothing() {
    let mut placer = Placer::new();
    let first = admission(1);
    let answer = placer.ask(&first, NOW);
    placer.ask(&output(1, reader(&answer)), after(200));
    placer.tell(&first, DispatchProgress::ConnectionFailed, after(210));
    assert_eq!(placer.requests(), 1, "the output is under way");
}

#[test]
fn a_refused_dispatch_is_placed_anew_elsewhere() {
    let mut placer = Placer::new();
    let first = admission(1);
    let refuser = reader(&placer.ask(&first, NOW));
    let reason = EngineRefusalReason::QueueFull;
    placer.tell(
        &first,
        DispatchProgress::Refused {
            reason,
            reported_load: None,
        },
        after(5),
    );
    assert_eq!(placer.requests(), 0);
    let excluded = vec![refuser];
    let answer = placer.ask(&question(1, 2, PlacementKind::Retry { excluded }), after(6));
    assert_ne!(reader(&answer), refuser);
    assert_eq!(placer.requests(), 1);
}

#[test]
fn a_lost_report_of_a_refusal_is_made_good_by_the_next_question() {
    let mut placer = Placer::new();
    let refuser = reader(&placer.ask(&admission(1), NOW));
    let excluded = vec![refuser];
    placer.ask(&question(1, 2, PlacementKind::Retry { excluded }), after(6));
    assert_eq!(placer.requests(), 1);
}

#[test]
fn what_nobody_speaks_of_any_more_is_forgotten_after_the_requests_time() {
    let mut placer = Placer::new();
    placer.ask(&admission(1), NOW);
    placer.table.sweep(&mut placer.router, after(4_400));
    assert_eq!(placer.requests(), 1);
    placer.table.sweep(&mut placer.router, after(5_100));
    assert_eq!((placer.requests(), placer.table.len()), (0, 0));
}

#[test]
fn a_placer_that_has_just_started_places_outputs_whose_prompts_another_placed() {
    let mut before = Placer::new();
    let source = reader(&before.ask(&admission(1), NOW));
    let mut started = Placer::new();
    let answer = started.ask(&output(1, source), after(300));
    assert!(matches!(answer.placement, Placement::One(_)), "{answer:?}");
    assert_eq!(started.requests(), 1);
}

/// What happens to a datagram on its way.
#[derive(Clone, Copy, Debug)]
enum Way {
    Arrives,
    Doubled,
    Lost,
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![6 => Just(Way::Arrives), 1 => Just(Way::Doubled), 1 => Just(Way::Lost)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is lost or doubled, no request counts twice, and none is counted when its time is over.
    #[test]
    fn nothing_is_counted_twice_or_for_ever(ways in proptest::collection::vec((way(), way(), way()), 1..40)) {
        let mut placer = Placer::new();
        let settings = PoolAdmission::default();
        let times = |way| match way { Way::Arrives => 1, Way::Doubled => 2, Way::Lost => 0 };
        for (number, (asked, read, ended)) in ways.iter().enumerate() {
            let number = number as u64;
            let at = after(number * 10);
            let source = placer.router.handle_of(&EngineId::new("p1"));
            for _ in 0..times(*asked) {
                placer.table.answer(&mut placer.router, &admission(number), &settings, at);
            }
            for _ in 0..times(*read) {
                placer.table.answer(&mut placer.router, &output(number, source), &settings, at);
            }
            for _ in 0..times(*ended) {
                placer.tell(&output(number, source), DispatchProgress::Answered { pauses: Vec::new() }, at);
            }
            prop_assert!(placer.requests() as u64 <= number + 1);
            prop_assert!(placer.requests() as usize <= placer.table.len());
        }
        placer.table.sweep(&mut placer.router, after(60_000));
        prop_assert_eq!(placer.requests(), 0);
        prop_assert!(placer.table.is_empty());
    }
}

#[test]
fn a_stream_that_paused_for_too_long_stays_counted_as_an_output_that_is_late_already() {
    let mut placer = Placer::new();
    let bounded = |mut question: PlacementQuery| {
        question.request.constraints.max_event_gap = Some(Duration::from_millis(200));
        question
    };
    placer.ask(&bounded(admission(1)), NOW);
    let source = SubjectHandle::of_engine(&EngineId::new("p1"));
    let asked = bounded(output(1, source));
    placer.ask(&asked, after(50));
    placer.tell(
        &asked,
        DispatchProgress::Started { reported_load: None },
        after(80),
    );
    assert_eq!((placer.requests(), placer.streams()), (1, 1));
    placer.tell(&asked, DispatchProgress::Paused { hundredths: 130 }, after(400));
    assert_eq!((placer.requests(), placer.streams()), (1, 0));
    placer.tell(
        &asked,
        DispatchProgress::Answered { pauses: vec![130] },
        after(600),
    );
    assert_eq!((placer.requests(), placer.streams()), (0, 0));
}
