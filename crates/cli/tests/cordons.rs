//! What `shelfjunction cordons`, `shelfjunction pool-engines` and `shelfjunction regions` print.

use shelfjunction::operator::{cordons, pool_engines, regions};
use shelfjunction_protocol::cordons::{CordonView, CordonsView, EngineView, EnginesView};
use shelfjunction_protocol::regions::{RegionView, RegionsView};

#[test]
fn cordons_are_shown_with_who_asked_and_when_they_lift_themselves() {
    let view = CordonsView {
        node: "node-1".to_owned(),
        version: 4,
        nodes_heard: 7,
        nodes_alike: 6,
        cordons: vec![
            CordonView {
                target: "engine/i-7f3a91c2".to_owned(),
                by: "alice".to_owned(),
                since_seconds: 12,
                left_seconds: 588,
                forced: false,
            },
            CordonView {
                target: "zone/render/imanta".to_owned(),
                by: "bob".to_owned(),
                since_seconds: 3,
                left_seconds: 57,
                forced: true,
            },
        ],
    };
    insta::assert_snapshot!(cordons::render(&view), @r"
    node node-1: version 4, told by 6 of 7 nodes that it hears
    target              by     for s  left s  forced
    engine/i-7f3a91c2   alice  12     588     no
    zone/render/imanta  bob    3      57      yes
    ");
    let empty = CordonsView {
        node: "node-2".to_owned(),
        ..CordonsView::default()
    };
    insta::assert_snapshot!(cordons::render(&empty), @r"
    node node-2: version 0, told by 0 of 0 nodes that it hears
    no cordons
    ");
}

#[test]
fn engines_are_shown_with_their_start_their_work_and_why_they_are_left_alone() {
    let engine = EngineView {
        engine: "i-7f3a91c2".to_owned(),
        start: 1_712,
        pool: "render".to_owned(),
        zone: "imanta".to_owned(),
        stage: "decode".to_owned(),
        work_factor: 1.6,
        requests: 12,
        outputs: 9,
        waiting: Some(1),
        prompt_tokens: 4_096,
        left_alone: None,
        left_alone_seconds: None,
    };
    let paused = EngineView {
        engine: "i-02d9e6b4".to_owned(),
        waiting: None,
        left_alone: Some("paused".to_owned()),
        left_alone_seconds: Some(0.4),
        ..engine.clone()
    };
    let view = EnginesView {
        node: "node-1".to_owned(),
        engines: vec![engine, paused],
    };
    insta::assert_snapshot!(pool_engines::render(&view), @r"
    node node-1
    engine      start  pool    zone    stage   work takes  requests  outputs  waiting  prompt tokens  left alone
    i-7f3a91c2  1712   render  imanta  decode  1.60        12        9        1        4096           no
    i-02d9e6b4  1712   render  imanta  decode  1.60        12        9        -        4096           paused, 0.4 s more
    ");
}

#[test]
fn regions_are_shown_with_their_nodes_placers_engines_and_cordons() {
    let east = RegionView {
        region: "east".to_owned(),
        nodes_known: 24,
        nodes_heard: 23,
        placers: vec!["node-1".to_owned(), "node-2".to_owned()],
        is_placer: true,
        engines: [("decode".to_owned(), 18), ("prefill".to_owned(), 12)].into(),
        round_trip_millis: Some(1.84),
        round_trip_age_seconds: Some(0.2),
        placements: 4_096,
        cordoned_seconds: None,
        cordoned_by_force: false,
    };
    let west = RegionView {
        region: "west".to_owned(),
        cordoned_seconds: Some(540),
        cordoned_by_force: true,
        ..RegionView::default()
    };
    let view = RegionsView {
        node: "node-1".to_owned(),
        home: Some("east".to_owned()),
        regions: vec![east, west],
        nodes_without_region: 1,
        unnamed_zones: vec!["zone-x".to_owned()],
    };
    insta::assert_snapshot!(regions::render(&view), @r"
    node node-1: home region east
    region  nodes heard  placers          engines                round trip       placements  cordoned
    east    23 of 24     2, this one too  18 decode, 12 prefill  1.8 ms, 0 s ago  4096        no
    west    0 of 0       -                none                   -                0           by force, 540 s more
    nodes without a known region: 1
    zones that the settings do not name: zone-x
    ");
    let without = RegionsView {
        node: "node-1".to_owned(),
        ..RegionsView::default()
    };
    insta::assert_snapshot!(regions::render(&without), @"node node-1: the settings name no regions");
}
