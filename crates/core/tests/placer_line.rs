//! Who takes the places of those that choose engines for all, when some of them are lost.

use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::placer_set::{
    Candidate, CandidateStatus, PlacerSet, may_become_placer, should_place,
};
use std::time::Duration;

const PLACES: usize = 8;

/// Nodes of which one in twenty has more processor than the others.
fn nodes(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            node: SubjectHandle::of_text("node", &format!("node-{number}")),
            processor_thousandths: if number % 20 == 0 { 500 } else { 120 },
        })
        .collect()
}

/// Nodes that hold themselves for placers where those of `lost` have fallen silent.
fn placing(nodes: &[Candidate], lost: &[SubjectHandle], vacant_for: Duration) -> usize {
    let before = PlacerSet::select(nodes, PLACES);
    let presence = |node: &Candidate| {
        if lost.contains(&node.node) {
            CandidateStatus::Unresponsive
        } else if before.includes(node.node) {
            CandidateStatus::Active
        } else {
            CandidateStatus::Listed
        }
    };
    let living = nodes.iter().filter(|node| !lost.contains(&node.node));
    living
        .filter(|own| {
            let others = nodes.iter().filter(|other| other.node != own.node);
            let others = others.map(|other| (*other, presence(other)));
            should_place(**own, others, PLACES, vacant_for)
        })
        .count()
}

#[test]
fn at_the_start_as_many_place_as_should() {
    let nodes = nodes(985);
    let placing = nodes.iter().filter(|own| {
        let others = nodes.iter().filter(|other| other.node != own.node);
        should_place(
            **own,
            others.map(|other| (*other, CandidateStatus::Listed)),
            PLACES,
            Duration::ZERO,
        )
    });
    assert_eq!(placing.count(), PLACES);
}

#[test]
fn the_loss_of_one_is_made_good_by_one_in_a_fleet_of_any_size() {
    for size in [60, 300, 985, 1_970] {
        let nodes = nodes(size);
        let lost = &PlacerSet::select(&nodes, PLACES).placers()[..1].to_vec();
        assert_eq!(placing(&nodes, lost, Duration::ZERO), PLACES, "of {size} nodes");
    }
}

#[test]
fn the_loss_of_all_is_made_good_by_as_many() {
    let nodes = nodes(985);
    let lost = PlacerSet::select(&nodes, PLACES).placers().to_vec();
    assert_eq!(placing(&nodes, &lost, Duration::ZERO), PLACES);
}

#[test]
fn where_those_that_come_next_stay_away_others_follow_by_turns() {
    let nodes = nodes(985);
    let lost = PlacerSet::select(&nodes, PLACES).placers().to_vec();
    let after = |millis| placing(&nodes, &lost, Duration::from_millis(millis));
    assert_eq!(
        [after(399), after(400), after(1_200)],
        [PLACES, PLACES + 1, PLACES + 3]
    );
}

#[test]
fn the_first_in_line_know_it_from_any_part_of_the_list_and_few_others_think_so() {
    let nodes = nodes(985);
    let part = &nodes[..64];
    let in_line: Vec<&Candidate> = nodes
        .iter()
        .filter(|own| may_become_placer(**own, part, PLACES))
        .collect();
    let placers = PlacerSet::select(&nodes, PLACES);
    assert!(
        placers
            .placers()
            .iter()
            .all(|placer| in_line.iter().any(|node| node.node == *placer))
    );
    assert!(
        in_line.len() < 985 / 2,
        "{} nodes read the whole list",
        in_line.len()
    );
}
