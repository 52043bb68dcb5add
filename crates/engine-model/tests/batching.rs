//! Batching: the same course however often time is advanced, nothing lost, memory kept, lower classes first.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfjunction_core::engine::{LoadReport, LoadedWeights, Phase, Role};
use shelfjunction_core::identity::{EngineId, ModelId, WeightVersion};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::config::{EngineKind, EngineLimits};
use shelfjunction_engine_model::{
    BatchEvent, BatchEventKind, EngineModelConfig, EngineState, SequenceWork, WorkTarget,
};

const CACHE_TOKENS: u64 = 1_024;

fn engine() -> EngineState {
    let weights = LoadedWeights {
        model: ModelId::new("renewal"),
        version: WeightVersion::new("1"),
        adapters: Vec::new(),
    };
    let config = EngineModelConfig {
        kind: EngineKind::Model {
            role: Role::Mixed,
            weights: vec![weights],
        },
        limits: EngineLimits {
            prefill_chunk_tokens: 64,
            active_sequences: 4,
            cache_tokens: CACHE_TOKENS,
            ..EngineLimits::default()
        },
        ..EngineModelConfig::default()
    };
    EngineState::new(EngineId::new("renewal-1"), 1, config, 0)
}

fn submit(engine: &mut EngineState, now: MonotonicTime, work: SequenceWork) {
    let model = ModelId::new("renewal");
    let target = WorkTarget {
        model: &model,
        adapter: None,
    };
    engine.submit(now, target, work).unwrap();
}

#[derive(Clone, Debug)]
struct Arrival {
    at: u64,
    work: SequenceWork,
    /// Cancelled this long after it arrived.
    cancelled_after: Option<u64>,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    let class = prop_oneof![
        Just(ServiceClass::Interactive),
        Just(ServiceClass::Standard),
        Just(ServiceClass::Batch)
    ];
    let cancel = prop::option::weighted(0.2, 0_u64..400_000);
    (
        0_u64..500_000,
        1_u32..400,
        1_u32..60,
        class,
        any::<(bool, bool, bool)>(),
        cancel,
    )
        .prop_map(
            |(at, prompt_tokens, output_tokens, class, (imported, prefill_only, family), cancelled_after)| {
                let first = if family { 1_000 } else { 2_000 };
                let blocks: Vec<u64> = (first..first + u64::from(prompt_tokens / 16)).collect();
                let prefill_only = prefill_only && !imported;
                Arrival {
                    at,
                    work: SequenceWork {
                        prompt_tokens,
                        prompt_blocks: blocks.into(),
                        output_tokens: if prefill_only { 0 } else { output_tokens },
                        class,
                        phase: if prefill_only {
                            Phase::PrefillOnly
                        } else {
                            Phase::Whole
                        },
                        imported,
                    },
                    cancelled_after,
                }
            },
        )
}

/// What the outside does, in order of time.
enum Action {
    Arrive(usize),
    Cancel(usize),
}

fn actions(arrivals: &[Arrival]) -> Vec<(u64, Action)> {
    let mut actions: Vec<(u64, Action)> = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        actions.push((arrival.at, Action::Arrive(index)));
        if let Some(after) = arrival.cancelled_after {
            actions.push((arrival.at + after, Action::Cancel(index)));
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

/// Runs arrivals, advancing at every multiple of `stride` microseconds too, or only where something may happen.
fn run(arrivals: &[Arrival], stride: Option<u64>) -> (Vec<BatchEvent>, LoadReport) {
    let mut engine = engine();
    let model = ModelId::new("renewal");
    let target = WorkTarget {
        model: &model,
        adapter: None,
    };
    let mut events = Vec::new();
    let mut keys = vec![None; arrivals.len()];
    let mut clock = 0;
    for (at, action) in actions(arrivals) {
        while let Some(next) = stride.map(|stride| clock + stride).filter(|next| *next < at) {
            clock = next;
            engine.advance(MonotonicTime(clock), &mut events);
            assert!(engine.true_load().cache_tokens_used <= CACHE_TOKENS);
        }
        let now = MonotonicTime(at);
        engine.advance(now, &mut events);
        match action {
            Action::Arrive(index) => {
                keys[index] = Some(engine.submit(now, target, arrivals[index].work.clone()).unwrap());
            }
            Action::Cancel(index) => {
                engine.cancel(now, keys[index].unwrap());
            }
        }
    }
    while let Some(next) = engine.next_event_at() {
        engine.advance(next, &mut events);
        assert!(engine.true_load().cache_tokens_used <= CACHE_TOKENS);
    }
    (events, engine.true_load())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1024,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_course_does_not_depend_on_how_often_time_is_advanced(
        arrivals in prop::collection::vec(arrival(), 1..24),
        stride in 500_u64..30_000,
    ) {
        let (seldom, idle) = run(&arrivals, None);
        let (often, _) = run(&arrivals, Some(stride));
        prop_assert_eq!(&seldom, &often);
        prop_assert!(seldom.is_sorted_by_key(|event| event.at));
        let ended = seldom.iter().filter(|event| event.kind != BatchEventKind::FirstToken).count();
        let cancelled = arrivals.iter().filter(|arrival| arrival.cancelled_after.is_some()).count();
        prop_assert!(ended + cancelled >= arrivals.len() && ended <= arrivals.len());
        let counts = [
            u64::from(idle.requests_in_flight),
            idle.queued_prefill_tokens,
            idle.queued_decode_tokens,
            u64::from(idle.active_sequences),
        ];
        prop_assert_eq!(counts, [0; 4], "an idle engine counts nothing as in flight");
    }
}

fn work(prompt_tokens: u32, class: ServiceClass) -> SequenceWork {
    SequenceWork {
        prompt_tokens,
        prompt_blocks: (0..u64::from(prompt_tokens / 16))
            .map(|block| block + (class as u64) * 1_000)
            .collect(),
        output_tokens: 4,
        class,
        phase: Phase::Whole,
        imported: false,
    }
}

fn first_tokens(engine: &mut EngineState) -> Vec<MonotonicTime> {
    let mut events = Vec::new();
    while let Some(next) = engine.next_event_at() {
        engine.advance(next, &mut events);
    }
    events.retain(|event| event.kind == BatchEventKind::FirstToken);
    events.iter().map(|event| event.at).collect()
}

#[test]
fn an_interactive_call_overtakes_a_long_batch_prompt() {
    let mut alone = engine();
    submit(&mut alone, MonotonicTime(0), work(64, ServiceClass::Interactive));
    let alone = first_tokens(&mut alone)[0];
    let mut shared = engine();
    submit(&mut shared, MonotonicTime(0), work(640, ServiceClass::Batch));
    submit(&mut shared, MonotonicTime(0), work(64, ServiceClass::Interactive));
    let times = first_tokens(&mut shared);
    // One step of the batch prompt was under way; the interactive one takes the next and the batch one the rest.
    assert_eq!(times[0], MonotonicTime(alone.0 * 2));
    assert!(times[1] > times[0]);
}

#[test]
fn a_cached_prefix_shortens_the_second_prefill() {
    let mut engine = engine();
    submit(&mut engine, MonotonicTime(0), work(640, ServiceClass::Standard));
    let first = first_tokens(&mut engine)[0];
    let start = MonotonicTime(1_000_000);
    engine.advance(start, &mut Vec::new());
    submit(&mut engine, start, work(640, ServiceClass::Standard));
    let second = first_tokens(&mut engine)[0].since(start);
    assert!(
        second * 9 < first.since(MonotonicTime(0)),
        "one token of 640 remains to prefill"
    );
}
