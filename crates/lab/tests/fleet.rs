//! What a node keeps, hears and looks at must follow the load and not the fleet: counts at two sizes, never times.

use shelfjunction_lab::fleet::{FleetFigures, measure};

const SIZES: [usize; 2] = [150, 300];

fn both() -> [FleetFigures; 2] {
    SIZES.map(|nodes| measure(nodes).expect("lists are encoded"))
}

#[test]
fn twice_the_fleet_at_the_same_load_costs_a_node_the_same() {
    let [small, large] = both();
    // Other names are in use in another fleet, so a burst meets them a little differently.
    let alike = |of: &str, one: f64, other: f64| {
        assert!((one - other).abs() < one * 0.05, "{of}: {one} and {other}");
    };
    alike(
        "engines with beliefs",
        small.engines_in_use as f64,
        large.engines_in_use as f64,
    );
    alike(
        "engines looked at in a choice",
        small.served.looked_at,
        large.served.looked_at,
    );
    alike(
        "list of a node off duty",
        small.list_bytes as f64,
        large.list_bytes as f64,
    );
    assert!(
        large.heard <= small.heard,
        "datagrams heard: {} and {}",
        small.heard,
        large.heard
    );
    assert!(
        large.pages_read < 3.0,
        "answers of the store per node: {}",
        large.pages_read
    );
}

#[test]
fn one_node_steps_in_for_one_that_is_lost() {
    assert_eq!(both().map(|figures| figures.placing_after_loss), [8, 8]);
}

#[test]
fn callers_are_served_in_time_by_the_engines_in_use() {
    for figures in both() {
        let share = figures.served.in_time as f64 / figures.served.requests as f64;
        assert!(share > 0.9, "{share:.3} in time at {} nodes", figures.nodes);
    }
}
