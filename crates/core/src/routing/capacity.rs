//! Combined capacity and load of a set of engines, for admission control.

use super::view::EngineView;
use super::weights::RoutingWeights;
use crate::admission::ModelCapacity;
use crate::engine::Role;
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;

/// Total capacity and load of `engines`. `peer_work_factor` is the amount of unreported work of other gateways that is assumed for each
/// unit of this gateway's own unreported work.
pub(super) fn total_capacity<'a>(
    engines: impl Iterator<Item = &'a EngineView>,
    weights: &RoutingWeights,
    gateways: u32,
    peer_work_factor: f64,
    now: MonotonicTime,
) -> ModelCapacity {
    let mut capacity = ModelCapacity {
        prefill_tokens_per_second: 0.0,
        decode_tokens_per_second: 0.0,
        backlog_seconds: 0.0,
        sequence_places: 0.0,
        requests_at_engines: 0.0,
        gateways,
    };
    let mut queued_tokens = 0.0;
    for view in engines {
        let load = view.load();
        let queues = view.queues(ServiceClass::Batch, weights, peer_work_factor, now);
        if view.role() != Role::Decode {
            capacity.prefill_tokens_per_second += load.prefill_tokens_per_second as f64;
            queued_tokens += queues.prefill_tokens;
        }
        if view.role() != Role::Prefill {
            capacity.decode_tokens_per_second += load.decode_tokens_per_second as f64;
            capacity.sequence_places += weights.batch_places;
            capacity.requests_at_engines += queues.requests;
        }
    }
    if capacity.prefill_tokens_per_second > 0.0 {
        capacity.backlog_seconds = queued_tokens / capacity.prefill_tokens_per_second;
    }
    capacity
}
