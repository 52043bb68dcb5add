//! Makes the faults of regions happen, each in its time, and takes them back.

use super::deployment::Deployment;
use super::layout::region_name;
use super::region_faults::RegionFault;
use super::region_links::PathFault;
use crate::relay::LinkFault;
use shelfjunction_protocol::regions::{REGIONS_PATH, RegionsView};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Longest wait for a node's word on who places for its region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Carries out one fault; `restart` starts a node.
pub(super) fn strike(
    deployment: &Deployment,
    fault: RegionFault,
    lasts: Duration,
    restart: fn(&Deployment, usize),
) {
    let wait = || thread::sleep(lasts);
    match fault {
        RegionFault::Cut(region, other) => {
            set_paths(deployment, &[(region, other), (other, region)], PathFault::Cut);
            wait();
            set_paths(deployment, &[(region, other), (other, region)], PathFault::None);
        }
        RegionFault::CutOneWay(from, to) => {
            set_paths(deployment, &[(from, to)], PathFault::Cut);
            wait();
            set_paths(deployment, &[(from, to)], PathFault::None);
        }
        RegionFault::Slow(region, other, millis) => {
            let slow = PathFault::Delayed(Duration::from_millis(millis));
            set_paths(deployment, &[(region, other), (other, region)], slow);
            wait();
            set_paths(deployment, &[(region, other), (other, region)], PathFault::None);
        }
        RegionFault::KillPlacers(region) => {
            let placers = placers(deployment, region);
            log::info!(region, placers:? = placers; "placers_killed");
            placers.iter().for_each(|node| deployment.kill(*node));
            wait();
            placers.iter().for_each(|node| restart(deployment, *node));
        }
        RegionFault::StopEngines(region) => {
            let engines = deployment.engines_of(region);
            engines.iter().for_each(|engine| deployment.end_engine(*engine));
            thread::sleep(lasts / 2);
            engines.iter().for_each(|engine| deployment.unlist(*engine));
            thread::sleep(lasts / 2);
            for engine in engines {
                if let Err(error) = deployment.replace(engine) {
                    log::error!(engine, error:% = error; "engine_not_replaced");
                }
            }
        }
        RegionFault::CutOffStore(region) => {
            let nodes = deployment.nodes_of(region);
            let set = |fault| {
                nodes
                    .iter()
                    .for_each(|node| deployment.store_link(*node).set_fault(fault))
            };
            set(LinkFault::Silent);
            wait();
            set(LinkFault::None);
        }
        RegionFault::ForgetRegion { node, region } => {
            write_settings(deployment, node, Some(region));
            wait();
            write_settings(deployment, node, None);
        }
    }
}

fn set_paths(deployment: &Deployment, paths: &[(usize, usize)], fault: PathFault) {
    if let Some(links) = &deployment.region_links {
        paths
            .iter()
            .for_each(|(from, to)| links.set_fault(*from, *to, fault));
    }
}

fn write_settings(deployment: &Deployment, node: usize, left_out: Option<usize>) {
    if let Err(error) = deployment.name_regions(node, left_out) {
        log::error!(node, error:% = error; "settings_not_written");
    }
    deployment.reload(node);
}

/// The nodes that any node of a region takes for its placers; every node of the region if none tells.
fn placers(deployment: &Deployment, region: usize) -> BTreeSet<usize> {
    let nodes = deployment.nodes_of(region);
    let told = nodes
        .iter()
        .filter_map(|node| told_placers(deployment.metrics_address(*node)?, region));
    let names: BTreeSet<String> = told.flatten().collect();
    let placers: BTreeSet<usize> = nodes
        .iter()
        .copied()
        .filter(|node| names.contains(&format!("node-{node}")))
        .collect();
    if placers.is_empty() {
        return nodes.into_iter().collect();
    }
    placers
}

fn told_placers(address: SocketAddr, region: usize) -> Option<Vec<String>> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(ANSWER_TIMEOUT))
        .build()
        .into();
    let mut answer = agent.get(format!("http://{address}{REGIONS_PATH}")).call().ok()?;
    let text = answer.body_mut().read_to_string().ok()?;
    let view: RegionsView = serde_json::from_str(&text).ok()?;
    let mut regions = view.regions.into_iter();
    regions
        .find(|view| view.region == region_name(region))
        .map(|view| view.placers)
}
