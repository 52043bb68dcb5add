//! Shares of a tenant's rate while regions have lost each other.

use shelfjunction_core::tenancy::rate_owner::{RegionReach, regional_rate_share};

/// The bound on what all owners together may grant, as a part of the rate.
const BOUND: f64 = 1.1;

/// Share of an owner in region `home` if `connected[a][b]` says whether the regions `a` and `b` hear each other.
fn share(sizes: [u32; 3], connected: &[[bool; 3]; 3], home: usize) -> f64 {
    let reach = |region: usize| RegionReach {
        reached: if connected[home][region] { sizes[region] } else { 0 },
        nodes: sizes[region],
    };
    let others: Vec<RegionReach> = (0..3).filter(|region| *region != home).map(reach).collect();
    regional_rate_share(reach(home), &others)
}

/// Regions whose candidate charges requests: each region asks the first that it hears, and that one charges if it hears none before it.
fn owners(connected: &[[bool; 3]; 3], ranks: [usize; 3]) -> Vec<usize> {
    let first_heard = |region: usize| ranks.into_iter().find(|owner| connected[region][*owner]);
    let mut owners: Vec<usize> = (0..3)
        .filter_map(first_heard)
        .filter(|owner| first_heard(*owner) == Some(*owner))
        .collect();
    owners.sort_unstable();
    owners.dedup();
    owners
}

/// Guards against two owners that both count the nodes of a region which both reach: 1.33 of the rate with three equal regions.
#[test]
fn owners_together_stay_within_the_bound_whichever_regions_lose_each_other() {
    let ranks = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for sizes in [[3, 3, 3], [25, 25, 25], [60, 10, 5], [1, 8, 90], [300, 20, 665]] {
        for cuts in 0..8u32 {
            let hear = |one: usize, other: usize| one == other || cuts & (1 << (one + other - 1)) == 0;
            let connected = [0, 1, 2].map(|one| [0, 1, 2].map(|other| hear(one, other)));
            for ranks in ranks {
                let total: f64 = owners(&connected, ranks)
                    .into_iter()
                    .map(|owner| share(sizes, &connected, owner))
                    .sum();
                assert!(total <= BOUND, "{sizes:?} {connected:?} {ranks:?}: {total}");
            }
        }
    }
}

#[test]
fn an_owner_that_reaches_nine_tenths_of_every_region_has_the_whole_rate() {
    let reach = |reached, nodes| RegionReach { reached, nodes };
    assert_eq!(
        regional_rate_share(reach(9, 10), &[reach(18, 20), reach(10, 10)]),
        1.0
    );
    assert!(regional_rate_share(reach(10, 10), &[reach(17, 20), reach(10, 10)]) < 1.0);
}
