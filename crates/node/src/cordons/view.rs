//! What operators see of cordons and engines.

use crate::context::Context;
use crate::metering;
use shelfjunction_core::routing::pool::{AvoidanceReason, EngineState};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::cordons::{CordonView, CordonsView, EngineView, EnginesView};
use shelfjunction_threads::lock;
use std::time::Duration;

/// The cordons in force, and who else has them.
pub(crate) fn view(context: &Context) -> CordonsView {
    let unix = metering::unix(context);
    let set = lock(&context.cordons).clone();
    let told = context.peers.told_cordons(context.now());
    let cordons = set.of_operators(unix).map(|cordon| CordonView {
        target: cordon.target.to_string(),
        by: cordon.by.clone(),
        since_seconds: unix.since(cordon.since).as_secs(),
        left_seconds: cordon.until.since(unix).as_secs(),
        forced: cordon.forced,
    });
    CordonsView {
        node: context.config.node.as_str().to_owned(),
        version: set.version,
        nodes_heard: told.len(),
        nodes_alike: told.iter().filter(|version| **version == set.version).count(),
        cordons: cordons.collect(),
    }
}

/// Every engine that this node knows.
pub(crate) fn engines_view(context: &Context) -> EnginesView {
    let now = context.now();
    let router = lock(&context.router);
    EnginesView {
        node: context.config.node.as_str().to_owned(),
        engines: router.engines().map(|state| engine_view(state, now)).collect(),
    }
}

fn engine_view(state: &EngineState, now: MonotonicTime) -> EngineView {
    let work = state.load(now);
    let alone = state.avoidance_reason(now);
    EngineView {
        engine: state.engine.id.as_str().to_owned(),
        start: state.engine.id.start().0,
        pool: state.engine.pool.to_string(),
        zone: state.engine.zone.as_str().to_owned(),
        stage: state.engine.stage.name().to_owned(),
        work_factor: state.work_factor(now),
        requests: work.requests as u64,
        outputs: work.outputs as u64,
        waiting: state.reported_waiting(now),
        prompt_tokens: work.all_prompt_tokens() as u64,
        left_alone: alone.map(|alone| cause_name(alone).to_owned()),
        left_alone_seconds: alone.and_then(remaining).map(|time| time.as_secs_f64()),
    }
}

fn cause_name(alone: AvoidanceReason) -> &'static str {
    match alone {
        AvoidanceReason::Gone => "gone",
        AvoidanceReason::Leaving => "leaving",
        AvoidanceReason::ChangingStage(_) => "changing stage",
        AvoidanceReason::Cordoned { forced: true, .. } => "cordoned by force",
        AvoidanceReason::Cordoned { forced: false, .. } => "cordoned",
        AvoidanceReason::ZoneReclaimed => "zone taken back",
        AvoidanceReason::Paused { .. } => "paused",
    }
}

fn remaining(alone: AvoidanceReason) -> Option<Duration> {
    match alone {
        AvoidanceReason::Cordoned { remaining, .. } | AvoidanceReason::Paused { remaining } => {
            Some(remaining)
        }
        AvoidanceReason::Gone
        | AvoidanceReason::Leaving
        | AvoidanceReason::ChangingStage(_)
        | AvoidanceReason::ZoneReclaimed => None,
    }
}
