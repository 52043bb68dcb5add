//! Opaque requests: when they may be sent again, and which outcome is reported.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::{AnswerPart, EngineRefusal, EngineRefusalReason, KvTransfer, Phase};
use shelfjunction_core::forwarding::RepeatRule;
use shelfjunction_core::identity::{AttemptId, EngineId, EngineStart, ModelId, RequestId, TenantId};
use shelfjunction_core::outcome::{Failure, Outcome, RefusalReason};
use shelfjunction_core::request::event::{Action, Event, ForwardAction, OpaquePart};
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::{
    CourseLimits, Placement, RequestForm, RequestSpecification, Target,
};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn machine(rule: RepeatRule, runs: u32) -> RequestMachine {
    let specification = RequestSpecification {
        form: RequestForm::Opaque(rule),
        request: RequestId::new("request"),
        tenant: TenantId::new(""),
        model: ModelId::new("pool"),
        adapter: None,
        kind: ModelKind::Model,
        class: ServiceClass::Interactive,
        prompt: String::new(),
        max_tokens: 10,
        cache_salt: String::new(),
        key: None,
        deadline: MonotonicTime::from_millis(5_000),
        admitted_unix_seconds: 0,
    };
    let limits = CourseLimits {
        placements: 8,
        runs,
        resumes: 0,
        questions: 0,
        ..CourseLimits::default()
    };
    RequestMachine::new(specification, limits)
}

fn target(name: &str, port: u16) -> Target {
    Target {
        engine: EngineId::new(name),
        address: ([127, 0, 0, 1], port).into(),
        incarnation: 0,
    }
}

fn split_placement() -> Placement {
    Placement::Split {
        prefill: target("prefill", 1),
        decode: target("decode", 2),
    }
}

/// Returns the attempt, engine, phase and import of the first dispatch among the actions.
fn first_dispatch(actions: &[Action]) -> (AttemptId, EngineId, Phase, Option<KvTransfer>) {
    let dispatch = actions.iter().find_map(|action| match action {
        Action::Dispatch { target, call, .. } => Some((
            call.attempt.clone(),
            target.engine.clone(),
            call.phase,
            call.import.clone(),
        )),
        _ => None,
    });
    dispatch.unwrap_or_else(|| panic!("no dispatch in {actions:?}"))
}

fn finish_outcome(actions: &[Action]) -> Outcome {
    match actions.last() {
        Some(Action::Finish(outcome)) => outcome.clone(),
        _ => panic!("not finished by {actions:?}"),
    }
}

fn frees_transfer(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Forward(ForwardAction::FreeTransfer { .. })))
}

/// Starts a split request and completes its prefill; returns the resulting actions.
fn complete_prefill(machine: &mut RequestMachine) -> Vec<Action> {
    machine.handle(Event::Admitted, NOW);
    let (attempt, engine, phase, _) = first_dispatch(&machine.handle(Event::Placed(split_placement()), NOW));
    assert_eq!((engine.as_str(), phase), ("prefill", Phase::PrefillOnly));
    let part = AnswerPart::Prefilled {
        request: RequestId::new("request"),
        handle: "handle".to_owned(),
    };
    machine.handle(Event::Part { attempt, part }, NOW)
}

fn refusal(reason: EngineRefusalReason) -> EngineRefusal {
    EngineRefusal {
        reason,
        retry_after_millis: 0,
    }
}

/// An engine chosen before a long prefill may drain before the prefill completes.
#[test]
fn decode_engine_is_chosen_after_prefill() {
    let mut machine = machine(RepeatRule::Never, 1);
    let actions = complete_prefill(&mut machine);
    assert_eq!(
        actions,
        vec![Action::Forward(ForwardAction::ChooseOutput {
            source: EngineId::new("prefill"),
            excluded: Vec::new(),
        })]
    );
    let placed = Event::Placed(Placement::Whole(target("other", 3)));
    let (_, engine, phase, import) = first_dispatch(&machine.handle(placed, NOW));
    assert_eq!((engine.as_str(), phase), ("other", Phase::Whole));
    assert_eq!(import.map(|import| import.handle), Some("handle".to_owned()));
}

#[test]
fn refused_decode_keeps_the_prefilled_prompt() {
    let mut machine = machine(RepeatRule::Never, 1);
    complete_prefill(&mut machine);
    let placed = Event::Placed(Placement::Whole(target("decode", 2)));
    let (attempt, ..) = first_dispatch(&machine.handle(placed, NOW));
    let refused = Event::Refused {
        attempt,
        refusal: refusal(EngineRefusalReason::TransferGone),
    };
    assert!(matches!(
        machine.handle(refused, NOW)[..],
        [Action::AskRetry { .. }]
    ));
    let actions = machine.handle(Event::RetryGranted { not_before: NOW }, NOW);
    assert_eq!(
        actions,
        vec![Action::Forward(ForwardAction::ChooseOutput {
            source: EngineId::new("prefill"),
            excluded: vec![EngineId::new("decode")],
        })]
    );
}

/// A restarted engine may hold the KV cache of another request under the same handle.
#[test]
fn prefill_is_repeated_without_transfer_after_a_restart_of_its_engine() {
    let mut machine = machine(RepeatRule::Never, 1);
    complete_prefill(&mut machine);
    assert!(matches!(
        machine.handle(Event::TransferLost, NOW)[..],
        [Action::AskRetry { .. }]
    ));
    let actions = machine.handle(Event::RetryGranted { not_before: NOW }, NOW);
    assert!(matches!(actions[..], [Action::Choose { .. }]), "{actions:?}");
    let (_, _, phase, import) = first_dispatch(&machine.handle(Event::Placed(split_placement()), NOW));
    assert_eq!((phase, import), (Phase::PrefillOnly, None));
    assert!(!frees_transfer(&machine.handle(Event::CallerGone, NOW)));
}

#[test]
fn transfer_is_freed_at_the_engine_start_that_holds_it() {
    let mut machine = machine(RepeatRule::Never, 1);
    let mut placed = split_placement();
    let started = EngineId::started("prefill", EngineStart(7));
    if let Placement::Split { prefill, .. } = &mut placed {
        prefill.engine = started.clone();
    }
    machine.handle(Event::Admitted, NOW);
    let (attempt, ..) = first_dispatch(&machine.handle(Event::Placed(placed), NOW));
    let part = AnswerPart::Prefilled {
        request: RequestId::new("request"),
        handle: "handle".to_owned(),
    };
    machine.handle(Event::Part { attempt, part }, NOW);
    let actions = machine.handle(Event::DeadlineReached, NOW);
    let source = actions.iter().find_map(|action| match action {
        Action::Forward(ForwardAction::FreeTransfer { source, .. }) => Some(source.clone()),
        _ => None,
    });
    assert_eq!(source, Some(started));
}

#[test]
fn deadline_after_prefill_frees_the_transfer_and_reports_not_run() {
    let mut machine = machine(RepeatRule::Never, 1);
    complete_prefill(&mut machine);
    let actions = machine.handle(Event::DeadlineReached, NOW);
    assert!(frees_transfer(&actions));
    assert!(matches!(finish_outcome(&actions), Outcome::NotRun(_)));
}

#[test]
fn a_stop_of_the_node_is_a_promise_only_where_no_engine_had_the_request() {
    let mut unsent = machine(RepeatRule::Never, 1);
    unsent.handle(Event::Admitted, NOW);
    let outcome = finish_outcome(&unsent.handle(Event::NodeStopping, NOW));
    assert!(matches!(outcome, Outcome::NotRun(refusal) if refusal.reason == RefusalReason::Stopping));
    for rule in [RepeatRule::Never, RepeatRule::Always, RepeatRule::Resumable] {
        let mut sent = machine(rule, 1);
        sent.handle(Event::Admitted, NOW);
        let placed = Event::Placed(Placement::Whole(target("engine", 1)));
        first_dispatch(&sent.handle(placed, NOW));
        let actions = sent.handle(Event::NodeStopping, NOW);
        assert!(
            actions
                .iter()
                .any(|action| matches!(action, Action::Cancel { .. }))
        );
        assert_eq!(
            finish_outcome(&actions),
            Outcome::Unknown(Failure::NodeStopped),
            "{rule:?}"
        );
    }
}

#[test]
fn non_repeatable_request_is_not_resent_after_an_ambiguous_end() {
    let mut machine = machine(RepeatRule::Never, 3);
    machine.handle(Event::Admitted, NOW);
    let placed = Event::Placed(Placement::Whole(target("engine", 1)));
    let (attempt, ..) = first_dispatch(&machine.handle(placed, NOW));
    let actions = machine.handle(Event::Ambiguous { attempt }, NOW);
    assert_eq!(
        finish_outcome(&actions),
        Outcome::Unknown(Failure::ClaimUnsettled)
    );
}

#[test]
fn non_repeatable_request_is_retried_after_a_refusal() {
    let mut machine = machine(RepeatRule::Never, 1);
    machine.handle(Event::Admitted, NOW);
    let placed = Event::Placed(Placement::Whole(target("engine", 1)));
    let (attempt, ..) = first_dispatch(&machine.handle(placed, NOW));
    let refused = Event::Refused {
        attempt,
        refusal: refusal(EngineRefusalReason::QueueFull),
    };
    assert!(matches!(
        machine.handle(refused, NOW)[..],
        [Action::AskRetry { .. }]
    ));
}

#[test]
fn interrupted_event_stream_resumes_after_the_last_event() {
    let mut machine = machine(RepeatRule::Resumable, 2);
    machine.handle(Event::Admitted, NOW);
    let placed = Event::Placed(Placement::Whole(target("first", 1)));
    let (attempt, ..) = first_dispatch(&machine.handle(placed, NOW));
    for id in [1, 3] {
        let event = Event::Forwarded {
            attempt: attempt.clone(),
            part: OpaquePart::Event { id },
        };
        assert_eq!(machine.handle(event, NOW).len(), 1);
    }
    let actions = machine.handle(Event::Disconnected { attempt }, NOW);
    assert!(matches!(actions.last(), Some(Action::AskRetry { .. })));
    machine.handle(Event::RetryGranted { not_before: NOW }, NOW);
    let placed = Event::Placed(Placement::Whole(target("second", 2)));
    let (attempt, ..) = first_dispatch(&machine.handle(placed, NOW));
    assert_eq!(machine.last_event(), Some(3));
    let event = |id| Event::Forwarded {
        attempt: attempt.clone(),
        part: OpaquePart::Event { id },
    };
    assert_eq!(
        machine.handle(event(3), NOW),
        Vec::new(),
        "the caller has received this event"
    );
    assert_eq!(machine.handle(event(4), NOW).len(), 1);
}

#[test]
fn request_is_run_no_more_often_than_its_route_allows() {
    let mut machine = machine(RepeatRule::Resumable, 2);
    machine.handle(Event::Admitted, NOW);
    for engine in ["first", "second"] {
        let placed = Event::Placed(Placement::Whole(target(engine, 1)));
        let (attempt, ..) = first_dispatch(&machine.handle(placed, NOW));
        machine.handle(
            Event::Opened {
                attempt: attempt.clone(),
            },
            NOW,
        );
        let actions = machine.handle(Event::Disconnected { attempt }, NOW);
        if engine == "first" {
            assert!(matches!(actions.last(), Some(Action::AskRetry { .. })));
            machine.handle(Event::RetryGranted { not_before: NOW }, NOW);
        } else {
            assert!(matches!(finish_outcome(&actions), Outcome::Unknown(_)));
        }
    }
}

#[test]
fn caller_disconnect_cancels_the_dispatch() {
    let mut machine = machine(RepeatRule::Never, 1);
    machine.handle(Event::Admitted, NOW);
    let placed = Event::Placed(Placement::Whole(target("engine", 1)));
    first_dispatch(&machine.handle(placed, NOW));
    let actions = machine.handle(Event::CallerGone, NOW);
    let cancel = Action::Cancel {
        engine: EngineId::new("engine"),
    };
    assert_eq!(actions, vec![cancel, Action::Detach]);
}

#[test]
fn decode_refusals_by_overloaded_engines_keep_the_prefilled_prompt() {
    let mut machine = machine(RepeatRule::Never, 1);
    complete_prefill(&mut machine);
    for number in 2..=4 {
        let placed = Event::Placed(Placement::Whole(target(&format!("decode-{number}"), number)));
        let (attempt, ..) = first_dispatch(&machine.handle(placed, NOW));
        let refused = Event::Refused {
            attempt,
            refusal: refusal(EngineRefusalReason::QueueFull),
        };
        machine.handle(refused, NOW);
        let actions = machine.handle(Event::RetryGranted { not_before: NOW }, NOW);
        assert!(
            matches!(actions[..], [Action::Forward(ForwardAction::ChooseOutput { .. })]),
            "{actions:?}"
        );
    }
}

#[test]
fn runs_of_a_failed_search_stay_used_when_the_course_returns_to_a_kept_run() {
    let whole = |name, port| Event::Placed(Placement::Whole(target(name, port)));
    let mut machine = machine(RepeatRule::Resumable, 2);
    machine.handle(Event::Admitted, NOW);
    let (kept, ..) = first_dispatch(&machine.handle(whole("silent", 1), NOW));
    let first_event = Event::Forwarded {
        attempt: kept.clone(),
        part: OpaquePart::Event { id: 1 },
    };
    machine.handle(first_event, NOW);
    let earlier = machine.clone();
    machine.handle(
        Event::Disconnected {
            attempt: kept.clone(),
        },
        NOW,
    );
    machine.handle(Event::RetryGranted { not_before: NOW }, NOW);
    let (attempt, ..) = first_dispatch(&machine.handle(whole("broken", 2), NOW));
    let actions = machine.handle(Event::Ambiguous { attempt }, NOW);
    assert!(
        matches!(finish_outcome(&actions), Outcome::Unknown(_)),
        "two runs are used up"
    );

    assert_eq!(machine.return_to(earlier), None);
    let second_event = Event::Forwarded {
        attempt: kept.clone(),
        part: OpaquePart::Event { id: 2 },
    };
    let actions = machine.handle(second_event, NOW);
    let delivered = OpaquePart::Event { id: 2 };
    assert_eq!(actions, [Action::Forward(ForwardAction::Deliver(delivered))]);
    let actions = machine.handle(Event::Disconnected { attempt: kept }, NOW);
    assert!(
        matches!(finish_outcome(&actions), Outcome::Unknown(_)),
        "no third run"
    );
}
