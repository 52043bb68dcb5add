//! One size: joining, the steady state, changes, a cut, restarts and an absent store.

use super::fleet::Fleet;
use super::known::{self, Knowledge};
use super::measure::{Spread, processor_time, resident_bytes};
use super::options::ScaleOptions;
use super::plan::{ZONES, zone_id};
use super::result::{ScaleError, SizeResult, Steady};
use crate::platform::faults::{Outage, PlatformFaults, ServiceFaults};
use crate::platform::record::RecordedCall;
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::membership::record::{Liveness, Record, RecordBody};
use shelfjunction_core::membership::view::liveness;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The zone that is cut off.
const CUT_ZONE: usize = ZONES.len() - 1;

/// Changes of roles a second in a fleet of [`CHURN_NODES`]: about 47 a day for each of 920 engines.
const CHURN_PER_SECOND: f64 = 0.5;

/// Nodes to which [`CHURN_PER_SECOND`] belongs.
const CHURN_NODES: f64 = 410.0;

/// Engines that change role while a zone is cut off, about one in seven of them in that zone.
const CHANGES_IN_CUT: usize = 14;

/// Nodes whose load ages are looked at.
const AGE_SAMPLE: usize = 20;

/// What a node has sent, received and asked so far.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    bytes: u64,
    far: u64,
    datagrams: u64,
    questions: u64,
    peer: u64,
}

/// Measures one size from start to stop.
pub fn run_size(nodes: usize, options: &ScaleOptions) -> Result<SizeResult, ScaleError> {
    let mut fleet = Fleet::start(nodes, options)?;
    let mut result = SizeResult {
        nodes,
        engines: fleet.plan.engines.len(),
        ..SizeResult::default()
    };
    let generation = shelfjunction_core::identity::Generation(1);
    progress(nodes, "joining");
    result.joined = known::wait_for_join(&fleet, generation, options.patience);
    progress(nodes, "steady");
    std::thread::sleep(options.rest + options.settle_per_node * u32::try_from(nodes).unwrap_or(u32::MAX));
    result.steady = measure_steady(&fleet, options);
    progress(nodes, "changes");
    measure_changes(&mut fleet, options, &mut result)?;
    progress(nodes, "cut");
    measure_cut(&fleet, options, &mut result);
    progress(nodes, "restarts");
    measure_restarts(&fleet, options, &mut result)?;
    progress(nodes, "absent store");
    measure_absent_store(&fleet, options, &mut result);
    fleet.stop();
    Ok(result)
}

fn progress(nodes: usize, phase: &str) {
    log::info!(nodes = nodes, phase = phase; "scale");
}

fn measure_steady(fleet: &Fleet, options: &ScaleOptions) -> Steady {
    let (before, processor_before) = (spent(fleet), processor_time());
    let records_before = last_record(fleet);
    let begin = Instant::now();
    churn(fleet, options.steady);
    let processor = processor_time().saturating_sub(processor_before);
    let elapsed = begin.elapsed().as_secs_f64();
    let after = spent(fleet);
    let rate = |figure: fn(&Spent) -> u64| rates(&before, &after, elapsed, figure);
    let (near_load_age, load_age) = load_ages(fleet);
    let calls = calls_after(fleet, records_before);
    Steady {
        bytes: rate(|spent| spent.bytes),
        far_bytes: rate(|spent| spent.far),
        datagrams: rate(|spent| spent.datagrams),
        questions: rate(|spent| spent.questions),
        processor_share: processor.as_secs_f64() / elapsed / fleet.plan.nodes.len() as f64,
        resident_bytes: resident_bytes() as f64,
        near_load_age,
        load_age,
        table_calls_per_second: calls.table as f64 / elapsed,
        list_calls_per_second: calls.list as f64 / elapsed,
    }
}

/// Lets roles change now and then for a time.
fn churn(fleet: &Fleet, time: Duration) {
    let rate = CHURN_PER_SECOND * fleet.plan.nodes.len() as f64 / CHURN_NODES;
    let changes = (rate * time.as_secs_f64()).round().max(1.0) as usize;
    change_roles(fleet, changes, time);
}

fn change_roles(fleet: &Fleet, changes: usize, time: Duration) {
    for change in 0..changes {
        let engine = &fleet.plan.engines[change * 31 % fleet.plan.engines.len()];
        fleet.surroundings.engines.change_role(engine.address);
        std::thread::sleep(time / u32::try_from(changes).unwrap_or(1));
    }
}

fn measure_changes(
    fleet: &mut Fleet,
    options: &ScaleOptions,
    result: &mut SizeResult,
) -> Result<(), ScaleError> {
    let before = spent(fleet);
    let generation = fleet.publish_change()?;
    let in_force = known::wait_for_all(fleet, &[Knowledge::InForce(generation)], options.patience);
    result.bundle_in_force = in_force[0];
    let after = spent(fleet);
    result.bundle_bytes = rates(&before, &after, 1.0, |spent| spent.peer).mean;
    let engines = fleet.plan.engines.len();
    let (leaving, dead) = (engines / 3, engines / 2);
    let node = fleet.plan.nodes.len() / 2;
    fleet.mark_leaving(leaving);
    let new = fleet.add_engine();
    fleet.surroundings.engines.kill(fleet.plan.engines[dead].address);
    fleet.kill_node(node);
    let awaited = [
        Knowledge::Leaving(fleet.plan.engines[leaving].engine.clone()),
        Knowledge::Present(new.engine),
        Knowledge::DeadEngine(fleet.plan.engines[dead].engine.clone()),
        Knowledge::DeadNode(fleet.plan.nodes[node].node.clone()),
    ];
    let times = known::wait_for_all(fleet, &awaited, options.patience);
    result.leaving_known = times[0];
    result.new_known = times[1];
    result.dead_engine_known = times[2];
    result.dead_node_known = times[3];
    fleet.start_node(node, 2)
}

fn measure_cut(fleet: &Fleet, options: &ScaleOptions, result: &mut SizeResult) {
    known::wait_for_agreement(fleet, options.rest);
    let dead_before = dead_subjects(fleet);
    fleet.surroundings.links.cut(CUT_ZONE);
    change_roles(fleet, CHANGES_IN_CUT, options.outage);
    result.dead_by_cut = dead_subjects(fleet).saturating_sub(dead_before);
    let before = spent(fleet);
    let begin = Instant::now();
    fleet.surroundings.links.heal();
    result.agreed_after_cut = known::wait_for_agreement(fleet, options.patience);
    let elapsed = begin.elapsed().as_secs_f64().max(1.0);
    result.heal_bytes = rates(&before, &spent(fleet), elapsed, |spent| spent.bytes + spent.peer);
}

fn measure_restarts(
    fleet: &Fleet,
    options: &ScaleOptions,
    result: &mut SizeResult,
) -> Result<(), ScaleError> {
    let before = spent(fleet);
    let begin = Instant::now();
    let mut awaited = Vec::new();
    for restart in 0..options.restarts {
        let node = (restart * 11 + 3) % fleet.plan.nodes.len();
        fleet.kill_node(node);
        fleet.start_node(node, 3)?;
        awaited.push(Knowledge::Restarted(fleet.plan.nodes[node].node.clone(), 3));
        std::thread::sleep(options.restart_interval);
    }
    let times = known::wait_for_all(fleet, &awaited, options.patience);
    let all: Option<Vec<Duration>> = times.into_iter().collect();
    result.restart_known = all.and_then(|times| times.into_iter().max());
    let elapsed = begin.elapsed().as_secs_f64();
    result.restart_bytes = rates(&before, &spent(fleet), elapsed, |spent| spent.bytes + spent.peer);
    Ok(())
}

fn measure_absent_store(fleet: &Fleet, options: &ScaleOptions, result: &mut SizeResult) {
    let outage = ServiceFaults {
        outage: Outage::Refusing,
        ..ServiceFaults::default()
    };
    let records = last_record(fleet);
    fleet.platform.set_faults(PlatformFaults::everywhere(outage));
    let begin = Instant::now();
    std::thread::sleep(options.outage);
    let ages = fleet.each_node(|_, node| node.gossip.head_confirmed_age().unwrap_or(Duration::MAX));
    result.away_confirmation_age = ages.into_iter().max().unwrap_or_default();
    let calls = calls_after(fleet, records);
    result.away_calls_per_second = (calls.table + calls.list) as f64 / begin.elapsed().as_secs_f64();
    fleet.platform.set_faults(PlatformFaults::default());
}

fn spent(fleet: &Fleet) -> BTreeMap<usize, Spent> {
    let all = fleet.each_node(|number, node| {
        let counters = node.gossip.counters();
        let spent = Spent {
            bytes: counters.bytes_in + counters.bytes_out,
            far: counters.bytes_out_far,
            datagrams: counters.datagrams_in + counters.datagrams_out,
            questions: node.questions(),
            peer: node.peer_bytes.total(),
        };
        (number, spent)
    });
    all.into_iter().collect()
}

/// What each node spent a second; nodes that were started in between count from zero.
fn rates(
    before: &BTreeMap<usize, Spent>,
    after: &BTreeMap<usize, Spent>,
    seconds: f64,
    figure: fn(&Spent) -> u64,
) -> Spread {
    let rate = |(node, spent): (&usize, &Spent)| {
        let start = before
            .get(node)
            .map(figure)
            .filter(|start| *start <= figure(spent));
        (figure(spent) - start.unwrap_or_default()) as f64 / seconds
    };
    Spread::of(after.iter().map(rate).collect())
}

fn dead_subjects(fleet: &Fleet) -> usize {
    let dead = fleet.each_node(|_, node| {
        let records = node.gossip.records();
        records
            .iter()
            .filter(|record| liveness(record) == Liveness::Dead)
            .count()
    });
    dead.into_iter().max().unwrap_or_default()
}

/// Ages of load reports in seconds: of the same zone's engines, and of all.
fn load_ages(fleet: &Fleet) -> (Spread, Spread) {
    let step = fleet.plan.nodes.len().div_ceil(AGE_SAMPLE);
    let (mut near, mut all) = (Vec::new(), Vec::new());
    fleet.each_node(|number, node| {
        if number % step != 0 {
            return;
        }
        let own = zone_id(node.plan.zone);
        for record in node.gossip.records() {
            let Some((zone, age)) = engine_age(&record) else {
                continue;
            };
            all.push(age);
            if zone == own {
                near.push(age);
            }
        }
    });
    (Spread::of(near), Spread::of(all))
}

fn engine_age(record: &Record) -> Option<(ZoneId, f64)> {
    match &record.body {
        RecordBody::Engine(engine) => Some((engine.zone.clone(), f64::from(record.age_millis) / 1_000.0)),
        RecordBody::Node(_) => None,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    table: u64,
    list: u64,
}

fn last_record(fleet: &Fleet) -> u64 {
    fleet
        .platform
        .records_after(0)
        .last()
        .map(|record| record.sequence)
        .unwrap_or_default()
}

fn calls_after(fleet: &Fleet, sequence: u64) -> Calls {
    let mut calls = Calls::default();
    for record in fleet.platform.records_after(sequence) {
        match record.call {
            RecordedCall::Transact { .. } | RecordedCall::ReadRow { .. } | RecordedCall::Scan { .. } => {
                calls.table += 1;
            }
            RecordedCall::Machines => calls.list += 1,
            _ => {}
        }
    }
    calls
}
