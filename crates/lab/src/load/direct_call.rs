//! One call to an engine without a gateway, for comparison.

use super::observation::Observation;
use super::plan::LoadPlan;
use super::schedule::{self, PlannedCall};
use crate::caller::CallResult;
use shelfjunction_core::engine::{AnswerPart, EngineCall, Phase};
use shelfjunction_core::identity::{AdapterId, AttemptId, ModelId, RequestId};
use shelfjunction_platform::engine::{AnswerStream, CallError, EngineClient};
use shelfjunction_platform::http_engine::HttpEngineClient;
use std::time::Instant;

/// Sends the call and reads its answer to the end.
pub(super) fn send(
    plan: &LoadPlan,
    call: &PlannedCall,
    client: &HttpEngineClient,
    intended: Instant,
) -> Observation {
    let address = plan.direct[call.index / 2 % plan.direct.len()];
    let mut watch = super::token_watch::TokenWatch::start(intended);
    let result = match client.call(address, &engine_call(plan, call)) {
        Ok(stream) => read(stream, &mut watch),
        Err(CallError::Refused(refusal)) => CallResult::NotRun {
            code: format!("{:?}", refusal.reason),
            retry_after: refusal.retry_after_millis > 0,
        },
        Err(CallError::NotSent) => CallResult::NotConnected,
        Err(CallError::Ambiguous) => CallResult::Broken,
    };
    watch.finish(call, result, None)
}

fn engine_call(plan: &LoadPlan, call: &PlannedCall) -> EngineCall {
    let mix = &plan.mixes[call.mix];
    let (model, adapter) = match mix.model.split_once(':') {
        Some((model, adapter)) => (model, Some(AdapterId::new(adapter))),
        None => (mix.model.as_str(), None),
    };
    let name = format!("direct-{:016x}", call.prompt_seed);
    EngineCall {
        request: RequestId::new(&name),
        attempt: AttemptId::new(format!("{name}-1")),
        model: ModelId::new(model),
        adapter,
        prompt: schedule::prompt(call),
        max_tokens: call.output_tokens,
        class: mix.class.unwrap_or_default(),
        cache_salt: mix.name.clone(),
        phase: Phase::Whole,
        import: None,
        offset: 0,
    }
}

fn read(mut stream: Box<dyn AnswerStream>, watch: &mut super::token_watch::TokenWatch) -> CallResult {
    loop {
        match stream.next_part() {
            Ok(Some(AnswerPart::Token { text, .. })) => watch.token(&text),
            Ok(Some(AnswerPart::Finished { .. })) => return CallResult::Completed,
            Ok(Some(AnswerPart::Failed { reason, .. })) => return CallResult::Failed { code: reason },
            Ok(Some(AnswerPart::Prefilled { .. })) => {}
            Ok(None) | Err(_) => return CallResult::Broken,
        }
    }
}
