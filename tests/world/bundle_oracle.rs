//! What must hold of bundles, read from what was accepted, came into force and was told to operators.

use super::authority_oracle::Violation;
use super::bundles::BundleFleet;
use super::rollout::RolloutEnd;
use shelfjunction_core::bundle::Head;
use shelfjunction_core::identity::Generation;
use std::collections::BTreeMap;

/// Checks everything that happened so far.
pub fn check(fleet: &BundleFleet) -> Result<(), Violation> {
    one_history(fleet)?;
    only_forward(fleet)?;
    operators_are_told_the_truth(fleet)
}

/// Each place in the history is taken once, one after the other.
fn one_history(fleet: &BundleFleet) -> Result<(), Violation> {
    let places: Vec<Generation> = fleet.accepted.iter().map(|row| row.generation).collect();
    let expected: Vec<Generation> = (1..=places.len() as u64).map(Generation).collect();
    hold(
        "each place in the history is taken once",
        places == expected,
        &fleet.accepted,
    )
}

/// What is in force anywhere was accepted, and no process ever goes back.
fn only_forward(fleet: &BundleFleet) -> Result<(), Violation> {
    let accepted: Vec<Head> = fleet.accepted.iter().map(|row| row.head()).collect();
    let mut last: BTreeMap<(usize, u64), Generation> = BTreeMap::new();
    for in_force in &fleet.in_force {
        let known = accepted.contains(&in_force.head);
        hold("only an accepted bundle is in force", known, in_force)?;
        let before = last.insert((in_force.node, in_force.start), in_force.head.generation);
        let forward = before.is_none_or(|before| before < in_force.head.generation);
        hold("an accepted bundle never reverts", forward, in_force)?;
    }
    Ok(())
}

/// An operator who is told "accepted" finds the bundle in the history, and one who is told otherwise does not.
fn operators_are_told_the_truth(fleet: &BundleFleet) -> Result<(), Violation> {
    for rollout in &fleet.rollouts {
        let planned = rollout.planned.as_ref().map(|planned| planned.accepted.head());
        let accepted = fleet.accepted.iter().any(|row| Some(row.head()) == planned);
        let truth = match rollout.end {
            Some(RolloutEnd::Accepted(_)) => accepted,
            Some(RolloutEnd::Superseded | RolloutEnd::NotDone) => !accepted,
            Some(RolloutEnd::Unknown) | None => true,
        };
        hold(
            "an operator is told what became of the rollout",
            truth,
            &rollout.end,
        )?;
    }
    Ok(())
}

/// The latest bundle is in force at every node.
pub fn in_force_everywhere(fleet: &BundleFleet) -> Result<(), Violation> {
    let latest = fleet.accepted.last().map(|row| row.head());
    let behind = fleet.nodes.iter().position(|node| node.keeper.head() != latest);
    hold(
        "an accepted bundle is in force in every zone",
        behind.is_none(),
        &(latest, behind),
    )
}

/// Every node that runs and holds a bundle gives the same answer to "is it isolated?".
pub fn isolation_is(fleet: &BundleFleet, zone: usize, expected: bool) -> Result<(), Violation> {
    let wrong = fleet.nodes.iter().find(|node| {
        node.zone == zone
            && node.up
            && node.keeper.head().is_some()
            && node.keeper.is_isolated(fleet.now()) != expected
    });
    let property = match expected {
        true => "a node that is cut off from everything refuses new work",
        false => "zones that reach one another vouch for one another while the store is down",
    };
    hold(
        property,
        wrong.is_none(),
        &wrong.map(|node| node.keeper.confirmed_ago(fleet.now())),
    )
}

fn hold(property: &'static str, holds: bool, seen: &impl std::fmt::Debug) -> Result<(), Violation> {
    match holds {
        true => Ok(()),
        false => Err(Violation {
            property,
            seen: format!("{seen:?}"),
        }),
    }
}
