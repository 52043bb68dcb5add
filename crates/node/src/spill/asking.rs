//! Asks placers of other regions whether they accept a request.

use crate::context::Context;
use crate::peers::Placing;
use crate::placing::{self, PlacedAt};
use crate::questions::Questions;
use shelfjunction_core::identity::RegionId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::question::{DispatchProgress, PlacementAnswer, PlacementQuery};
use shelfjunction_core::spill::accepting::SpillGate;
use shelfjunction_core::spill::asking::{RegionView, SpillBackoffs, SpillOutcome};
use shelfjunction_core::spill::question::{Decline, RequestKind, SpillAnswer, SpillQuestion, SpillReason};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::spill_messages::{SpillDatagram, SpillQuery};
use shelfjunction_protocol::stream_messages::StreamDatagram;
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// State of spillover at one node.
#[derive(Default)]
pub(crate) struct Spillover {
    backoffs: Mutex<SpillBackoffs>,
    questions: Questions<SpillAnswer>,
    /// Requests of other regions at this placer; locked after the router.
    pub(super) gate: Mutex<SpillGate>,
    pub(super) probes: super::probing::Probes,
}

/// How a region answered.
pub(crate) enum AskedRegion {
    /// It accepted the request.
    Accepted {
        answer: Box<PlacementAnswer>,
        at: PlacedAt,
    },
    /// It declined.
    Declined(Decline),
    /// No answer came in time, or no placer of it is known.
    Silent,
}

impl AskedRegion {
    fn outcome(&self) -> SpillOutcome {
        match self {
            Self::Accepted { .. } => SpillOutcome::Accepted,
            Self::Declined(decline) => SpillOutcome::Declined(*decline),
            Self::Silent => SpillOutcome::Silent,
        }
    }

    /// Result and reason, for metrics and the log.
    pub(crate) fn names(&self) -> (&'static str, &'static str) {
        match self {
            Self::Accepted { .. } => ("accepted", ""),
            Self::Declined(decline) => ("declined", decline.reason.name()),
            Self::Silent => ("timed_out", ""),
        }
    }
}

impl Spillover {
    /// Takes the answer to a question; one that nobody waits for any more is dropped.
    pub(super) fn on_reply(&self, number: u64, answer: SpillAnswer) {
        self.questions.on_answer(number, answer);
    }

    /// The region to ask next about a request, absent if none is left; and whether any other region is known.
    pub(crate) fn next_region(
        &self,
        context: &Context,
        asked: &[RegionId],
        kind: &RequestKind,
        subject: u64,
        target_left: Duration,
    ) -> (Option<RegionView>, bool) {
        let now = context.now();
        let views = views(context, now);
        let mut backoffs = lock(&self.backoffs);
        let next = backoffs.next_region(&views, asked, kind, subject, target_left, now);
        let next = next.map(|view| RegionView {
            wait: view.wait_for(target_left),
            ..view.clone()
        });
        (next, !views.is_empty())
    }

    /// Time until some region may be asked about a kind of request again; absent if no other region is known.
    pub(crate) fn time_until_asked(&self, context: &Context, kind: &RequestKind) -> Option<Duration> {
        let now = context.now();
        lock(&self.backoffs).time_until_asked(&views(context, now), kind, now)
    }

    /// Asks a placer of a region, and waits for its answer as long as the region's round trip requires.
    pub(crate) fn ask(
        &self,
        context: &Context,
        view: &RegionView,
        query: PlacementQuery,
        reason: SpillReason,
        subject: u64,
    ) -> AskedRegion {
        let kind = RequestKind::of(&query.request);
        context.metrics.spill.question("asked", reason.name());
        let asked_at = context.now();
        let asked = self.ask_placer(context, view, query, reason, subject);
        let (result, decline_reason) = asked.names();
        context.metrics.spill.question(result, decline_reason);
        let (outcome, settings, now) = (asked.outcome(), &context.config.spill, context.now());
        lock(&self.backoffs).on_outcome(&view.region, &kind, outcome, asked_at, settings, now);
        asked
    }

    fn ask_placer(
        &self,
        context: &Context,
        view: &RegionView,
        query: PlacementQuery,
        reason: SpillReason,
        subject: u64,
    ) -> AskedRegion {
        let (key, step) = (query.key, query.step);
        let placed = placer(context, view, subject).and_then(|(placer, address)| {
            let region = context.peers.topology().own_region().cloned()?;
            Some((placer, address, region))
        });
        let Some((placer, address, region)) = placed else {
            return AskedRegion::Silent;
        };
        let number = rand::random();
        let question = SpillQuestion {
            query,
            reason,
            region,
            round_trip: view.round_trip,
        };
        let origin = question.query.request.origin.clone();
        let query = Box::new(SpillQuery { number, question });
        let encoded = match origin {
            Some(origin) => StreamDatagram::Spill(origin, query).encode(),
            None => SpillDatagram::Query(query).encode(),
        };
        let Some(bytes) = encoded else {
            return AskedRegion::Silent;
        };
        let at = PlacedAt {
            placer,
            address,
            key,
            step,
            wait: view.wait,
        };
        let sent_at = context.now();
        match self
            .questions
            .ask_for(context, number, &bytes, address, view.wait)
        {
            Some(answer) => {
                context.note_round_trip(placer, context.now().since(sent_at));
                match answer {
                    SpillAnswer::Accepted(answer) => AskedRegion::Accepted { answer, at },
                    SpillAnswer::Declined(decline) => AskedRegion::Declined(decline),
                }
            }
            None => {
                context.note_silence(&view.region);
                context.placements.pass_over(placer, context.now());
                // The placer may have accepted, and only its answer be lost.
                placing::tell(context, &at, DispatchProgress::Abandoned);
                AskedRegion::Silent
            }
        }
    }
}

/// The other regions with placers.
fn views(context: &Context, now: MonotonicTime) -> Vec<RegionView> {
    let Placing::Placers(placers) = context.peers.placing(now) else {
        return Vec::new();
    };
    let configured = context.config.placing.answer_wait();
    let round_trips = lock(&context.round_trips);
    let regions = placers.distant().keys().map(|region| RegionView {
        region: region.clone(),
        round_trip: round_trips.mean(region),
        wait: round_trips.answer_wait(region, configured),
    });
    regions.collect()
}

/// The placer of a region that is responsible for a subject, among those that are not silent; if all are, among all: on a lossy link each
/// misses some questions.
fn placer(context: &Context, view: &RegionView, subject: u64) -> Option<(SubjectHandle, SocketAddr)> {
    let now = context.now();
    let Placing::Placers(placers) = context.peers.placing(now) else {
        return None;
    };
    let placers = placers.distant().get(&view.region)?;
    let is_silent = |placer| context.placements.is_passed_over(placer, now);
    let mut candidates = placers.placers_for(subject, is_silent, 1);
    candidates.extend(placers.placers_for(subject, |_| false, 1));
    let placer = *candidates.first()?;
    Some((placer, context.peers.address_of(placer)?))
}
