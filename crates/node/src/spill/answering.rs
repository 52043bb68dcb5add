//! Answers nodes of other regions as a placer, and follows the requests that it has accepted.

use super::probing;
use crate::context::Context;
use crate::peers::Placing;
use shelfjunction_core::placing::question::{
    DispatchProgress, PlacementKind, PlacementQuery, ProgressReport, RequestKey,
};
use shelfjunction_core::spill::accepting::SpillGate;
use shelfjunction_core::spill::question::{Decline, DeclineReason, SpillAnswer, SpillQuestion};
use shelfjunction_core::spill::serving::SpillServer;
use shelfjunction_protocol::spill_messages::{SpillDatagram, SpillQuery, SpillReply};
use shelfjunction_threads::lock;
use std::net::SocketAddr;

/// Takes a datagram of spillover.
pub(crate) fn receive(context: &Context, datagram: SpillDatagram, from: SocketAddr) {
    match datagram {
        SpillDatagram::Query(query) => answer(context, &query, from),
        SpillDatagram::Reply(reply) => context.spill.on_reply(reply.number, reply.answer),
        SpillDatagram::Probe(number) => send(context, &SpillDatagram::ProbeReply(number), from),
        SpillDatagram::ProbeReply(number) => probing::on_reply(context, number),
    }
}

/// Answers a question about a request.
pub(crate) fn answer(context: &Context, query: &SpillQuery, from: SocketAddr) {
    let Some(answer) = decide(context, &query.question) else {
        return log::debug!(from:% = from, number = query.question.query.key.number; "spill_not_answered");
    };
    note_answer(context, &query.question, &answer, from);
    let reply = SpillReply {
        number: query.number,
        answer,
    };
    send(context, &SpillDatagram::Reply(Box::new(reply)), from);
}

fn decide(context: &Context, question: &SpillQuestion) -> Option<SpillAnswer> {
    let settings = &context.config.spill;
    let now = context.now();
    let not_ready = |backoff| {
        Some(SpillAnswer::Declined(Decline {
            reason: DeclineReason::NotReady,
            backoff,
        }))
    };
    let Placing::Placers(placers) = context.peers.placing(now) else {
        return not_ready(settings.max_declined_backoff());
    };
    if !settings.enabled || !context.peers.topology().is_regional() || !context.state.is_ready() {
        return not_ready(settings.max_declined_backoff());
    }
    // A node that does not place does not know the load of engines; the asking node soon learns who does.
    if !placers.home().includes(context.peers.own_handle()) {
        return not_ready(settings.backoff());
    }
    let round_trip = lock(&context.round_trips).mean(&question.region);
    let mut table = lock(&context.placement_table);
    let mut router = lock(&context.router);
    let mut gate = lock(&context.spill.gate);
    let mut server = SpillServer {
        gate: &mut gate,
        table: &mut table,
        router: &mut router,
        admission: &context.config.admission,
        settings,
        placers: placers.home().placers().len(),
        round_trip,
    };
    server.answer(question, now)
}

fn note_answer(context: &Context, question: &SpillQuestion, answer: &SpillAnswer, from: SocketAddr) {
    let (result, reason) = match answer {
        SpillAnswer::Accepted(_) => ("accepted", ""),
        SpillAnswer::Declined(decline) => ("declined", decline.reason.name()),
    };
    let backoff_millis = match answer {
        SpillAnswer::Accepted(_) => 0,
        SpillAnswer::Declined(decline) => decline.backoff.as_millis() as u64,
    };
    context.metrics.spill.answer(result, reason);
    log::info!(
        number = question.query.key.number,
        step = question.query.step,
        from:% = from,
        region = question.region.as_str(),
        home_verdict = question.reason.name(),
        result,
        reason,
        backoff_millis,
        accepted_in_flight = note_in_flight(context, &lock(&context.spill.gate));
        "spill_answered"
    );
    if matches!(answer, SpillAnswer::Accepted(_)) {
        context.peers.note_new_work();
    }
}

fn note_in_flight(context: &Context, gate: &SpillGate) -> u64 {
    let in_flight = gate.in_flight();
    context.metrics.spill.accepted_in_flight.set(in_flight as i64);
    in_flight as u64
}

/// Follows a further question about a request: one for its output says that its prompt has been prefilled.
pub(crate) fn note_question(context: &Context, question: &PlacementQuery) {
    if matches!(question.kind, PlacementKind::Decode { .. }) {
        update(context, question.key, |gate| gate.on_prefilled(question.key));
    }
}

/// Follows the progress of a request. After a failure the node asks for other engines, so the request has not ended.
pub(crate) fn note_progress(context: &Context, report: &ProgressReport) {
    let key = report.key;
    match report.progress {
        DispatchProgress::Started { .. } => update(context, key, |gate| gate.on_prefilled(key)),
        DispatchProgress::Answered { .. } | DispatchProgress::Abandoned => {
            update(context, key, |gate| {
                gate.on_ended(key, report.step, context.now())
            });
        }
        _ => {}
    }
}

fn update(context: &Context, key: RequestKey, change: impl FnOnce(&mut SpillGate)) {
    let mut gate = lock(&context.spill.gate);
    if gate.has_accepted(key) {
        change(&mut gate);
        note_in_flight(context, &gate);
    }
}

/// Removes accepted requests whose nodes no longer report.
pub(super) fn sweep(context: &Context) {
    let mut gate = lock(&context.spill.gate);
    gate.sweep(context.now());
    note_in_flight(context, &gate);
}

pub(super) fn send(context: &Context, datagram: &SpillDatagram, to: SocketAddr) {
    if let Some(bytes) = datagram.encode() {
        context.peers.send(&bytes, to);
    }
}

/// Whether this node is a placer of a regional deployment that takes part in spillover.
pub(super) fn takes_part(context: &Context) -> bool {
    let now = context.now();
    let places = match context.peers.placing(now) {
        Placing::Each => false,
        Placing::Placers(placers) => placers.home().includes(context.peers.own_handle()),
    };
    places && context.config.spill.enabled && context.peers.topology().is_regional()
}
