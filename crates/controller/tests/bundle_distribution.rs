//! A bundle reaches every zone, so does the one after it, whatever a peer names that nobody has, and a controller
//! that starts while the platform is down takes the bundle from its peers and is vouched for by another zone.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]
#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_controller::peer::client;
use shelfjunction_controller::{Controller, ControllerConfig, ControllerHandle};
use shelfjunction_core::identity::{Generation, OperatorId, ZoneId};
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::publish::{publish, publish_first};
use shelfjunction_lab::platform::faults::PlatformFaults;
use shelfjunction_lab::platform::{PlatformConfig, PlatformServer};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_protocol::peer::{BundleHead, PeerRequest, PeerResponse};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::config;

/// Far above any wait of a test that passes; only a failing test meets it.
const STUCK: Duration = Duration::from_secs(30);

struct Fleet {
    deployment: Deployment,
    platform: SocketAddr,
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    fn start(&mut self, node: &str, zone: &ZoneId) -> ControllerHandle {
        let config = ControllerConfig {
            zone: zone.clone(),
            region: self.deployment.region.clone(),
            platform: self.platform,
            seeds: self.seeds.clone(),
            roots: self.deployment.roots(),
            ..config(node)
        };
        let handle = Controller::start(config).unwrap();
        self.seeds.push(handle.peer_address());
        handle
    }
}

fn head(address: SocketAddr) -> Option<BundleHead> {
    match client::ask(address, &PeerRequest::BundleHead, STUCK).unwrap() {
        PeerResponse::Head(head) => head,
        other => panic!("{other:?}"),
    }
}

/// Names a bundle that nobody has.
fn announce_missing(address: SocketAddr, generation: Generation) {
    let head = BundleHead {
        generation,
        manifest: [0xab; 32],
        confirmed_millis_ago: 0,
    };
    let answer = client::ask(address, &PeerRequest::AnnounceHead(head), STUCK).unwrap();
    let PeerResponse::Head(Some(held)) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(held.generation, Generation(1));
}

#[test]
fn an_accepted_bundle_reaches_every_zone_and_outlives_the_platform() {
    let platform = PlatformServer::start(PlatformConfig::default()).unwrap();
    let client = HttpPlatform::new(platform.address(), PlatformTimeouts::default());
    let deployment = Deployment::pharmacy();
    let zones = deployment.zones.clone();
    let mut fleet = Fleet {
        deployment,
        platform: platform.address(),
        seeds: Vec::new(),
    };
    let first: Vec<ControllerHandle> = zones
        .iter()
        .map(|zone| fleet.start(&format!("node-{zone}"), zone))
        .collect();

    publish_first(&client, &fleet.deployment).unwrap();
    for controller in &first {
        assert!(controller.wait_generation(Generation(1), STUCK));
    }
    for generation in 40..45 {
        announce_missing(first[0].peer_address(), Generation(generation));
    }
    let operator: OperatorId = fleet.deployment.operators()[0].clone();
    let mut changed = fleet.deployment.bundle.clone();
    changed.label = "second".to_owned();
    publish(&client, &changed, &operator).unwrap();
    let accepted = Instant::now();
    for controller in &first {
        assert!(controller.wait_generation(Generation(2), STUCK));
    }
    println!("in force in every zone after {:?}", accepted.elapsed());

    platform.set_faults(PlatformFaults::outage());
    let late = fleet.start("node-late", &zones[0]);
    assert!(late.wait_generation(Generation(2), STUCK));
    assert!(
        late.wait_confirmed(STUCK),
        "no process of another zone vouched for the bundle"
    );
    let named = head(late.peer_address()).unwrap();
    assert_eq!(named.generation, Generation(2));
    assert!(named.confirmed_millis_ago < u64::MAX);

    let all: Vec<ControllerHandle> = first.into_iter().chain([late]).collect();
    all.iter().for_each(ControllerHandle::stop);
    all.into_iter().for_each(ControllerHandle::wait);
    platform.stop();
    platform.wait();
}
