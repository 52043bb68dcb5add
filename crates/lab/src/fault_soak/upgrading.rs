//! Replaces the nodes' program one node after the other, forwards and backwards, while faults strike.

use super::deployment::Deployment;
use super::disturbances::Struck;
use super::schedule::Fault;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two looks at whether it is time.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Has each node run `newer` in the first half of the time, in turn, and `older` again in the second half.
pub(super) fn upgrade_and_go_back(
    deployment: &Deployment,
    older: &Path,
    newer: &Path,
    begun: Instant,
    length: Duration,
) {
    let nodes = deployment.targets().nodes;
    let older_runs = |node, at| deployment.on_other_build.begin(Struck::Node(node), at);
    let at_first: Vec<usize> = (0..nodes).map(|node| older_runs(node, Duration::ZERO)).collect();
    let steps = (0..nodes)
        .map(|node| (node, newer))
        .chain((0..nodes).rev().map(|node| (node, older)));
    let step = length / (2 * nodes as u32 + 1);
    for (number, (node, program)) in steps.enumerate() {
        wait_until(begun + step * (number as u32 + 1));
        let place = deployment
            .disturbances
            .begin(Fault::Stop(node).struck(), begun.elapsed());
        deployment.stop(node);
        if program == newer {
            deployment.on_other_build.end(at_first[node], begun.elapsed());
        } else {
            older_runs(node, begun.elapsed());
        }
        deployment.set_program(node, program);
        if let Err(error) = deployment.start_node(node) {
            log::error!(node, error:% = error; "node_not_started");
        }
        deployment.disturbances.end(place, begun.elapsed());
    }
}

fn wait_until(at: Instant) {
    while Instant::now() < at {
        thread::sleep(LOOK_EVERY.min(at.saturating_duration_since(Instant::now())));
    }
}
