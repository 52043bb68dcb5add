//! What `shelfjunction duties` prints.

#![allow(clippy::unwrap_used)]

use shelfjunction::operator::duties::render;
use shelfjunction_protocol::duties::{DutiesView, PlanView, UsageView, WindowView, ZonePlanView};

fn window(window: u64, missing: &[&str], count: u64) -> WindowView {
    WindowView {
        window,
        missing: missing.iter().map(|node| (*node).to_owned()).collect(),
        counts: [("chain-a".to_owned(), count), ("chain-b".to_owned(), 1)].into(),
    }
}

#[test]
fn the_lease_usage_and_plan_are_shown() {
    let view = DutiesView {
        node: "node-1".to_owned(),
        token: Some(7),
        usage: Some(UsageView {
            window_seconds: 5.0,
            unconfirmed: 1,
            confirmed_through: Some(357_113_083),
            windows: vec![
                window(357_113_084, &[], 411),
                window(357_113_085, &["node-2", "node-3"], 9),
            ],
        }),
        plans: vec![PlanView {
            pool: "renewal".to_owned(),
            load: 76.94,
            zones: vec![ZonePlanView {
                zone: "sthlm-a".to_owned(),
                on_demand_wanted: 0,
                on_demand_running: 47,
                spot_wanted: 91,
                spot_running: 47,
                without_spot: true,
            }],
        }],
    };
    insta::assert_snapshot!(render(&view), @r"
    node node-1 holds the lease, token 7

    usage in windows of 5 s; confirmed through 357113083, 1 not confirmed
    window     tenants  requests  missing
    357113084  2        412       none
    357113085  2        10        node-2,node-3

    pool renewal: demand of late keeps 76.9 engines busy
    zone     on demand  wanted  spot  wanted  spot to be had
    sthlm-a  47         0       47    91      no
    ");
    let other = DutiesView {
        node: "node-2".to_owned(),
        ..DutiesView::default()
    };
    assert_eq!(render(&other), "node node-2 does not hold the lease\n");
}
