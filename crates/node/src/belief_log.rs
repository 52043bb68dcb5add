//! Tells what changes in the beliefs about paths between zones and about engines that say nothing: a line in the log and
//! a metric for each change.

use crate::context::Context;
use shelfjunction_core::routing::pool::EngineAvailabilityChange;
use shelfjunction_threads::lock;

/// Tells the changes since the last call; to be called after whatever may have changed a belief. Other nodes that choose
/// engines hear at once of those that fell silent.
pub(crate) fn tell_changes(context: &Context) {
    let (changes, engines, has_silences) = {
        let mut router = lock(&context.router);
        let engines = router.take_availability_changes();
        (
            router.take_path_changes(),
            engines,
            router.has_pending_unanswered_requests(),
        )
    };
    engines.iter().for_each(|change| tell_engine(context, change));
    if has_silences {
        context.peers.note_urgent();
    }
    for change in changes {
        let belief = change.state.name();
        context.metrics.path_changed(belief);
        log::info!(
            one = change.zone.as_str(),
            other = change.other_zone.as_ref().map_or("all", |zone| zone.as_str()),
            belief,
            silent_engines = change.unresponsive_engines,
            after_millis = change.elapsed.as_millis() as u64;
            "path_belief_changed"
        );
    }
}

fn tell_engine(context: &Context, change: &EngineAvailabilityChange) {
    let (engine, told) = (change.engine.as_str(), change.from_peer);
    match change.pause {
        Some(pause) => {
            context.metrics.engine_silence("left_alone");
            log::info!(engine, pause_millis = pause.as_millis() as u64, told; "engine_left_alone");
        }
        None => {
            context.metrics.engine_silence("returns");
            log::info!(engine, told; "engine_returns");
        }
    }
}
