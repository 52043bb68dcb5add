//! Asks a placer and waits for its answer.

use crate::context::Context;
use crate::peers::{Datagram, LivenessAnswer, LivenessQuestion, Placing};
use shelfjunction_core::identity::RegionId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::question::{
    DispatchProgress, PlacementAnswer, PlacementQuery, ProgressReport, RequestKey,
};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::stream_messages::StreamDatagram;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Placers that are asked before a node chooses by itself.
const PLACERS_ASKED: usize = 2;

/// Time for which a placer that gave no answer is passed over; by its end one that is dead no longer counts as alive.
const PASSED_OVER_FOR: Duration = Duration::from_secs(2);

/// Where a question was answered, so that the placer is told how it went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlacedAt {
    /// The placer.
    pub(crate) placer: SubjectHandle,
    /// Where it hears others.
    pub(crate) address: SocketAddr,
    /// The request.
    pub(crate) key: RequestKey,
    /// The question.
    pub(crate) step: u32,
    /// Time to wait for its answers.
    pub(crate) wait: Duration,
}

/// How asking ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Asked {
    /// This node itself is the placer, or each node is its own.
    Own,
    /// A placer answered.
    Answered {
        /// Its answer.
        answer: Box<PlacementAnswer>,
        /// Which one.
        at: PlacedAt,
        /// Time that it took.
        round_trip: Duration,
    },
    /// None of the placers that were asked answered in time.
    Nobody {
        /// How many were asked.
        asked: usize,
    },
}

/// Questions under way.
#[derive(Debug, Default)]
pub(crate) struct Placements {
    waiting: Mutex<Waiting>,
    answered: Condvar,
    passed_over: Mutex<BTreeMap<SubjectHandle, MonotonicTime>>,
}

#[derive(Debug, Default)]
struct Waiting {
    answers: BTreeMap<(RequestKey, u32), Option<PlacementAnswer>>,
    liveness: BTreeMap<u64, Option<bool>>,
}

impl Placements {
    /// Takes a placer's answer; one that nobody waits for any more is dropped.
    pub(crate) fn on_answer(&self, answer: PlacementAnswer) {
        let mut waiting = lock(&self.waiting);
        if let Some(slot) = waiting.answers.get_mut(&(answer.key, answer.step)) {
            *slot = Some(answer);
            self.answered.notify_all();
        }
    }

    /// Takes a placer's word of an engine.
    pub(crate) fn on_liveness(&self, answer: LivenessAnswer) {
        let mut waiting = lock(&self.waiting);
        if let Some(slot) = waiting.liveness.get_mut(&answer.number) {
            *slot = Some(answer.answers);
            self.answered.notify_all();
        }
    }

    /// Asks the placers of `subject`, one after the other, `first` before the others: those of a region that accepted the request,
    /// or of the home region.
    pub(crate) fn ask(
        &self,
        context: &Context,
        question: &PlacementQuery,
        subject: u64,
        first: Option<SubjectHandle>,
        accepted_by: Option<&RegionId>,
    ) -> Asked {
        let now = context.now();
        let Placing::Placers(placers) = context.peers.placing(now) else {
            return Asked::Own;
        };
        let silent = |placer: SubjectHandle| self.is_passed_over(placer, now);
        let placers = match accepted_by {
            Some(region) => placers.distant().get(region),
            None => Some(placers.home()),
        };
        let Some(placers) = placers else {
            return Asked::Nobody { asked: 0 };
        };
        let wait = accepted_by.map_or_else(
            || context.config.placing.answer_wait(),
            |region| context.region_answer_wait(region),
        );
        let mut placers = placers.placers_for(subject, silent, PLACERS_ASKED);
        if let Some(first) = first.filter(|first| !silent(*first)) {
            placers.retain(|placer| *placer != first);
            placers.insert(0, first);
            placers.truncate(PLACERS_ASKED);
        }
        let own = context.peers.own_handle();
        let mut asked = 0;
        for placer in placers {
            if placer == own {
                return Asked::Own;
            }
            let Some(address) = context.peers.address_of(placer) else {
                continue;
            };
            asked += 1;
            let at = PlacedAt {
                placer,
                address,
                key: question.key,
                step: question.step,
                wait,
            };
            let sent_at = context.now();
            if let Some(answer) = self.ask_one(context, question, &at) {
                let round_trip = context.now().since(sent_at);
                context.note_round_trip(placer, round_trip);
                return Asked::Answered {
                    answer: Box::new(answer),
                    at,
                    round_trip,
                };
            }
            context.metrics.placement("timed_out");
            log::info!(placer:% = address, number = question.key.number; "placer_silent");
            self.pass_over(placer, context.now());
            if let Some(region) = accepted_by {
                context.note_silence(region);
            }
            tell(context, &at, DispatchProgress::Abandoned);
        }
        Asked::Nobody { asked }
    }

    fn ask_one(
        &self,
        context: &Context,
        question: &PlacementQuery,
        at: &PlacedAt,
    ) -> Option<PlacementAnswer> {
        let bytes = match question.request.origin.clone() {
            Some(origin) => StreamDatagram::Placement(origin, Box::new(question.clone())).encode()?,
            None => Datagram::Question(Box::new(question.clone())).encode()?,
        };
        let key = (question.key, question.step);
        lock(&self.waiting).answers.insert(key, None);
        context.peers.send(&bytes, at.address);
        self.wait(at.wait, |waiting| {
            waiting.answers.get(&key).is_none_or(|answer| answer.is_some())
        });
        lock(&self.waiting).answers.remove(&key).flatten()
    }

    /// Asks a placer whether an engine has answered anybody a moment ago; absent where it does not say.
    pub(crate) fn ask_liveness(
        &self,
        context: &Context,
        engine: SubjectHandle,
        at: &PlacedAt,
    ) -> Option<bool> {
        let question = LivenessQuestion {
            number: rand::random(),
            engine,
        };
        let bytes = Datagram::LivenessQuestion(question).encode()?;
        lock(&self.waiting).liveness.insert(question.number, None);
        let sent_at = context.now();
        context.peers.send(&bytes, at.address);
        self.wait(at.wait, |waiting| {
            let answer = waiting.liveness.get(&question.number);
            answer.is_none_or(|answer| answer.is_some())
        });
        let answer = lock(&self.waiting).liveness.remove(&question.number).flatten();
        context.note_question(at.placer, answer.is_some(), context.now().since(sent_at));
        answer
    }

    fn wait(&self, longest: Duration, is_answered: impl Fn(&Waiting) -> bool) {
        let waiting = lock(&self.waiting);
        let waited = self
            .answered
            .wait_timeout_while(waiting, longest, |waiting| !is_answered(waiting));
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Whether a node gave no answer a moment ago.
    pub(crate) fn is_passed_over(&self, placer: SubjectHandle, now: MonotonicTime) -> bool {
        lock(&self.passed_over)
            .get(&placer)
            .is_some_and(|until| *until > now)
    }

    /// Notes that a node gave no answer.
    pub(crate) fn pass_over(&self, placer: SubjectHandle, now: MonotonicTime) {
        let mut passed_over = lock(&self.passed_over);
        passed_over.retain(|_, until| *until > now);
        passed_over.insert(placer, now + PASSED_OVER_FOR);
    }
}

/// Tells a placer what became of its answer.
pub(crate) fn tell(context: &Context, at: &PlacedAt, progress: DispatchProgress) {
    let report = ProgressReport {
        key: at.key,
        step: at.step,
        progress,
    };
    if let Some(bytes) = Datagram::Progress(report).encode() {
        context.peers.send(&bytes, at.address);
    }
}
