//! A running fleet of hollow nodes and engines with its platform.

use super::bundles::{changed_bundle, large_bundle};
use super::driver::{Drivers, Slots};
use super::hollow_engine::HollowEngines;
use super::hollow_node::{HollowNode, Surroundings};
use super::links::Links;
use super::options::ScaleOptions;
use super::plan::{EnginePlan, FleetPlan, engine_plan};
use super::result::ScaleError;
use crate::cluster::deployment::Deployment;
use crate::cluster::publish::publish;
use crate::platform::config::{PlatformConfig, RateLimit};
use crate::platform::{PlatformHandle, PlatformServer};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::identity::Generation;
use shelfjunction_core::machine::{Machine, MachineState};
use shelfjunction_platform::clock::MonotonicClock;
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Calls a second that the stand-in's object store allows while a bundle is stored; the run measures control, not it.
const OBJECT_CALLS_PER_SECOND: f64 = 100_000.0;

/// Seeds of each node.
const SEEDS: usize = 3;

/// A running fleet.
pub struct Fleet {
    /// What it consists of.
    pub plan: FleetPlan,
    /// Its nodes.
    pub slots: Arc<Slots>,
    /// Its platform.
    pub platform: PlatformHandle,
    /// What its nodes share.
    pub surroundings: Surroundings,
    drivers: Drivers,
    deployment: Deployment,
    bundle: Bundle,
    changes: usize,
    machines: Vec<Machine>,
}

impl Fleet {
    /// Starts the platform, stores the first bundle, and starts every node and engine.
    pub fn start(nodes: usize, options: &ScaleOptions) -> Result<Self, ScaleError> {
        let plan = FleetPlan::new(nodes);
        let mut config = PlatformConfig {
            machines: plan.machines(),
            ..PlatformConfig::default()
        };
        config.limits.objects = RateLimit {
            calls_per_second: OBJECT_CALLS_PER_SECOND,
            burst: OBJECT_CALLS_PER_SECOND,
        };
        let platform = PlatformServer::start(config).map_err(ScaleError::Platform)?;
        let deployment = Deployment::pharmacy();
        let surroundings = Surroundings {
            platform: HttpPlatform::new(platform.address(), PlatformTimeouts::default()),
            engines: Arc::new(HollowEngines::default()),
            links: Links::default(),
            roots: deployment.roots(),
            clock: MonotonicClock::start(),
        };
        plan.engines
            .iter()
            .for_each(|engine| surroundings.engines.start(engine));
        let slots: Arc<Slots> = Arc::new(plan.nodes.iter().map(|_| Mutex::new(None)).collect());
        let drivers = Drivers::start(&slots).map_err(ScaleError::Thread)?;
        let bundle = large_bundle(&deployment, options.tenants);
        let machines = plan.machines();
        let mut fleet = Self {
            plan,
            slots,
            platform,
            surroundings,
            drivers,
            deployment,
            bundle,
            changes: 0,
            machines,
        };
        fleet.publish_change()?;
        for node in 0..fleet.plan.nodes.len() {
            fleet.start_node(node, 1)?;
        }
        Ok(fleet)
    }

    /// Starts a node that is down.
    pub fn start_node(&self, node: usize, incarnation: u64) -> Result<(), ScaleError> {
        let plan = self.plan.nodes[node].clone();
        let seeds = self.seeds(node);
        let started = HollowNode::start(plan, seeds, incarnation, self.surroundings.clone());
        let started = started.map_err(ScaleError::Node)?;
        *self.slots[node].lock().unwrap_or_else(PoisonError::into_inner) = Some(started);
        Ok(())
    }

    /// Kills a node: it says nothing more.
    pub fn kill_node(&self, node: usize) {
        let killed = self.slots[node]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(mut killed) = killed {
            killed.stop();
        }
    }

    /// Signs a bundle with one tenant changed and makes it current; gives its generation.
    pub fn publish_change(&mut self) -> Result<Generation, ScaleError> {
        let bundle = changed_bundle(&self.bundle, self.changes);
        self.changes += 1;
        let operators = self.deployment.operators();
        let row =
            publish(&self.surroundings.platform, &bundle, &operators[0]).map_err(ScaleError::Publish)?;
        self.bundle = bundle;
        Ok(row.generation)
    }

    /// Lists an engine as leaving.
    pub fn mark_leaving(&mut self, engine: usize) {
        let name = self.plan.engines[engine].engine.as_str();
        for machine in self.machines.iter_mut().filter(|machine| machine.name == *name) {
            machine.state = MachineState::Leaving;
        }
        self.platform.set_machines(self.machines.clone());
    }

    /// Starts and lists one more engine.
    pub fn add_engine(&mut self) -> EnginePlan {
        let engine = engine_plan(self.plan.engines.len());
        self.surroundings.engines.start(&engine);
        self.machines.push(engine.machine(MachineState::Live));
        self.platform.set_machines(self.machines.clone());
        engine
    }

    /// Applies a function to every node that runs.
    pub fn each_node<T>(&self, mut visit: impl FnMut(usize, &HollowNode) -> T) -> Vec<T> {
        let mut seen = Vec::new();
        for (number, slot) in self.slots.iter().enumerate() {
            let slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(node) = slot.as_ref() {
                seen.push(visit(number, node));
            }
        }
        seen
    }

    /// Ends everything.
    pub fn stop(mut self) {
        self.drivers.stop();
        let nodes: Vec<HollowNode> = self
            .slots
            .iter()
            .filter_map(|slot| slot.lock().unwrap_or_else(PoisonError::into_inner).take())
            .collect();
        nodes.iter().for_each(|node| node.gossip.begin_stop());
        for mut node in nodes {
            node.stop();
        }
        self.platform.stop();
        self.platform.wait();
    }

    fn seeds(&self, node: usize) -> Vec<SocketAddr> {
        let others = self
            .plan
            .nodes
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != node);
        others.take(SEEDS).map(|(_, plan)| plan.controller).collect()
    }
}
