//! Replacement of lost placers: as many nodes as needed take over, and only those that rank next.

use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::list_parts::join_parts;
use shelfjunction_core::placing::placer_set::{
    Candidate, CandidateStatus, PlacerSet, may_become_placer, should_place,
};
use std::time::Duration;

const PLACES: usize = 8;

/// Candidates; every twentieth has more processor capacity than the others.
fn nodes(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            node: SubjectHandle::of_text("node", &format!("node-{number}")),
            processor_thousandths: if number % 20 == 0 { 500 } else { 120 },
        })
        .collect()
}

/// Number of nodes that consider themselves placers after the nodes `lost` have become unresponsive.
fn count_placers(nodes: &[Candidate], lost: &[SubjectHandle], vacancy_age: Duration) -> usize {
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
            should_place(**own, others, PLACES, vacancy_age)
        })
        .count()
}

#[test]
fn the_configured_number_of_nodes_place_at_startup() {
    let nodes = nodes(985);
    let placers = nodes.iter().filter(|own| {
        let others = nodes.iter().filter(|other| other.node != own.node);
        should_place(
            **own,
            others.map(|other| (*other, CandidateStatus::Listed)),
            PLACES,
            Duration::ZERO,
        )
    });
    assert_eq!(placers.count(), PLACES);
}

#[test]
fn one_lost_placer_is_replaced_by_one_node_in_fleets_of_any_size() {
    for size in [60, 300, 985, 1_970] {
        let nodes = nodes(size);
        let lost = &PlacerSet::select(&nodes, PLACES).placers()[..1].to_vec();
        assert_eq!(
            count_placers(&nodes, lost, Duration::ZERO),
            PLACES,
            "of {size} nodes"
        );
    }
}

#[test]
fn if_all_placers_are_lost_the_same_number_replaces_them() {
    let nodes = nodes(985);
    let lost = PlacerSet::select(&nodes, PLACES).placers().to_vec();
    assert_eq!(count_placers(&nodes, &lost, Duration::ZERO), PLACES);
}

#[test]
fn one_more_node_takes_over_per_interval_while_vacancies_remain() {
    let nodes = nodes(985);
    let lost = PlacerSet::select(&nodes, PLACES).placers().to_vec();
    let after = |millis| count_placers(&nodes, &lost, Duration::from_millis(millis));
    assert_eq!(
        [after(399), after(400), after(1_200)],
        [PLACES, PLACES + 1, PLACES + 3]
    );
}

#[test]
fn all_placers_and_few_other_nodes_read_the_whole_list() {
    let nodes = nodes(985);
    let part = &nodes[..64];
    let whole_list_readers: Vec<&Candidate> = nodes
        .iter()
        .filter(|own| may_become_placer(**own, part, PLACES))
        .collect();
    let placers = PlacerSet::select(&nodes, PLACES);
    assert!(
        placers
            .placers()
            .iter()
            .all(|placer| whole_list_readers.iter().any(|node| node.node == *placer))
    );
    assert!(
        whole_list_readers.len() < 985 / 2,
        "{} nodes read the whole list",
        whole_list_readers.len()
    );
}

/// Guards against a standby of a small fleet that does not read the whole list, since its pages overlap and entries count twice,
/// and against a list that counts as cut off though both pages together are all of it.
#[test]
fn overlapping_parts_of_the_list_rank_a_node_as_the_whole_list_does() {
    for size in [1, 40, 75, 127, 300] {
        let list: Vec<(String, Candidate)> = (0..size)
            .map(|number| {
                let name = format!("node-{number:04}");
                let candidate = Candidate {
                    node: SubjectHandle::of_text("node", &name),
                    processor_thousandths: 120,
                };
                (name, candidate)
            })
            .collect();
        for own in 0..size {
            let to_end = &list[own..];
            if to_end.len() > 64 {
                continue;
            }
            let start = &list[..size.min(64)];
            let (known, is_whole) = join_parts(to_end.to_vec(), start.to_vec(), size > 64, |(name, _)| name);
            let mut names: Vec<&String> = known.iter().map(|(name, _)| name).collect();
            names.dedup();
            assert_eq!(names.len(), known.len(), "{size} nodes, node {own}");
            assert!(!is_whole || known.len() == size, "{size} nodes, node {own}");
            assert!(is_whole || own >= 64, "{size} nodes, node {own}");
            let others = |nodes: &[(String, Candidate)]| -> Vec<Candidate> {
                let others = nodes.iter().filter(|(name, _)| *name != list[own].0);
                others.map(|(_, candidate)| *candidate).collect()
            };
            let in_whole = may_become_placer(list[own].1, &others(&list), 3);
            assert!(!in_whole || may_become_placer(list[own].1, &others(&known), 3));
        }
    }
}
