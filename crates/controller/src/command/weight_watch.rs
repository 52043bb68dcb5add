//! Asks the weight store how long its queues are, while this controller plans and some engine lacks weights.

use crate::config::millis;
use crate::context::Context;
use crate::fleet;
use shelfjunction_core::bundle::content::ModelRule;
use shelfjunction_core::drain::WeightQueues;
use shelfjunction_core::identity::{ModelId, WeightVersion};

/// Asks until the controller stops.
pub fn run(context: &Context) {
    let interval = millis(context.config.timings.plan_millis);
    while !context.stop.wait(interval) {
        if let Some(bundle) = context.bundle.in_force()
            && context.command.holds_lease()
        {
            context
                .command
                .replace_weight_queues(ask(context, &bundle.models));
        }
    }
}

fn ask(context: &Context, models: &[ModelRule]) -> WeightQueues {
    let mut queues = WeightQueues::new(context.config.timings.weight_queue_millis);
    for (model, version) in WeightQueues::questions(models) {
        if !is_lacking(context, &model, &version) {
            continue;
        }
        match context.services.weights.queue_millis(&model, &version) {
            Ok(millis) => queues.note(model, version, millis),
            Err(error) => {
                context.metrics.platform_errors.inc();
                log::debug!(model:% = model, error:? = error; "weight_store_unread");
            }
        }
    }
    queues
}

/// Whether an engine of the zone may be led to these weights: it holds another version, or none at all.
fn is_lacking(context: &Context, model: &ModelId, version: &WeightVersion) -> bool {
    fleet::zone_engines(context)
        .iter()
        .filter_map(|known| known.live_status())
        .any(|status| {
            let other = |weights: &shelfjunction_core::engine::LoadedWeights| {
                weights.model == *model && weights.version != *version
            };
            status.weights.is_empty() || status.weights.iter().any(other)
        })
}
