//! Fenced orders against a simple oracle, with calls running beside them.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use shelfjunction_core::engine::{
    AnswerPart, EngineCall, EngineStatus, LoadReport, LoadedWeights, Order, OrderAction, OrderReply,
    OrderSequence, Phase, Role, RunState,
};
use shelfjunction_core::identity::{
    AttemptId, EngineId, FencingToken, ModelId, OrderId, RequestId, WeightVersion,
};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::config::EngineKind;
use shelfjunction_engine_model::{EngineFaults, EngineModel, EngineModelConfig, NextPart, RunNumber};
use std::time::Duration;

/// Long enough for every call and change to end.
const LONG: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum Transition {
    Order(Order),
    Call { words: usize },
    CancelLast,
    Pass { millis: u64 },
    Crash,
    CrashInNextChange,
}

/// What an oracle knows: the position of each order that took effect, and nothing else.
#[derive(Clone, Debug, Default)]
struct Oracle {
    fence: u64,
    last: (u64, u64),
    carried_out: Vec<OrderId>,
}

/// What must become of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Repeated,
    Fenced,
    Considered,
}

impl Oracle {
    fn verdict(&self, order: &Order) -> Verdict {
        if self.carried_out.contains(&order.order) {
            return Verdict::Repeated;
        }
        if order.token.0 < self.fence || (order.token.0, order.sequence.0) <= self.last {
            return Verdict::Fenced;
        }
        Verdict::Considered
    }

    fn take(&mut self, order: &Order, reply: &OrderReply) {
        self.fence = order.token.0;
        if matches!(reply, OrderReply::Done | OrderReply::InProgress) {
            self.last = (order.token.0, order.sequence.0);
            self.carried_out.push(order.order.clone());
        }
    }
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        prop_oneof![
            8 => order().prop_map(Transition::Order),
            4 => (1_usize..200).prop_map(|words| Transition::Call { words }),
            1 => Just(Transition::CancelLast),
            4 => (1_u64..6_000).prop_map(|millis| Transition::Pass { millis }),
            1 => Just(Transition::Crash),
            1 => Just(Transition::CrashInNextChange),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

fn order() -> impl Strategy<Value = Order> {
    let weights = |version: u8| LoadedWeights {
        model: ModelId::new("renewal"),
        version: WeightVersion::new(version.to_string()),
        adapters: Vec::new(),
    };
    let action = prop_oneof![
        1 => Just(OrderAction::RaiseFence),
        1 => Just(OrderAction::Drain),
        2 => Just(OrderAction::Undrain),
        3 => prop_oneof![Just(Role::Mixed), Just(Role::Prefill), Just(Role::Decode)]
            .prop_map(|role| OrderAction::ChangeRole { role }),
        2 => (0_u8..3).prop_map(move |version| OrderAction::LoadWeights { weights: weights(version) }),
    ];
    (0_u64..6, 0_u64..8, 0_u8..30, action).prop_map(|(token, sequence, order, action)| Order {
        engine: EngineId::new("renewal-1"),
        token: FencingToken(token),
        sequence: OrderSequence(sequence),
        order: OrderId::new(order.to_string()),
        action,
    })
}

/// The engine, the oracle, and the calls that must end whole.
struct Tested {
    engine: EngineModel,
    oracle: Oracle,
    now: MonotonicTime,
    calls: u32,
    running: Vec<(RequestId, RunNumber)>,
}

struct OrdersTest;

impl StateMachineTest for OrdersTest {
    type SystemUnderTest = Tested;
    type Reference = Machine;

    fn init_test((): &()) -> Tested {
        let weights = LoadedWeights {
            model: ModelId::new("renewal"),
            version: WeightVersion::new("0"),
            adapters: Vec::new(),
        };
        let config = EngineModelConfig {
            kind: EngineKind::Model {
                role: Role::Mixed,
                weights: vec![weights],
            },
            ..EngineModelConfig::default()
        };
        Tested {
            engine: EngineModel::new(EngineId::new("renewal-1"), 1, config, 0),
            oracle: Oracle::default(),
            now: MonotonicTime(0),
            calls: 0,
            running: Vec::new(),
        }
    }

    fn apply(mut tested: Tested, (): &(), transition: Transition) -> Tested {
        match transition {
            Transition::Order(order) => give_order(&mut tested, &order),
            Transition::Call { words } => begin_call(&mut tested, words),
            Transition::CancelLast => {
                if let Some((request, _)) = tested.running.pop() {
                    tested.engine.cancel(tested.now, &request);
                }
            }
            Transition::Pass { millis } => pass(&mut tested, Duration::from_millis(millis)),
            Transition::Crash => {
                tested.engine.crash();
                restarted(&mut tested);
            }
            Transition::CrashInNextChange => {
                let faults = EngineFaults {
                    crash_in_change: true,
                    ..EngineFaults::default()
                };
                tested.engine.set_faults(faults);
                pass(&mut tested, Duration::ZERO);
            }
        }
        tested
    }

    fn check_invariants(tested: &Tested, (): &()) {
        let state = tested.engine.state();
        let status = state.status(tested.now);
        assert_eq!(status.fence.0, tested.oracle.fence);
        for (request, _) in &tested.running {
            let known = tested.engine.run_state(request);
            assert!(
                matches!(known, RunState::Running { .. } | RunState::Finished { .. }),
                "{known:?}"
            );
        }
    }

    fn teardown(mut tested: Tested, (): ()) {
        pass(&mut tested, LONG);
        for (request, run) in &tested.running {
            assert_whole(&tested.engine, request, *run);
        }
        assert_eq!(tested.engine.log().count(), tested.calls as usize);
    }
}

fn pass(tested: &mut Tested, duration: Duration) {
    tested.now = tested.now + duration;
    let incarnation = tested.engine.state().incarnation();
    tested.engine.advance(tested.now);
    if tested.engine.state().incarnation() != incarnation {
        restarted(tested);
    }
}

/// An engine that restarts has forgotten every order and every call.
fn restarted(tested: &mut Tested) {
    tested.oracle = Oracle::default();
    for (request, _) in tested.running.drain(..) {
        let incarnation = tested.engine.state().incarnation();
        assert_eq!(
            tested.engine.run_state(&request),
            RunState::NeverSeen { incarnation }
        );
    }
}

/// A status without the load, which moves by itself.
fn settled(engine: &mut EngineModel, now: MonotonicTime) -> EngineStatus {
    EngineStatus {
        load: LoadReport::default(),
        ..engine.status(now)
    }
}

fn give_order(tested: &mut Tested, order: &Order) {
    let before = settled(&mut tested.engine, tested.now);
    let in_flight = tested.engine.state().in_flight();
    let verdict = tested.oracle.verdict(order);
    let reply = tested.engine.order(tested.now, order, Duration::ZERO);
    let after = settled(&mut tested.engine, tested.now);
    match verdict {
        Verdict::Repeated => {
            assert!(
                matches!(reply, OrderReply::Done | OrderReply::InProgress),
                "{reply:?}"
            );
            assert_eq!(before, after, "a repeated order has no second effect");
        }
        Verdict::Fenced => {
            assert_eq!(
                reply,
                OrderReply::Fenced {
                    highest: before.fence
                }
            );
            assert_eq!(before, after, "an order without authority has no effect");
        }
        Verdict::Considered => {
            tested.oracle.take(order, &reply);
            check_considered(order, &reply, in_flight, &before, &after);
        }
    }
}

fn check_considered(
    order: &Order,
    reply: &OrderReply,
    in_flight: u32,
    before: &EngineStatus,
    after: &EngineStatus,
) {
    let begins = *reply == OrderReply::InProgress;
    assert!(!(begins && before.changing), "one change at a time");
    assert_eq!(begins, after.changing && !before.changing);
    assert_eq!(
        (before.role, &before.weights),
        (after.role, &after.weights),
        "changes take time"
    );
    match &order.action {
        OrderAction::RaiseFence => assert_eq!(*reply, OrderReply::Done),
        OrderAction::Drain | OrderAction::Undrain if before.changing => assert_eq!(*reply, OrderReply::Busy),
        OrderAction::Drain => assert!(after.draining && *reply == OrderReply::Done),
        OrderAction::Undrain => assert!(!after.draining && *reply == OrderReply::Done),
        OrderAction::ChangeRole { role } => {
            let wanted = before.changing || (in_flight > 0 && *role != before.role);
            assert_eq!(
                *reply == OrderReply::Busy,
                wanted,
                "a role change waits for running calls"
            );
        }
        OrderAction::LoadWeights { weights } => {
            let replaces = !before.weights.is_empty() && !before.weights.contains(weights);
            let wanted = before.changing || (in_flight > 0 && replaces);
            assert_eq!(
                *reply == OrderReply::Busy,
                wanted,
                "a new version waits for running calls"
            );
        }
    }
}

fn begin_call(tested: &mut Tested, words: usize) {
    let request = RequestId::new(format!("request-{}", tested.calls));
    let call = EngineCall {
        request: request.clone(),
        attempt: AttemptId::new("1"),
        model: ModelId::new("renewal"),
        adapter: None,
        prompt: "word ".repeat(words),
        max_tokens: 40,
        class: ServiceClass::Standard,
        cache_salt: "salt".to_owned(),
        phase: Phase::Whole,
        import: None,
        offset: 0,
    };
    let status = tested.engine.status(tested.now);
    match tested.engine.call(tested.now, &call, None) {
        Ok(run) => {
            assert!(!status.draining && !status.changing);
            tested.calls += 1;
            tested.running.push((request, run));
        }
        Err(_) => {
            let incarnation = status.incarnation;
            assert_eq!(
                tested.engine.run_state(&request),
                RunState::NeverSeen { incarnation }
            );
        }
    }
}

/// Every token once, in order, and then the end.
fn assert_whole(engine: &EngineModel, request: &RequestId, run: RunNumber) {
    let mut cursor = 0;
    loop {
        match engine.next_part(run, cursor) {
            NextPart::Part(AnswerPart::Token {
                request: of, offset, ..
            }) => {
                assert_eq!((&of, offset), (request, cursor));
                cursor += 1;
            }
            NextPart::Part(AnswerPart::Finished {
                request: of, tokens, ..
            }) => {
                assert_eq!((&of, tokens), (request, cursor));
                return;
            }
            other => panic!("{request} was cut off at {cursor}: {other:?}"),
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 1024,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn orders_follow_the_oracle_and_cut_no_call(sequential 1..60 => OrdersTest);
}
