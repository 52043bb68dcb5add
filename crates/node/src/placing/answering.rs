//! Answers other nodes' questions as a placer.
//!
//! Whoever is asked answers, whether it holds itself for a placer or not: the node that asked may know better.

use crate::context::Context;
use crate::peers::{Datagram, LivenessAnswer, LivenessQuestion};
use shelfjunction_core::placing::question::{FateReport, Placement, Question};
use shelfjunction_threads::lock;
use std::net::SocketAddr;

/// Answers a question about a request.
pub(crate) fn answer(context: &Context, question: &Question, from: SocketAddr) {
    // Without configuration and engines there is nothing to choose from; the node that asked soon asks another.
    if !context.state.is_ready() {
        return log::debug!(from:% = from; "placement_not_answered");
    }
    let now = context.now();
    let answer = {
        let mut desk = lock(&context.desk);
        let mut router = lock(&context.router);
        desk.answer(&mut router, question, &context.config.admission, now)
    };
    let Some(answer) = answer else {
        return log::debug!(from:% = from, number = question.key.number; "placement_not_answered");
    };
    context.metrics.placement("given");
    match answer.placement {
        Placement::Split { .. } => context.peers.note_new_work(),
        Placement::One(_) => context.peers.note_change(),
        Placement::Nowhere => {}
    }
    if let Some(bytes) = Datagram::Answer(Box::new(answer)).encode() {
        context.peers.send(&bytes, from);
    }
}

/// Takes what became of a dispatch.
pub(crate) fn take_fate(context: &Context, report: &FateReport) {
    let mut desk = lock(&context.desk);
    let mut router = lock(&context.router);
    desk.on_fate(&mut router, report, context.now());
    drop(router);
    context.peers.note_change();
}

/// Answers whether an engine has answered anybody a moment ago.
pub(crate) fn answer_liveness(context: &Context, question: LivenessQuestion, from: SocketAddr) {
    let now = context.now();
    let answers = {
        let router = lock(&context.router);
        let engine = router.engine_named(question.engine);
        engine
            .and_then(|engine| router.engine(&engine).map(|state| state.answers(now)))
            .unwrap_or(false)
    };
    let answer = LivenessAnswer {
        number: question.number,
        answers,
    };
    if let Some(bytes) = Datagram::LivenessAnswer(answer).encode() {
        context.peers.send(&bytes, from);
    }
}
