//! Takes a slot at an engine that names a rate limit, from the node that keeps them, and answers as such an owner.

use super::sending;
use crate::context::Context;
use shelfjunction_core::identity::{EngineId, RegionId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::slot_owner::owner_of;
use shelfjunction_core::rate_limit::{LimitNotice, RateLimit, Slot, SlotOutcome, SlotRequest, SlotResponse};
use shelfjunction_core::routing::pool::EngineState;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::rate_messages::RateDatagram;
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which an engine is passed over whose owner gave no answer: others may get its slots meanwhile, or another node
/// takes them over.
const SILENT_KEEPER: Duration = Duration::from_millis(500);

/// Keepers that are asked for one slot: the second where the first names another.
const KEEPERS_ASKED: usize = 2;

/// Takes a slot at an engine; absent where it names no limit.
pub(crate) fn take_slot(
    context: &Context,
    engine: &EngineId,
    max_wait: Duration,
) -> Option<(RateLimit, Slot)> {
    let now = context.now();
    let notice = lock(&context.router).engine(engine)?.limit_notice(now)?;
    let limit = notice.limit?;
    let outcome = ask_keepers(context, notice, limit, max_wait);
    context.metrics.rate_limits.slot(result_of(outcome.as_ref()));
    let taken = match outcome {
        Some(SlotOutcome::Granted { wait_millis }) => Slot::After(millis(wait_millis)),
        Some(SlotOutcome::Denied { wait_millis }) => Slot::NotInTime(millis(wait_millis)),
        Some(SlotOutcome::NotLimited { age_millis }) => {
            let ended = LimitNotice {
                limit: None,
                age_millis,
                ..notice
            };
            sending::receive_notices(context, &[ended], "owner");
            return None;
        }
        Some(SlotOutcome::NotOwner { .. }) | None => Slot::NotInTime(SILENT_KEEPER),
    };
    if let Slot::NotInTime(wait) = taken {
        lock(&context.router).record_slot_wait(notice.engine, wait, context.now());
    }
    Some((limit, taken))
}

fn result_of(outcome: Option<&SlotOutcome>) -> &'static str {
    match outcome {
        Some(SlotOutcome::Granted { .. }) => "granted",
        Some(SlotOutcome::Denied { .. }) => "denied",
        Some(SlotOutcome::NotLimited { .. }) => "not_limited",
        Some(SlotOutcome::NotOwner { .. }) | None => "no_answer",
    }
}

/// Asks the owner of an engine's slots, and the one that it names where it isn't.
fn ask_keepers(
    context: &Context,
    notice: LimitNotice,
    limit: RateLimit,
    max_wait: Duration,
) -> Option<SlotOutcome> {
    let own = context.peers.own_handle();
    let mut owner = owner(context, notice.engine, context.now());
    for _ in 0..KEEPERS_ASKED {
        if owner == own {
            return Some(give(context, notice.engine, limit, max_wait, context.now()));
        }
        let question = SlotRequest {
            number: rand::random(),
            notice,
            max_wait_millis: max_wait.as_millis() as u32,
        };
        let address = context.peers.address_of(owner)?;
        let bytes = RateDatagram::Question(question).encode()?;
        let outcome = context
            .rate_limits
            .questions
            .ask(context, question.number, &bytes, owner, address);
        match outcome {
            Some(SlotOutcome::NotOwner { owner: other }) => owner = other,
            Some(_) => return outcome,
            None => {
                log::info!(owner:% = address; "slot_owner_silent");
                return None;
            }
        }
    }
    None
}

/// The node that keeps an engine's slots, as this one sees it.
fn owner(context: &Context, engine: SubjectHandle, now: MonotonicTime) -> SubjectHandle {
    let region = region_of(context, engine);
    let owns = !context.state.is_stopping();
    let candidates = context.peers.slot_owners(region.as_ref(), owns, now);
    owner_of(engine, &candidates).unwrap_or(context.peers.own_handle())
}

/// Region of an engine; absent in a deployment that is not regional, and where its zone is unknown or not named.
fn region_of(context: &Context, engine: SubjectHandle) -> Option<RegionId> {
    let topology = context.peers.topology();
    if !topology.is_regional() {
        return None;
    }
    let router = lock(&context.router);
    topology.region_of(router.zone_of(engine)?).cloned()
}

/// Gives out a slot that this node keeps.
fn give(
    context: &Context,
    engine: SubjectHandle,
    limit: RateLimit,
    max_wait: Duration,
    now: MonotonicTime,
) -> SlotOutcome {
    let region = region_of(context, engine);
    let part = context.peers.part_of_limits(region.as_ref(), now);
    let own = context.peers.own_handle();
    let slot = lock(&context.rate_limits.owner).reserve(own, engine, limit, part, max_wait, now);
    match slot {
        Slot::After(wait) => SlotOutcome::Granted {
            wait_millis: wait.as_millis() as u32,
        },
        Slot::NotInTime(wait) => {
            // Others learn from this node's notices that they need not ask.
            lock(&context.router).record_slot_wait(engine, wait, now);
            SlotOutcome::Denied {
                wait_millis: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            }
        }
    }
}

/// Answers another node's question. Only a node that takes itself for the owner gives out slots: two that both do would give
/// out the limit twice.
pub(crate) fn answer_question(context: &Context, question: &SlotRequest, from: SocketAddr) {
    let now = context.now();
    sending::receive_notices(context, &[question.notice], "question");
    let owner = owner(context, question.notice.engine, now);
    let max_wait = millis(question.max_wait_millis);
    let outcome = if owner != context.peers.own_handle() {
        SlotOutcome::NotOwner { owner }
    } else {
        match believed(context, question.notice, now) {
            Ok(limit) => give(context, question.notice.engine, limit, max_wait, now),
            Err(age_millis) => SlotOutcome::NotLimited { age_millis },
        }
    };
    log::debug!(number = question.number, from:% = from, outcome:? = outcome; "slot_answered");
    let answer = SlotResponse {
        number: question.number,
        outcome,
    };
    if let Some(bytes) = RateDatagram::Answer(answer).encode() {
        context.peers.send(&bytes, from);
    }
}

/// The limit of an engine that a question is about, as this node believes it or, where it does not use the engine, as the
/// question has it; the age of its end where there is none any more.
fn believed(context: &Context, asked: LimitNotice, now: MonotonicTime) -> Result<RateLimit, u32> {
    let router = lock(&context.router);
    let state = router.engine_by_handle(asked.engine);
    let state = state.as_ref().and_then(|engine| router.engine(engine));
    let notice = state.and_then(|state: &EngineState| state.limit_notice(now));
    let notice = notice.unwrap_or(asked);
    notice.limit.ok_or(notice.age_millis)
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
