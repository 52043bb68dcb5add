//! The controller that holds a zone's lease is frozen past its end and wakes.

use crate::harness::deployment::Processes;
use rustix::process::Signal;
use shelfjunction_core::engine::{OrderAction, OrderReply};
use shelfjunction_core::identity::{FencingToken, WeightVersion};
use shelfjunction_core::lease::{LeaseRow, lease_key};
use shelfjunction_lab::cluster::layout::ZoneSize;
use shelfjunction_lab::cluster::publish::publish;
use shelfjunction_lab::engine::EngineLog;
use shelfjunction_platform::services::TableService;

/// Two nodes in each zone, so that another can take the lease.
const TWO_NODES: ZoneSize = ZoneSize {
    nodes: 2,
    model_engines: 1,
    application_engines: 1,
};

#[test]
fn orders_of_a_holder_that_lost_its_lease_have_no_effect() {
    let running = Processes::start(TWO_NODES);
    let zone = running.layout.deployment.zones[0].clone();
    let platform = running.platform_client();
    let row = platform.read(&lease_key(&zone)).unwrap().unwrap();
    let lease: LeaseRow = serde_json::from_str(&row.value).unwrap();
    let of_zone = |index: &usize| running.layout.nodes[*index].zone == zone;
    let (holders, others): (Vec<usize>, Vec<usize>) = (0..running.layout.nodes.len())
        .filter(of_zone)
        .partition(|index| running.layout.nodes[*index].node == lease.holder);
    let (holder, other) = (holders[0], others[0]);

    // The holder is frozen in the middle of a change of versions.
    let before = running.controllers[other].position();
    let asleep_from = running.controllers[holder].position();
    let deployment = &running.layout.deployment;
    let mut bundle = deployment.bundle.clone();
    bundle.models[0].version = WeightVersion::new("2");
    publish(&platform, &bundle, &deployment.operators()[0]).unwrap();
    running.controllers[holder].wait_for_line(asleep_from, &["order_sent"]);
    running.controllers[holder].signal(Signal::STOP);

    running.controllers[other].wait_for_line(before, &["lease_gained"]);
    for index in running.engines_of(&zone) {
        let engine = format!("engine={}", running.layout.engines[index].engine);
        running.controllers[other].wait_for_line(before, &["order_sent", &engine, "RaiseFence"]);
    }
    running.controllers[holder].signal(Signal::CONT);
    running.controllers[holder].wait_for_line(asleep_from, &["lease_lost"]);
    running.controllers[other].wait_for_line(before, &["order_sent", "LoadWeights"]);

    for index in running.engines_of(&zone) {
        let log = running.engine_log(index);
        assert!(
            highest_token(&log) > lease.token,
            "the new holder fenced no engine"
        );
        assert_tokens_never_fall(&log);
    }
}

fn highest_token(log: &EngineLog) -> FencingToken {
    let tokens = log.orders.iter().map(|record| record.order.token);
    tokens.max().unwrap_or_default()
}

/// Orders that had an effect carry tokens that never fall, from the raised fence on.
fn assert_tokens_never_fall(log: &EngineLog) {
    let mut fence = FencingToken::default();
    for record in &log.orders {
        let effective = matches!(record.reply, OrderReply::Done | OrderReply::InProgress);
        if effective {
            assert!(record.order.token >= fence, "{record:?} after token {fence}");
        }
        if effective && record.order.action == OrderAction::RaiseFence {
            fence = record.order.token;
        }
    }
}
