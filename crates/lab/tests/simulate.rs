//! The simulator gives the same figures for the same seed, whatever the threads, and accounts for every request.
#![allow(clippy::unwrap_used)]

use shelfjunction_lab::simulate::catalogue::workloads;
use shelfjunction_lab::simulate::comparison::Comparison;
use shelfjunction_lab::simulate::policy::Policy;
use shelfjunction_lab::simulate::table;
use shelfjunction_lab::simulate::workload::Workload;
use shelfjunction_lab::simulate::world;
use std::time::Duration;

fn short_workload(name: &str) -> Workload {
    let mut workload = workloads().into_iter().find(|known| known.name == name).unwrap();
    workload.seconds = 60.0;
    workload
}

fn compare(threads: usize) -> String {
    let comparison = Comparison {
        workloads: vec![
            short_workload("pharmacy-swings"),
            short_workload("kadriks-crash-in-change"),
        ],
        policies: vec![Policy::ours()],
        seeds: vec![1, 2],
        threads,
    };
    table::render(&comparison.run(|_, _| {}))
}

#[test]
fn a_seed_gives_the_same_figures_on_any_number_of_threads() {
    let alone = compare(1);
    assert_eq!(alone, compare(3));
    insta::assert_snapshot!(alone);
}

#[test]
fn every_request_ends_once_even_when_a_zone_is_lost() {
    let workload = short_workload("pharmacy-zone-lost");
    let trace = workload.trace(3);
    let run = world::run(&workload.deployment, &trace, &Policy::ours(), Duration::ZERO, 3);
    assert_eq!(run.offered(), trace.requests.len() as u64);
    for counts in run.classes {
        assert_eq!(counts.offered, counts.good + counts.late + counts.refused);
    }
}
