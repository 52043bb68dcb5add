//! One streamed call through a gateway.

use super::observation::Observation;
use super::plan::{LoadPlan, Mix};
use super::schedule::{self, PlannedCall};
use super::token_watch::TokenWatch;
use crate::caller::CallResult;
use crate::caller::{AnswerEvent, AnswerReader, CallerClient, CompletionCall};
use std::time::Instant;

/// Sends the call and reads its answer to the end.
pub(super) fn send(
    plan: &LoadPlan,
    call: &PlannedCall,
    client: &CallerClient,
    intended: Instant,
) -> Observation {
    let mix = &plan.mixes[call.mix];
    let gateway = plan.gateways[call.index % plan.gateways.len()];
    let mut watch = TokenWatch::start(intended);
    match client.complete(gateway, &mix.token, &completion_call(mix, call)) {
        Err(refused) => watch.finish(call, refused.result, refused.request),
        Ok(mut answer) => {
            let result = read(&mut answer, &mut watch);
            watch.finish(call, result, answer.request().map(str::to_owned))
        }
    }
}

/// The call as a caller sends it; the same again for the same planned call.
pub fn completion_call(mix: &Mix, call: &PlannedCall) -> CompletionCall {
    CompletionCall {
        model: mix.model.clone(),
        prompt: schedule::prompt(call),
        max_tokens: call.output_tokens,
        class: mix.class,
        key: mix.keyed.then(|| format!("load-{:016x}", call.prompt_seed)),
    }
}

fn read(answer: &mut AnswerReader, watch: &mut TokenWatch) -> CallResult {
    loop {
        match answer.next_event() {
            AnswerEvent::Text(text) => watch.token(&text),
            AnswerEvent::End(result) => return result,
        }
    }
}
