//! The loop that drives one opaque request's machine in its caller's thread.

use super::access::Access;
use super::accounting::PlacedChoice;
use super::admitting::Promise;
use super::delivering::Undelivered;
use super::exchange::Exchange;
use super::kept_run::KeptRun;
use super::pauses::StreamPauses;
use super::routing;
use super::spilling::{self, SpillCourse};
use super::stream_end::BrokenDispatch;
use crate::context::Context;
use crate::ports::{AnswerHead, Call, CallerConnection};
use crate::quarantine::Trial;
use crate::regions;
use crate::tenant_rates::ChargedRequest;
use shelfjunction_core::forwarding::{PoolId, RouteRule};
use shelfjunction_core::identity::{EngineId, RegionId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::outcome::{Outcome, Refusal, RefusalReason};
use shelfjunction_core::quarantine::RequestSubjects;
use shelfjunction_core::request::event::{Action, Event, ForwardAction};
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::Placement;
use shelfjunction_core::retry::arrivals::ArrivalAccount;
use shelfjunction_core::routing::pool::{PoolQuery, PrefixBlock, PromptShape, ReportedLoad};
use shelfjunction_core::streams::StreamOrigin;
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// When to come back after no engine could be chosen.
const NOWHERE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How a course ended.
pub(super) enum End {
    /// With an outcome.
    Finished(Outcome),
    /// The caller went away.
    CallerGone,
}

/// An answer that an engine gave whole.
pub(super) struct WholeAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Vec<u8>,
}

/// A call whose route, caller and pool are known.
pub(super) struct RoutedCall<'a> {
    pub(super) call: &'a Call,
    /// What it may share with others that come: all of what it asks for, or parts of its prompt.
    pub(super) subjects: RequestSubjects,
    pub(super) route: &'a RouteRule,
    pub(super) access: Access,
    pub(super) pool: PoolId,
    pub(super) deadline: MonotonicTime,
    /// Where the stream began that the caller takes up; absent if it has no event yet.
    pub(super) origin: Option<StreamOrigin>,
    /// Present where engines crashed under the request, so that it runs alone.
    pub(super) trial: Option<Trial<'a>>,
    /// Present where its tenant has a rate.
    pub(super) charged: Option<ChargedRequest<'a>>,
}

/// One request under way.
pub(super) struct Driver<'a> {
    pub(super) context: &'a Context,
    pub(super) caller: &'a mut dyn CallerConnection,
    pub(super) call: &'a Call,
    /// What it may share with others that come: all of what it asks for, or parts of its prompt.
    pub(super) subjects: RequestSubjects,
    pub(super) route: &'a RouteRule,
    pub(super) access: Access,
    pub(super) pool: PoolId,
    pub(super) keep: bool,
    /// Whether the request's time ends because the process stops.
    pub(super) ends_with_process: bool,
    pub(super) machine: RequestMachine,
    pub(super) deadline: MonotonicTime,
    pub(super) arrived: MonotonicTime,
    /// Bytes of the event that the machine judges now.
    pub(super) event_bytes: Vec<u8>,
    /// The last whole answer, success or failure.
    pub(super) whole: Option<WholeAnswer>,
    /// Whether the head of a series of events has gone to the caller.
    pub(super) events_open: bool,
    pub(super) caller_gone: bool,
    /// What the caller has not taken yet.
    pub(super) undelivered: Undelivered<'a>,
    pub(super) events_delivered: u32,
    /// Engine that produced the first event that the caller has.
    pub(super) origin: Option<StreamOrigin>,
    /// Since when no engine that may continue the stream takes it.
    pub(super) without_engine_since: Option<MonotonicTime>,
    /// The last dispatch that broke.
    pub(super) last_broken: Option<BrokenDispatch>,
    /// Why no engine has continued the request since then; the last cause of several.
    pub(super) not_continued: Option<&'static str>,
    /// The last choice of engines that the machine asked for.
    last_choice: Option<Action>,
    pub(super) first_event_at: Option<MonotonicTime>,
    pub(super) last_event_at: Option<MonotonicTime>,
    pub(super) pauses: StreamPauses,
    pub(super) prompt: Option<&'a PromptShape>,
    pub(super) prefixes: Vec<PrefixBlock>,
    pub(super) pending: VecDeque<Action>,
    pub(super) exchange: Option<Exchange>,
    /// Run of a silent engine, while another engine is looked for.
    pub(super) kept_run: Option<KeptRun>,
    /// Arrivals at engines so far, and the repeats that were granted for them.
    pub(super) arrivals: ArrivalAccount,
    /// Dispatches that stopping relays have declined.
    pub(super) declined_by_relays: u32,
    /// The last dispatch never left, so trying again costs no engine anything.
    pub(super) last_not_sent: bool,
    /// Load that the engine told which has just read the prompt.
    pub(super) prompt_told: Option<ReportedLoad>,
    /// Whether an engine has read the prompt.
    pub(super) prompt_is_read: bool,
    /// Factor by which the tenant had more than its share; one where it had not.
    pub(super) overuse_factor: f64,
    /// A connection went silent, so the next dispatch takes a new one.
    pub(super) distrusts_resting: bool,
    pub(super) watch_caller: bool,
    /// Whether engines were chosen before.
    admitted: bool,
    /// Whether the caller has come back after a refusal.
    pub(super) returned: bool,
    /// Whether the request goes behind everything that can be in time.
    pub(super) late: bool,
    /// What was expected, until the first event came.
    pub(super) promise: Option<Promise>,
    /// Drawn once, so that every choice for the request sees the same costs; names the request at placers too.
    pub(super) draw: u64,
    /// Number of the last question to a placer.
    pub(super) step: u32,
    /// Region whose engines this node chooses for the request by itself, which is the one that accepted it or its home; absent where
    /// it may choose those of all regions.
    pub(super) home_region: Option<RegionId>,
    /// What other regions said of the request.
    pub(super) spill: SpillCourse,
    /// The placer that answered last.
    pub(super) placer: Option<SubjectHandle>,
    /// An engine that a placer has chosen and counted, until the request is sent there.
    pub(super) choice: Option<PlacedChoice>,
    /// Present where engines crashed under the request, so that it runs alone; others may when it is dropped.
    pub(super) trial: Option<Trial<'a>>,
    /// Present where its tenant has a rate; given back when it is dropped if no engine was reached.
    pub(super) charged: Option<ChargedRequest<'a>>,
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        context: &'a Context,
        caller: &'a mut dyn CallerConnection,
        routed: RoutedCall<'a>,
        keep: bool,
    ) -> Self {
        let RoutedCall {
            call,
            subjects,
            route,
            access,
            pool,
            deadline,
            origin,
            trial,
            charged,
        } = routed;
        let specification = routing::specification(call, route, &access, &pool, deadline);
        let machine = RequestMachine::new(specification, routing::limits(route))
            .after_event(super::caller_position(route, call));
        let prompt = call
            .prompt
            .as_ref()
            .filter(|_| super::runs_model(context, &pool, call));
        let home_region = spilling::home_region(context, prompt.is_some());
        let spill = SpillCourse::new(context.config.spill.enabled && home_region.is_some());
        Self {
            context,
            caller,
            call,
            subjects,
            route,
            access,
            pool,
            keep,
            ends_with_process: false,
            machine,
            deadline,
            arrived: context.now(),
            event_bytes: Vec::new(),
            whole: None,
            events_open: false,
            caller_gone: false,
            undelivered: Undelivered::new(context),
            events_delivered: 0,
            origin,
            without_engine_since: None,
            last_broken: None,
            not_continued: None,
            last_choice: None,
            first_event_at: None,
            last_event_at: None,
            pauses: StreamPauses::default(),
            prefixes: prompt.map(PromptShape::prefixes).unwrap_or_default(),
            prompt,
            pending: VecDeque::new(),
            exchange: None,
            kept_run: None,
            arrivals: ArrivalAccount::default(),
            declined_by_relays: 0,
            last_not_sent: false,
            prompt_told: None,
            prompt_is_read: false,
            overuse_factor: 1.0,
            distrusts_resting: false,
            watch_caller: true,
            admitted: false,
            returned: context.has_returned(call, route),
            late: false,
            promise: None,
            draw: rand::random(),
            step: 0,
            home_region,
            spill,
            placer: None,
            choice: None,
            trial,
            charged,
        }
    }

    /// Drives the request to its end; true where the caller's connection may carry another.
    pub(super) fn run(mut self) -> bool {
        self.heed_stop();
        self.take(Event::Admitted);
        loop {
            while let Some(action) = self.pending.pop_front() {
                match action {
                    Action::Finish(outcome) if self.continue_kept_run(&outcome) => {}
                    Action::Finish(outcome) => return self.end(End::Finished(outcome)),
                    Action::Detach => return self.end(End::CallerGone),
                    action => self.carry_out(action),
                }
            }
            let event = self.wait();
            if let Some(event) = event {
                self.take(event);
            }
        }
    }

    pub(super) fn take(&mut self, event: Event) {
        let actions = self.machine.handle(event, self.context.now());
        self.pending.extend(actions);
    }

    fn carry_out(&mut self, action: Action) {
        if matches!(
            action,
            Action::Choose { .. } | Action::Forward(ForwardAction::ChooseOutput { .. })
        ) {
            self.last_choice = Some(action.clone());
        }
        match action {
            Action::Choose { excluded, .. } => self.choose(&excluded),
            Action::Forward(ForwardAction::ChooseOutput { source, excluded }) => {
                self.choose_output(&source, &excluded);
            }
            Action::Forward(ForwardAction::Deliver(part)) => self.deliver(part),
            Action::Forward(ForwardAction::FreeTransfer { source, transfer }) => {
                self.context.releases.add(source, transfer);
            }
            Action::Dispatch { target, call, .. } => self.dispatch(&target, &call),
            Action::AskRetry { tried } => self.ask_retry(tried),
            Action::Cancel { engine } => self.cancel(&engine),
            Action::AskRunState { engine, .. } => self.take(Event::RunStateUnavailable { engine }),
            Action::Resume { attempt, .. } => self.take(Event::Disconnected { attempt }),
            other => {
                log::error!(request = self.call.request.as_str(), action:? = other; "action_not_for_opaque_requests")
            }
        }
    }

    fn choose(&mut self, excluded: &[EngineId]) {
        let now = self.context.now();
        self.spill.begin_decision();
        if !std::mem::replace(&mut self.admitted, true) {
            return self.admit(now);
        }
        self.choose_anew(excluded, now);
    }

    pub(super) fn placed(&mut self, placement: Option<Placement>) {
        if placement.is_some() {
            self.without_engine_since = None;
        } else if self.waits_for_continuation(self.context.now()) {
            self.wait_to_choose_again();
            let next = if self.caller_gone {
                Some(Action::Detach)
            } else {
                self.choice_without_exclusions()
            };
            return self.pending.extend(next);
        }
        if let Some(placement) = &placement {
            regions::count_placement(self.context, placement);
        }
        let event = match placement {
            Some(placement) => {
                self.count_region();
                Event::Placed(placement)
            }
            None => {
                self.not_continued = Some("no_engine");
                let until_spill = self.time_until_spill().unwrap_or_default();
                let retry_after = self.return_when_accepted();
                Event::Nowhere(Refusal {
                    reason: RefusalReason::EnginesRefused,
                    retry_after: Some(retry_after.unwrap_or(NOWHERE_RETRY_AFTER.max(until_spill))),
                })
            }
        };
        self.take(event);
    }

    /// The last choice again, among all engines: those that refused the request may take it by now.
    fn choice_without_exclusions(&self) -> Option<Action> {
        let mut choice = self.last_choice.clone()?;
        if let Action::Choose { excluded, .. }
        | Action::Forward(ForwardAction::ChooseOutput { excluded, .. }) = &mut choice
        {
            excluded.clear();
        }
        Some(choice)
    }

    pub(super) fn query<'q>(&'q self, excluded: &'q [EngineId], now: MonotonicTime) -> PoolQuery<'q> {
        PoolQuery {
            from_this_node: true,
            pool: &self.pool,
            prompt: self.prompt,
            prefixes: &self.prefixes,
            zone: &self.context.config.zone,
            region: self.home_region.as_ref(),
            excluded,
            last_resort: false,
            constraints: self.constraints(),
            draw: self.draw,
            rank: self.rank(),
            remaining: routing::left(self.deadline, now),
            slot_max_wait: self.slot_max_wait(now),
            origin: self.origin.as_ref(),
        }
    }

    fn ask_retry(&mut self, tried: u32) {
        if self.is_withheld_from_repeats() {
            self.not_continued = Some("withheld");
            return self.take(Event::RetryDenied);
        }
        let free = std::mem::take(&mut self.last_not_sent);
        let granted = if free {
            log::info!(request = self.call.request.as_str(), tried, granted = true, free; "retry_asked");
            true
        } else {
            self.take_repeat(tried)
        };
        let event = if granted {
            Event::RetryGranted {
                not_before: self.context.now(),
            }
        } else {
            Event::RetryDenied
        };
        self.take(event);
    }

    /// Asks the budget for an arrival beyond those that are free; true where it is granted.
    pub(super) fn take_repeat(&mut self, tried: u32) -> bool {
        let decision = self.context.take_repeat(&self.pool);
        log::info!(
            request = self.call.request.as_str(),
            tried,
            granted = decision.granted,
            free = false,
            pool:% = self.pool,
            repeats_left = decision.account.left,
            requests = decision.account.requests,
            repeats = decision.account.repeats,
            usable_part = decision.share.usable_part(),
            nodes = decision.share.sharers.map_or(0, |sharers| sharers.nodes),
            nodes_present = decision.share.sharers.map_or(0, |sharers| sharers.present),
            forgotten_hundredths = decision.share.sharers.map_or(0, |sharers| sharers.forgotten_hundredths),
            settled_millis = decision.share.settled_for.as_millis() as u64;
            "retry_asked"
        );
        if decision.granted {
            self.arrivals.note_grant();
        } else {
            self.not_continued = Some("repeat_denied");
        }
        decision.granted
    }

    fn cancel(&mut self, engine: &EngineId) {
        if let Some(exchange) = self.exchange.take_if(|exchange| exchange.engine == *engine) {
            log::info!(request = self.call.request.as_str(), engine = engine.as_str(); "dispatch_cancelled");
            self.context
                .metrics
                .dispatch_ended(exchange.purpose.name(), "cancelled");
            self.count_abandoned(&exchange.account);
        }
    }
}
