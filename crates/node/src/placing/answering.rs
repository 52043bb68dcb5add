//! Answers other nodes' questions as a placer.
//!
//! Whoever is asked answers, whether it holds itself for a placer or not: the node that asked may know better.

use crate::belief_log;
use crate::context::Context;
use crate::peers::{Datagram, LivenessAnswer, LivenessQuestion};
use crate::spill;
use shelfjunction_core::placing::question::{
    DispatchProgress, Placement, PlacementAnswer, PlacementKind, PlacementQuery, ProgressReport,
};
use shelfjunction_threads::lock;
use std::net::SocketAddr;

/// Answers a question about a request.
pub(crate) fn answer(context: &Context, question: &PlacementQuery, from: SocketAddr) {
    // Without configuration and engines there is nothing to choose from; the node that asked soon asks another.
    if !context.state.is_ready() {
        return log::debug!(from:% = from; "placement_not_answered");
    }
    let now = context.now();
    let answer = {
        let mut table = lock(&context.placement_table);
        let mut router = lock(&context.router);
        table.answer(&mut router, question, &context.config.admission, now)
    };
    let Some(answer) = answer else {
        return log::debug!(from:% = from, number = question.key.number; "placement_not_answered");
    };
    context.metrics.placement("given");
    spill::note_question(context, question);
    log_given(question, &answer, from);
    match answer.placement {
        Placement::Split { .. } => context.peers.note_new_work(),
        Placement::One(_) => context.peers.note_change(),
        Placement::Nowhere => {}
    }
    if let Some(bytes) = Datagram::Answer(Box::new(answer)).encode() {
        context.peers.send(&bytes, from);
    }
}

fn log_given(question: &PlacementQuery, answer: &PlacementAnswer, from: SocketAddr) {
    let wanted = match &question.kind {
        PlacementKind::Admission(_) => "admission",
        PlacementKind::Retry { .. } => "engines",
        PlacementKind::Decode { .. } => "output",
    };
    let (way, chosen) = match &answer.placement {
        Placement::One(chosen) => ("one", Some(chosen)),
        Placement::Split { prefill, .. } => ("split", Some(prefill)),
        Placement::Nowhere => ("nowhere", None),
    };
    log::info!(
        number = answer.key.number,
        step = answer.step,
        from:% = from,
        wanted,
        way,
        admission:? = answer.verdict.map(|verdict| verdict.admission),
        prompt_tokens_ahead = chosen.map_or(0, |chosen| chosen.prompt_tokens_ahead),
        requests_there = chosen.map_or(0, |chosen| chosen.requests),
        held_tokens = chosen.map_or(0, |chosen| chosen.held_tokens),
        word_age_millis = chosen.map_or(0, |chosen| chosen.oldest_report_age.as_millis() as u64);
        "placement_given"
    );
}

/// Takes what became of a dispatch.
pub(crate) fn take_progress(context: &Context, report: &ProgressReport) {
    if let DispatchProgress::Paused { hundredths } = report.progress {
        log_paused(context, report, hundredths);
    }
    let mut table = lock(&context.placement_table);
    let mut router = lock(&context.router);
    table.on_progress(&mut router, report, context.now());
    drop(router);
    drop(table);
    spill::note_progress(context, report);
    belief_log::tell_changes(context);
    context.peers.note_change();
}

/// Logs what is believed to run beside an output that paused for too long.
fn log_paused(context: &Context, report: &ProgressReport, hundredths: u16) {
    let engine = lock(&context.placement_table).engine_of(&report.key).cloned();
    let Some(engine) = engine else {
        return;
    };
    let beside = lock(&context.router).concurrent_work(&engine, context.now());
    log::info!(
        number = report.key.number,
        step = report.step,
        engine = engine.as_str(),
        pause_percent = u32::from(hundredths),
        outputs_beside = beside.outputs,
        prompt_tokens_beside = beside.prompt_tokens,
        moving_tokens_beside = beside.transfer_tokens,
        work_factor_percent = beside.work_factor_percent;
        "pause_believed"
    );
}

/// Answers whether an engine has answered anybody a moment ago.
pub(crate) fn answer_liveness(context: &Context, question: LivenessQuestion, from: SocketAddr) {
    let now = context.now();
    let answers = {
        let router = lock(&context.router);
        let engine = router.engine_by_handle(question.engine);
        engine
            .and_then(|engine| router.engine(&engine).map(|state| state.answered_recently(now)))
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
