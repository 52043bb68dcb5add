//! The fault soak with regions: its schedule, its places, and the paths between regions.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::disturbances::{Disturbances, Struck};
use shelfjunction_lab::fault_soak::layout::Layout;
use shelfjunction_lab::fault_soak::region_faults::RegionFault;
use shelfjunction_lab::fault_soak::region_links::{PathFault, RegionLinks};
use shelfjunction_lab::fault_soak::schedule::{Fault, Pace, ScheduledFault, Targets, draw};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

fn drawn(seed: u64, regions: usize, pace: Pace, seconds: u64) -> Vec<ScheduledFault> {
    let targets = Targets {
        nodes: 6,
        engines: 10,
        regions,
    };
    draw(seed, Duration::from_secs(seconds), targets, pace)
}

fn of_regions(schedule: &[ScheduledFault]) -> Vec<RegionFault> {
    let faults = schedule.iter().filter_map(|scheduled| match scheduled.fault {
        Fault::Region(fault, _) => Some(fault),
        _ => None,
    });
    faults.collect()
}

#[test]
fn a_seed_draws_every_fault_of_regions_and_the_other_faults_that_it_draws_without_regions() {
    let regional = drawn(7, 3, Pace::Dense, 600);
    assert_eq!(regional, drawn(7, 3, Pace::Dense, 600));
    let faults = of_regions(&regional);
    let kinds: HashSet<_> = faults.iter().map(std::mem::discriminant).collect();
    assert_eq!(kinds.len(), 7);
    for fault in faults {
        match fault {
            RegionFault::Cut(one, other)
            | RegionFault::CutOneWay(one, other)
            | RegionFault::Slow(one, other, _) => assert!(one != other && one < 3 && other < 3, "{fault:?}"),
            RegionFault::ForgetRegion { node, region } => {
                assert_ne!(
                    Layout::new(3).region_of_node(node),
                    region,
                    "its own region stays named"
                );
            }
            RegionFault::KillPlacers(_) | RegionFault::StopEngines(_) | RegionFault::CutOffStore(_) => {}
        }
    }
    let others: Vec<_> = regional
        .iter()
        .filter(|scheduled| !matches!(scheduled.fault, Fault::Region(..)))
        .copied()
        .collect();
    assert_eq!(others, drawn(7, 1, Pace::Dense, 600));
}

#[test]
fn the_seed_of_ci_draws_what_that_run_is_for() {
    let faults = of_regions(&drawn(CI_SEED, 2, Pace::Dense, 10));
    let kinds: Vec<_> = faults.iter().map(std::mem::discriminant).collect();
    for kind in [
        RegionFault::CutOneWay(0, 1),
        RegionFault::KillPlacers(0),
        RegionFault::StopEngines(0),
        RegionFault::CutOffStore(0),
    ] {
        assert!(
            kinds.contains(&std::mem::discriminant(&kind)),
            "{kind:?} of {faults:?}"
        );
    }
}

/// Seed of the run with regions in CI.
const CI_SEED: u64 = 81_173;

#[test]
fn a_fault_of_a_region_strikes_its_nodes_and_a_cut_strikes_all() {
    let disturbances = Disturbances::default();
    let at = Duration::from_secs(5);
    let struck = RegionFault::KillPlacers(1).struck(2);
    assert_eq!(
        struck,
        Struck::Region {
            region: 1,
            regions: 2
        }
    );
    disturbances.end(disturbances.begin(struck, at), at);
    let contact = Duration::from_secs(1);
    let in_touch: Vec<bool> = (0..4)
        .map(|node| disturbances.in_touch(node, at, contact))
        .collect();
    assert_eq!(in_touch, [true, false, true, false]);
    for cut in [
        RegionFault::Cut(0, 1),
        RegionFault::CutOneWay(0, 1),
        RegionFault::Slow(0, 1, 40),
    ] {
        assert_eq!(cut.struck(3), Struck::All);
    }
}

#[test]
fn each_region_has_engines_of_every_pool_and_stage_and_a_soak_without_regions_has_the_places_it_had() {
    let layout = Layout::new(3);
    let engines = layout.engines("model", &["one", "two"]);
    for region in 0..3 {
        let of_region: HashSet<_> = (0..engines.len())
            .filter(|engine| layout.region_of_engine(*engine, engines.len()) == region)
            .map(|engine| engines[engine])
            .collect();
        let expected = [
            ("model", Some("prefill")),
            ("model", Some("decode")),
            ("one", None),
            ("two", None),
        ];
        assert_eq!(of_region, expected.into_iter().collect(), "region {region}");
    }
    assert_eq!(layout.topology_settings(Some(1)).matches("region-").count(), 4);
    let without = Layout::new(1);
    assert_eq!(without.engines("model", &["one", "two"]).len(), 9);
    assert_eq!(
        (without.zone_of_node(2), without.zone_of_engine(8, 9)),
        ("zone-a".to_owned(), "zone-a".to_owned())
    );
    assert_eq!(without.topology_settings(None), "");
}

/// A place where a node hears others by datagrams and by connections.
fn node() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        if let Ok(listener) = TcpListener::bind(socket.local_addr().unwrap()) {
            socket.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
            return (socket, listener);
        }
    }
}

fn address(node: &(UdpSocket, TcpListener)) -> SocketAddr {
    node.0.local_addr().unwrap()
}

/// The next datagram and the address that it seems to come from.
fn heard(node: &(UdpSocket, TcpListener)) -> (u8, SocketAddr) {
    let mut byte = [0];
    let (_, from) = node.0.recv_from(&mut byte).unwrap();
    (byte[0], from)
}

#[test]
fn nodes_of_two_regions_hear_each_other_at_the_address_that_answers_reach() {
    let nodes = [node(), node()];
    let links = RegionLinks::start(Layout::new(2), nodes.iter().map(address).collect()).unwrap();
    let door = links.address_for(0, address(&nodes[1]));
    assert_ne!(door, address(&nodes[1]));
    assert_eq!(
        links.address_for(1, address(&nodes[1])),
        address(&nodes[1]),
        "within its region"
    );
    nodes[0].0.send_to(&[1], door).unwrap();
    let (byte, from) = heard(&nodes[1]);
    assert_eq!((byte, from), (1, links.address_for(1, address(&nodes[0]))));
    nodes[1].0.send_to(&[2], from).unwrap();
    assert_eq!(heard(&nodes[0]), (2, door));
}

#[test]
fn a_path_cut_one_way_passes_only_the_other_way_and_passes_both_when_mended() {
    let nodes = [node(), node()];
    let links = RegionLinks::start(Layout::new(2), nodes.iter().map(address).collect()).unwrap();
    let door = |node: usize| links.address_for(1 - node, address(&nodes[node]));
    links.set_fault(0, 1, PathFault::Cut);
    nodes[0].0.send_to(&[1], door(1)).unwrap();
    nodes[1].0.send_to(&[2], door(0)).unwrap();
    assert_eq!(heard(&nodes[0]).0, 2);
    // The door takes its datagrams in a thread of its own, which may come to the first only after the fault has changed.
    while links.dropped_datagrams() == 0 {
        std::thread::yield_now();
    }
    // A connection to the other region is taken and its bytes are held until the path is mended.
    let mut connection = TcpStream::connect(door(1)).unwrap();
    connection.write_all(&[3]).unwrap();
    links.set_fault(0, 1, PathFault::Delayed(Duration::from_millis(1)));
    nodes[0].0.send_to(&[4], door(1)).unwrap();
    assert_eq!(heard(&nodes[1]).0, 4, "what was sent during the cut is lost");
    links.mend();
    let (mut taken, _) = nodes[1].1.accept().unwrap();
    let mut byte = [0];
    taken.read_exact(&mut byte).unwrap();
    assert_eq!(byte, [3]);
}
