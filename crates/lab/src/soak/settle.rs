//! Asks again for calls that ended without a whole answer, as a caller with a key or a request identifier would.

use crate::caller::{CallResult, CallerClient};
use crate::load::completion_call;
use crate::load::observation::Observation;
use crate::load::plan::LoadPlan;
use crate::load::schedule::PlannedCall;
use std::collections::BTreeMap;

/// What asking again gave, by position in the schedule.
pub(super) type Settled = BTreeMap<usize, SettledCall>;

/// What asking again for one call gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SettledCall {
    pub(super) result: CallResult,
    pub(super) text: String,
    pub(super) request: Option<String>,
}

/// Asks again, through the gateway after the first one's, for each call whose caller does not hold a whole answer or
/// a refusal.
pub(super) fn settle(plan: &LoadPlan, calls: &[PlannedCall], observations: &[Observation]) -> Settled {
    let client = CallerClient::new(plan.part_timeout);
    let open = observations.iter().filter(|observation| is_open(observation));
    let ask = |observation: &Observation| {
        let settled = ask_again(plan, &calls[observation.index], observation, &client);
        (observation.index, settled)
    };
    open.map(ask).collect()
}

fn is_open(observation: &Observation) -> bool {
    !matches!(
        observation.result,
        CallResult::Completed | CallResult::NotRun { .. } | CallResult::NotConnected
    )
}

fn ask_again(
    plan: &LoadPlan,
    call: &PlannedCall,
    observation: &Observation,
    client: &CallerClient,
) -> SettledCall {
    let mix = &plan.mixes[call.mix];
    let gateway = plan.gateways[(call.index + 1) % plan.gateways.len()];
    let asked = match (&observation.request, mix.keyed) {
        (_, true) => client.complete(gateway, &mix.token, &completion_call(mix, call)),
        (Some(request), false) => client.fetch(gateway, &mix.token, request, 0),
        (None, false) => Err(CallResult::Broken.into()),
    };
    match asked {
        Err(refused) => SettledCall {
            result: refused.result,
            text: String::new(),
            request: refused.request,
        },
        Ok(answer) => {
            let request = answer.request().map(str::to_owned);
            let (text, result) = answer.read_to_end();
            SettledCall {
                result,
                text,
                request,
            }
        }
    }
}
