//! Placers of each region: as many as needed, and the same at every node.

use shelfjunction_core::identity::{RegionId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::config::PlacingSettings;
use shelfjunction_core::placing::placer_set::{Candidate, PlacerSet};
use shelfjunction_core::placing::regional::RegionalPlacers;
use shelfjunction_core::topology::{Topology, TopologySettings};

const REGIONS: [&str; 3] = ["north", "south", "west"];

fn topology(own: &str) -> Topology {
    let zones = REGIONS.map(|region| (ZoneId::new(format!("{region}-a")), RegionId::new(region)));
    let settings = TopologySettings {
        zones: zones.into_iter().collect(),
    };
    Topology::new(&ZoneId::new(format!("{own}-a")), &settings)
}

fn fleet(nodes: usize) -> Vec<(Candidate, RegionId)> {
    let candidate = |number: usize| Candidate {
        node: SubjectHandle::of_text("node", &format!("node-{number}")),
        processor_thousandths: if number.is_multiple_of(7) { 500 } else { 120 },
    };
    (0..nodes)
        .map(|number| (candidate(number), RegionId::new(REGIONS[number % REGIONS.len()])))
        .collect()
}

fn select(fleet: &[(Candidate, RegionId)], own: &str) -> RegionalPlacers {
    let alive = fleet.iter().map(|(candidate, region)| (*candidate, Some(region)));
    RegionalPlacers::select(alive, &topology(own), &PlacingSettings::default())
}

/// Guards against nodes of two regions that ask different placers of the same region.
#[test]
fn nodes_of_all_regions_agree_on_the_placers_of_each() {
    for nodes in [18, 75, 300, 985] {
        let fleet = fleet(nodes);
        let views = REGIONS.map(|own| (RegionId::new(own), select(&fleet, own)));
        for (region, home_view) in &views {
            let expected = PlacingSettings::default().placers_per_region(&topology(region.as_str()));
            assert_eq!(
                home_view.home().placers().len(),
                expected.min(nodes / REGIONS.len())
            );
            for (_, distant_view) in views.iter().filter(|(own, _)| own != region) {
                let mut home = home_view.home().placers().to_vec();
                let mut distant = distant_view.distant()[region].placers().to_vec();
                home.sort();
                distant.sort();
                assert_eq!(home, distant);
            }
        }
    }
}

#[test]
fn a_deployment_of_one_region_has_the_placers_of_the_whole_fleet() {
    let fleet: Vec<Candidate> = fleet(75).into_iter().map(|(candidate, _)| candidate).collect();
    let settings = PlacingSettings::default();
    let alive = fleet.iter().map(|candidate| (*candidate, None));
    let placers = RegionalPlacers::select(alive, &Topology::default(), &settings);
    assert_eq!(placers.home(), &PlacerSet::select(&fleet, settings.placers));
    assert!(placers.distant().is_empty());
}

/// Guards against nodes of an earlier build, or heard before they named their zone, that no region counts.
#[test]
fn a_node_whose_region_is_not_known_counts_at_home() {
    let fleet = fleet(3);
    let alive = fleet.iter().map(|(candidate, _)| (*candidate, None));
    let placers = RegionalPlacers::select(alive, &topology("north"), &PlacingSettings::default());
    assert_eq!(placers.home().placers().len(), 3);
}

#[test]
fn the_loss_of_a_region_leaves_the_placers_of_the_others() {
    let fleet = fleet(75);
    let before = select(&fleet, "north");
    let survivors: Vec<_> = fleet
        .into_iter()
        .filter(|(_, region)| region.as_str() != "south")
        .collect();
    let after = select(&survivors, "north");
    assert_eq!(before.home(), after.home());
    assert_eq!(after.distant().get(&RegionId::new("south")), None);
    assert_eq!(
        before.distant()[&RegionId::new("west")],
        after.distant()[&RegionId::new("west")]
    );
}
