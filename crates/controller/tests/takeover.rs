//! A holder that freezes with an order in its hands is followed by another, whose fences reach every engine before
//! its first change; what the first sends when it wakes has no effect. A planned stop hands the lease on at once.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]
#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_controller::{Controller, ControllerConfig, ControllerHandle, Services};
use shelfjunction_core::engine::{OrderAction, OrderReply};
use shelfjunction_core::identity::{EngineId, FencingToken};
use shelfjunction_core::lease::LeaseTimings;
use shelfjunction_core::machine::{Machine, MachineState};
use shelfjunction_lab::platform::faults::PlatformFaults;
use shelfjunction_lab::platform::{PlatformConfig, PlatformHandle, PlatformServer};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_protocol::frame::{read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::gate::{Gate, GatedEngines, GatedTable};
use support::{Engines, ToldOrder, config, engine_machine, engine_status};

/// Far above any wait of a test that passes; only a failing test meets it.
const STUCK: Duration = Duration::from_secs(30);

/// Engines of the zone; the first leaves.
const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];

struct Zone {
    platform: PlatformHandle,
    engines: Arc<Engines>,
    machines: Vec<Machine>,
}

impl Zone {
    fn new() -> Self {
        let engines = Arc::new(Engines::default());
        let mut machines = Vec::new();
        for (name, port) in ENGINES.into_iter().zip(1..) {
            // Nothing listens there: the stand-in engines are reached in memory, by this address.
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            engines
                .statuses
                .lock()
                .unwrap()
                .push((address, engine_status(name, 1)));
            machines.push(engine_machine(name, address));
        }
        let platform = PlatformServer::start(PlatformConfig {
            machines: machines.clone(),
            ..PlatformConfig::default()
        });
        Self {
            platform: platform.unwrap(),
            engines,
            machines,
        }
    }

    fn start(
        &self,
        node: &str,
        seeds: Vec<SocketAddr>,
        table: &Arc<Gate>,
        orders: &Arc<Gate>,
    ) -> ControllerHandle {
        let platform = Arc::new(HttpPlatform::new(
            self.platform.address(),
            PlatformTimeouts::default(),
        ));
        let services = Services {
            table: Arc::new(GatedTable {
                inner: platform.clone(),
                gate: Arc::clone(table),
            }),
            objects: platform.clone(),
            machines: platform.clone(),
            weights: platform,
            engines: Arc::new(GatedEngines {
                inner: self.engines.clone(),
                orders: Arc::clone(orders),
                role_changes: Arc::default(),
            }),
        };
        let lease = LeaseTimings {
            duration_millis: 2_000,
            renew_every_millis: 400,
            margin_millis: 500,
            read_every_millis: 200,
            retry_after_millis: 100,
        };
        let mut config = ControllerConfig {
            lease,
            seeds,
            ..config(node)
        };
        config.timings.engine_timeout_millis = 400;
        Controller::start_with(config, services).unwrap()
    }
}

fn is_change(told: &ToldOrder) -> bool {
    told.order.action != OrderAction::RaiseFence
}

fn is_drain(told: &ToldOrder, token: u64) -> bool {
    told.order.action == OrderAction::Drain && told.order.token == FencingToken(token)
}

/// Every engine was fenced under the token before any change under it.
fn assert_fenced_before_changes(told: &[ToldOrder], token: u64) {
    let under = told.iter().filter(|told| told.order.token == FencingToken(token));
    let fenced: BTreeSet<EngineId> = under
        .take_while(|told| !is_change(told))
        .map(|told| told.order.engine.clone())
        .collect();
    assert_eq!(fenced.len(), ENGINES.len(), "{told:#?}");
}

#[test]
fn a_frozen_holder_is_superseded_and_its_late_order_has_no_effect() {
    let mut zone = Zone::new();
    let (table, orders) = (Arc::new(Gate::default()), Arc::new(Gate::default()));
    let open = Arc::new(Gate::default());
    let first = zone.start("node-1", Vec::new(), &table, &orders);
    assert_eq!(first.wait_commanding(STUCK), Some(FencingToken(1)));
    let second = zone.start("node-2", vec![first.peer_address()], &open, &open);

    orders.close();
    zone.machines[0].state = MachineState::Leaving;
    zone.platform.set_machines(zone.machines.clone());
    // The drain is committed and stays in the first holder's hands.
    orders.wait_held(STUCK);
    table.close();
    let frozen = Instant::now();
    assert_eq!(second.wait_commanding(STUCK), Some(FencingToken(2)));
    println!("taken over and fenced after {:?}", frozen.elapsed());
    let told = zone
        .engines
        .wait_told(|told| told.iter().any(|told| is_drain(told, 2)), STUCK);
    println!("first change of the new holder after {:?}", frozen.elapsed());
    assert_fenced_before_changes(&told, 1);
    assert_fenced_before_changes(&told, 2);
    assert_eq!(first.fencing_token(), None);

    orders.open();
    let told = zone
        .engines
        .wait_told(|told| told.iter().any(|told| is_drain(told, 1)), STUCK);
    let late = told.iter().find(|told| is_drain(told, 1)).unwrap();
    assert_eq!(
        late.reply,
        OrderReply::Fenced {
            highest: FencingToken(2)
        }
    );

    table.open();
    second.stop();
    let stopped = Instant::now();
    assert_eq!(first.wait_commanding(STUCK), Some(FencingToken(3)));
    println!("taken over after a planned stop in {:?}", stopped.elapsed());
    second.wait();
    first.stop();
    first.wait();
    let told = zone.engines.told.lock().unwrap().clone();
    let mut highest = std::collections::BTreeMap::new();
    for told in told.iter().filter(|told| told.reply == OrderReply::Done) {
        let token = highest
            .entry(told.order.engine.clone())
            .or_insert(told.order.token);
        assert!(told.order.token >= *token, "an order below the fence took effect");
        *token = told.order.token;
    }
    zone.platform.stop();
    zone.platform.wait();
}

#[test]
fn a_sick_store_costs_the_lease_in_time_and_nothing_else() {
    let zone = Zone::new();
    let open = Arc::new(Gate::default());
    let holder = zone.start("node-1", Vec::new(), &open, &open);
    assert_eq!(holder.wait_commanding(STUCK), Some(FencingToken(1)));
    let mut watcher = TcpStream::connect(holder.peer_address()).unwrap();
    watcher.set_read_timeout(Some(STUCK)).unwrap();
    write_frame(&mut watcher, &PeerRequest::WatchFleet).unwrap();

    zone.platform.set_faults(PlatformFaults::outage());
    assert!(holder.wait_lease_lost(STUCK));
    let orders_before = zone.engines.told.lock().unwrap().len();
    zone.engines.statuses.lock().unwrap()[0].1.incarnation = 2;
    loop {
        let Some(PeerResponse::Records(records)) = read_frame(&mut watcher).unwrap() else {
            panic!("the stream of records ended in the outage");
        };
        if records.iter().any(|record| record.version.incarnation == 2) {
            break;
        }
    }
    // The restarted engine has lost its fence, and nobody may raise it again without the lease.
    assert_eq!(zone.engines.told.lock().unwrap().len(), orders_before);

    zone.platform.set_faults(PlatformFaults::default());
    let token = holder.wait_commanding(STUCK).unwrap();
    assert!(token > FencingToken(1));
    let told = zone
        .engines
        .wait_told(|told| told.len() >= orders_before + ENGINES.len(), STUCK);
    assert!(told[orders_before..].iter().all(|told| told.order.token == token));
    holder.stop();
    holder.wait();
    zone.platform.stop();
    zone.platform.wait();
}
