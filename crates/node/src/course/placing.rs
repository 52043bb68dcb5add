//! Chooses the engines of a request: at its placer, or in this node's own router where this node places it itself or no
//! placer answers.

use super::accounting::PlacedChoice;
use super::driver::Driver;
use super::routing;
use crate::peers::{self, Duty};
use crate::placing::{self, Asked, PlacedAt};
use crate::regions;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::question::{
    ChosenEngine, DispatchProgress, Placement as Placed, PlacementAnswer, PlacementKind, PlacementQuery,
    RequestKey, RequestSummary,
};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::specification::Placement;
use shelfjunction_core::routing::pool::{PoolEngine, PoolRoute, shared_prefixes};
use shelfjunction_core::spill::question::SpillReason;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Most engines that are named to a placer because they asked this node to back off; a question fits into one datagram.
const MOST_BACKED_OFF_NAMED: usize = 40;

impl Driver<'_> {
    /// Chooses engines anew, without those that failed the request.
    pub(super) fn choose_anew(&mut self, excluded: &[EngineId], now: MonotonicTime) {
        if self.spill.accepted_by.is_some() {
            let (placement, at) = self.ask_anew(excluded, now);
            if placement.is_some() {
                return self.placed(placement);
            }
            self.return_home(at);
        }
        let (mut placement, nowhere_at) = self.ask_anew(excluded, now);
        if nowhere_at.is_some() {
            placement = self.spill(SpillReason::NoEngine, nowhere_at);
        }
        if placement.is_some() {
            return self.placed(placement);
        }
        self.choose_alone(excluded, now);
    }

    /// Asks the request's placer for other engines; the second value is the placer that has none.
    fn ask_anew(
        &mut self,
        excluded: &[EngineId],
        now: MonotonicTime,
    ) -> (Option<Placement>, Option<PlacedAt>) {
        let excluded_here = self.excluded_here(excluded, now);
        let answered = self.ask(|| PlacementKind::Retry {
            excluded: excluded_here,
        });
        let Some((answer, at)) = answered else {
            return (None, None);
        };
        let nowhere_at = (answer.placement == Placed::Nowhere).then_some(at);
        (self.adopt(&answer, at), nowhere_at)
    }

    /// Chooses engines in this node's own router: of the home region, or of any region where that has none that can take the
    /// request.
    pub(super) fn choose_alone(&mut self, excluded: &[EngineId], now: MonotonicTime) {
        loop {
            let route = lock(&self.context.router).choose_or_grow(&self.query(excluded, now), now);
            let objection = self.objection_to(&route, excluded, now);
            let elsewhere = objection.and_then(|reason| self.spill(reason, None));
            if elsewhere.is_some() {
                return self.placed(elsewhere);
            }
            // A request that no other region accepts is refused; this node does not know the load there. Where it knows no placer to
            // ask, as just after a start, it chooses there by itself.
            if route != PoolRoute::Nowhere || self.spill.knew_regions || !self.leave_home_region() {
                return self.placed(routing::placement(route));
            }
        }
    }

    /// Lets this node choose engines of all regions for the request; false where it already may.
    fn leave_home_region(&mut self) -> bool {
        let home = self.home_region.take();
        if let Some(region) = &home {
            log::info!(request = self.call.request.as_str(), region = region.as_str(); "home_region_left");
        }
        home.is_some()
    }

    /// Chooses the engine that runs the output of the prompt that `source` has read.
    pub(super) fn choose_output(&mut self, source: &EngineId, excluded: &[EngineId]) {
        // A later start may hold a KV cache of another request under the same handle.
        if !self.context.may_be_reached(source) {
            log::info!(request = self.call.request.as_str(), engine = source.as_str(); "transfer_lost");
            return self.take(Event::TransferLost);
        }
        let reported_load = self.prompt_told.take();
        let excluded_here = self.excluded_here(excluded, self.context.now());
        let wanted = || PlacementKind::Decode {
            source: SubjectHandle::of_engine(source),
            reported_load,
            excluded: excluded_here,
        };
        let placement = self.ask(wanted).and_then(|(answer, at)| self.adopt(&answer, at));
        if placement.is_some() {
            return self.placed(placement);
        }
        let now = self.context.now();
        loop {
            let query = self.query(excluded, now);
            let engine = lock(&self.context.router).choose_decode_or_grow(&query, source, now);
            if engine.is_some() || !self.leave_home_region() {
                return self.placed(engine.map(|engine| Placement::Whole(routing::target(&engine))));
            }
        }
    }

    /// Asks the request's placer; absent where this node chooses by itself.
    pub(super) fn ask(
        &mut self,
        wanted: impl FnOnce() -> PlacementKind,
    ) -> Option<(Box<PlacementAnswer>, PlacedAt)> {
        self.prompt?;
        let question = self.question(wanted())?;
        let placements = &self.context.placements;
        let accepted_by = self.spill.accepted_by.as_ref();
        let asked = placements.ask(self.context, &question, self.subject(), self.placer, accepted_by);
        self.log_asked(&asked);
        match asked {
            Asked::Answered { answer, at, .. } => {
                self.placer = Some(at.placer);
                Some((answer, at))
            }
            Asked::Own | Asked::Nobody { .. } => None,
        }
    }

    /// The next question about the request; absent if it has no prompt.
    pub(super) fn question(&mut self, kind: PlacementKind) -> Option<PlacementQuery> {
        let request = self.summary(self.context.now())?;
        self.step += 1;
        Some(PlacementQuery {
            key: RequestKey {
                node: self.context.peers.own_handle(),
                number: self.draw,
            },
            step: self.step,
            request,
            kind,
        })
    }

    /// What a placer needs to know of the request; absent if it has no prompt.
    pub(super) fn summary(&self, now: MonotonicTime) -> Option<RequestSummary> {
        Some(RequestSummary {
            pool: self.pool.clone(),
            prompt: self.prompt?.clone(),
            zone: self.context.config.zone.clone(),
            constraints: self.constraints(),
            rank: self.rank() as u8,
            remaining: routing::left(self.deadline, now),
            origin: self.origin.clone(),
        })
    }

    /// What names the request's placer: its last shared part, so that everything about that part passes one node.
    pub(super) fn subject(&self) -> u64 {
        let shared = shared_prefixes(&self.prefixes);
        let block = shared.last().or(self.prefixes.last());
        block.map_or(self.draw, |block| block.hash)
    }

    /// Takes the engines that a placer chose; absent where there is none, or one that this node knows to be gone.
    pub(super) fn adopt(&mut self, answer: &PlacementAnswer, at: PlacedAt) -> Option<Placement> {
        match &answer.placement {
            Placed::Nowhere => None,
            Placed::One(chosen) => {
                let engine = self.accepting(chosen.engine, &at)?;
                self.note_choice(&engine, *chosen, Duration::ZERO, at);
                Some(Placement::Whole(routing::target(&engine)))
            }
            Placed::Split {
                prefill,
                decode,
                expected,
            } => {
                let reads = self.accepting(prefill.engine, &at)?;
                let runs = self.resolved(*decode, &at)?;
                self.note_choice(&reads, *prefill, *expected, at);
                Some(Placement::Split {
                    prefill: routing::target(&reads),
                    decode: routing::target(&runs),
                })
            }
        }
    }

    fn note_choice(&mut self, engine: &PoolEngine, chosen: ChosenEngine, expected: Duration, at: PlacedAt) {
        self.choice = Some(PlacedChoice {
            engine: engine.id.clone(),
            chosen,
            expected,
            at,
        });
    }

    /// Engines that a placer leaves out for this request: those that failed it, and those that asked this node to back off.
    fn excluded_here(&self, failed: &[EngineId], now: MonotonicTime) -> Vec<SubjectHandle> {
        let mut excluded: Vec<SubjectHandle> = failed.iter().map(SubjectHandle::of_engine).collect();
        excluded.extend(lock(&self.context.router).backed_off(MOST_BACKED_OFF_NAMED, now));
        excluded
    }

    /// The engine that a placer named, unless this node must not send there.
    fn accepting(&self, engine: SubjectHandle, at: &PlacedAt) -> Option<PoolEngine> {
        let engine = self.resolved(engine, at)?;
        let cause = lock(&self.context.router).not_accepting(&engine.id, self.context.now());
        let Some(cause) = cause else {
            return Some(engine);
        };
        log::info!(
            request = self.call.request.as_str(),
            engine = engine.id.as_str(),
            placer:% = at.address,
            cause = cause.name();
            "placed_engine_not_accepting"
        );
        placing::tell(self.context, at, DispatchProgress::Abandoned);
        None
    }

    /// The engine that a placer named, unless this node knows that it is leaving or does not know it.
    fn resolved(&self, engine: SubjectHandle, at: &PlacedAt) -> Option<PoolEngine> {
        let mut known = self.listed(engine);
        let is_known = lock(&self.context.router).engine_by_handle(engine).is_some();
        // A node off duty knows the engines that were in use when it last asked. One that it knows to leave it need not ask for.
        if known.is_none() && !is_known && self.context.peers.duty(self.context.now()) == Duty::Off {
            peers::take_engines_in_use(self.context, at.address);
            known = self.listed(engine);
        }
        if known.is_none() {
            log::info!(request = self.call.request.as_str(), placer:% = at.address; "placed_engine_not_known");
            placing::tell(self.context, at, DispatchProgress::Abandoned);
        }
        known.filter(|engine| self.checks_origin(engine, at))
    }

    /// Whether a placer's engine may continue the stream; an earlier build of a placer chooses without regard to it.
    fn checks_origin(&self, engine: &PoolEngine, at: &PlacedAt) -> bool {
        let may_continue = self.may_continue_at(engine);
        if !may_continue {
            log::info!(
                request = self.call.request.as_str(),
                engine = engine.id.as_str(),
                placer:% = at.address;
                "placed_engine_of_other_version"
            );
            placing::tell(self.context, at, DispatchProgress::Abandoned);
        }
        may_continue
    }

    fn listed(&self, engine: SubjectHandle) -> Option<PoolEngine> {
        let mut router = lock(&self.context.router);
        let engine = router.bring_into_use(engine)?;
        let state = router.engine(&engine).filter(|state| state.is_active());
        state.map(|state| state.engine.clone())
    }

    fn log_asked(&self, asked: &Asked) {
        match asked {
            Asked::Own => self.context.metrics.placement("own"),
            Asked::Answered { at, round_trip, .. } => {
                self.context.metrics.placement("answered");
                self.context.metrics.placement_took(*round_trip);
                let region = self.context.peers.region_of(at.placer);
                log::info!(
                    request = self.call.request.as_str(),
                    placer:% = at.address,
                    region = regions::name(region.as_ref()),
                    number = at.key.number,
                    step = at.step,
                    round_trip_micros = round_trip.as_micros() as u64;
                    "placed"
                );
            }
            Asked::Nobody { asked } => {
                self.context.metrics.placement("alone");
                log::info!(request = self.call.request.as_str(), number = self.draw, asked; "placed_alone");
            }
        }
    }
}
