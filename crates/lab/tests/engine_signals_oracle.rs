//! The fault soak's judgement of announced drains and backoffs: each promise is shown to be found broken, and what excuses it.

#![allow(clippy::disallowed_methods)]

use shelfjunction_lab::fault_soak::crashes::CrashingArrival;
use shelfjunction_lab::fault_soak::disturbances::{Disturbances, Struck};
use shelfjunction_lab::fault_soak::engine_signals::{Excuses, judge_backoffs, judge_drains, judge_refusals};
use shelfjunction_lab::fault_soak::oracle::{EngineRecords, Violation};
use shelfjunction_lab::fault_soak::record::{CallKind, SeenAnswer, SeenCall};
use shelfjunction_lab::users_platform::{ArrivalRecord, BackoffRecord, CrashCause, DrainRecord};
use std::time::{Duration, Instant};

const NODE: usize = 1;

const PLACE: usize = 4;

const ENGINE: &str = "engine-4-1@1";

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A call that took a second.
fn call(request: &str, sent_at: u64, status: u16) -> SeenCall {
    SeenCall {
        request: request.to_owned(),
        kind: CallKind::Application,
        node: NODE,
        sent_at: seconds(sent_at),
        took: seconds(1),
        answer: Some(SeenAnswer {
            status,
            request: Some(request.to_owned()),
            signature: Some("signed-by-engine-4-1".to_owned()),
            body: String::new(),
            whole: true,
        }),
    }
}

struct Scene {
    begun: Instant,
    records: EngineRecords,
    calls: Vec<SeenCall>,
    restarts: Disturbances,
    on_other_build: Disturbances,
    engine_links: Disturbances,
}

impl Scene {
    fn new() -> Self {
        Self {
            begun: Instant::now(),
            records: EngineRecords::default(),
            calls: Vec::new(),
            restarts: Disturbances::default(),
            on_other_build: Disturbances::default(),
            engine_links: Disturbances::default(),
        }
    }

    /// A request that reaches the engine half a second after it was sent.
    fn arrives(mut self, request: &str, sent_at: u64, refused: bool) -> Self {
        self.records.arrivals.push((
            "pool",
            ArrivalRecord {
                request: request.to_owned(),
                reads_prompt: false,
                refused,
                crashing: None,
                engine: ENGINE.to_owned(),
                at: self.begun + seconds(sent_at) + Duration::from_millis(500),
            },
        ));
        let status = if refused { 503 } else { 200 };
        self.calls.push(call(request, sent_at, status));
        self
    }

    fn drains(mut self, from: u64) -> Self {
        self.records.drains.push(DrainRecord {
            engine: ENGINE.to_owned(),
            from: self.begun + seconds(from),
        });
        self
    }

    fn backs_off(mut self, request: &str, at: u64, backoff: u64) -> Self {
        self.records.backoffs.push(BackoffRecord {
            engine: ENGINE.to_owned(),
            request: request.to_owned(),
            at: self.begun + seconds(at),
            backoff: seconds(backoff),
        });
        self
    }

    fn restarted(self, from: u64, until: u64) -> Self {
        let place = self.restarts.begin(Struck::Node(NODE), seconds(from));
        self.restarts.end(place, seconds(until));
        self
    }

    fn excuses(&self) -> Excuses<'_> {
        Excuses {
            restarts: &self.restarts,
            on_other_build: &self.on_other_build,
            engine_links: &self.engine_links,
        }
    }

    fn of_drains(&self) -> Vec<Violation> {
        judge_drains(&self.records, &self.calls, &self.excuses(), self.begun)
    }

    fn of_backoffs(&self) -> Vec<Violation> {
        judge_backoffs(&self.records, &self.calls, &self.excuses(), self.begun)
    }
}

#[test]
fn a_request_to_an_engine_whose_announced_drain_its_node_has_passed_on_is_found() {
    let scene = || {
        Scene::new()
            .drains(10)
            .arrives("before", 5, false)
            .arrives("first", 11, false)
    };
    assert_eq!(scene().of_drains(), [], "the first answer tells the node");
    assert_eq!(scene().arrives("sent-meanwhile", 11, false).of_drains(), []);
    let mut by_another = Scene::new().drains(10).arrives("by-another", 11, false);
    let answer = by_another.calls[0].answer.as_mut();
    answer.expect("it is answered").signature = Some("signed-by-engine-5-1".to_owned());
    assert_eq!(by_another.arrives("next", 13, false).of_drains(), []);
    let later = scene().arrives("later", 13, false);
    assert_eq!(
        later.of_drains(),
        [Violation::SentToDrainingEngine {
            request: "later".to_owned(),
            engine: ENGINE.to_owned(),
            after_millis: 1_500,
        }]
    );
    assert_eq!(later.restarted(12, 13).of_drains(), [], "a restart excuses it");
}

#[test]
fn a_request_within_a_backoff_of_its_node_is_found() {
    let scene = || {
        Scene::new()
            .backs_off("refused", 11, 5)
            .arrives("refused", 10, true)
    };
    assert_eq!(scene().of_backoffs(), []);
    assert_eq!(scene().arrives("after-its-end", 16, false).of_backoffs(), []);
    let early = scene().arrives("early", 12, true);
    assert_eq!(
        early.of_backoffs(),
        [Violation::SentWithinBackoff {
            request: "early".to_owned(),
            engine: ENGINE.to_owned(),
            left_millis: 3_500,
        }]
    );
    let place = early.engine_links.begin(Struck::Node(PLACE), seconds(11));
    early.engine_links.end(place, seconds(12));
    assert_eq!(early.of_backoffs(), [], "the refusal may not have come through");
    let restarted = scene().arrives("early", 12, true).restarted(12, 13);
    assert_eq!(restarted.of_backoffs(), [], "a restart excuses it");
}

#[test]
fn a_refusal_is_found_where_at_most_one_engine_backs_off() {
    let refused = || {
        Scene::new()
            .backs_off("refused", 11, 5)
            .arrives("refused", 10, true)
    };
    let judge_after = |scene: &Scene, crashed: &[CrashingArrival], is_quiet: bool| {
        judge_refusals(&scene.records, &scene.calls, crashed, |_| is_quiet, scene.begun)
    };
    let judge = |scene: &Scene, is_quiet: bool| judge_after(scene, &[], is_quiet);
    let expected = Violation::RefusedWithEnginesFree("refused".to_owned());
    assert_eq!(judge(&refused(), true), [expected]);
    assert_eq!(judge(&refused(), false), [], "something else was wrong");
    let mut both = refused().backs_off("other", 9, 5);
    both.records.backoffs[1].engine = "another".to_owned();
    assert_eq!(judge(&both, true), []);
    let crash = CrashingArrival {
        cause: CrashCause::Request("crashing".to_owned()),
        request: "crasher".to_owned(),
        engine: "another".to_owned(),
        crashed: true,
        at: seconds(9),
    };
    assert_eq!(
        judge_after(&refused(), &[crash], true),
        [],
        "another is not back yet"
    );
}
