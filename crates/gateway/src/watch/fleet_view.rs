//! Engines and nodes as controllers report them, and the router that chooses among the engines.

use crate::identifiers::engine_tag;
use shelfjunction_core::admission::ModelCapacity;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::identity::{EngineId, ModelId, NodeId, ZoneId};
use shelfjunction_core::machine::MachineService;
use shelfjunction_core::membership::record::{
    EngineRecord, Liveness, NodeRecord, Record, RecordBody, RecordKey, RecordVersion,
};
use shelfjunction_core::routing::{KvRouter, RoutingWeights};
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// A node as it was last reported.
#[derive(Clone, Debug)]
pub(crate) struct KnownNode {
    pub(crate) record: NodeRecord,
    pub(crate) observed_at: MonotonicTime,
}

/// Everything known of the fleet.
pub(crate) struct FleetView {
    /// Chooses engines.
    pub(crate) router: KvRouter,
    nodes: BTreeMap<NodeId, KnownNode>,
    versions: HashMap<RecordKey, RecordVersion>,
}

impl FleetView {
    pub(crate) fn new(weights: RoutingWeights) -> Self {
        Self {
            router: KvRouter::new(weights),
            nodes: BTreeMap::new(),
            versions: HashMap::new(),
        }
    }

    /// Takes a record in unless a newer one on its subject is known.
    pub(crate) fn take(&mut self, record: Record, now: MonotonicTime) {
        let known = self.versions.get(&record.key);
        if known.is_some_and(|known| *known > record.version) {
            return;
        }
        let age = Duration::from_millis(record.age_millis.into());
        match (&record.key, record.body) {
            (RecordKey::Engine(engine), RecordBody::Engine(body)) => {
                self.router.on_engine_record(engine, &body, age, now);
            }
            (RecordKey::Node(node), RecordBody::Node(body)) => {
                let known = KnownNode {
                    record: body,
                    observed_at: now - age,
                };
                self.nodes.insert(node.clone(), known);
                self.router.set_gateways(self.live_gateways());
            }
            _ => return,
        }
        self.versions.insert(record.key, record.version);
    }

    /// Whether any engine is known.
    pub(crate) fn knows_engines(&self) -> bool {
        self.router.engines().next().is_some()
    }

    /// Nodes by identifier.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = (&NodeId, &KnownNode)> {
        self.nodes.iter()
    }

    /// Where an engine listens.
    pub(crate) fn address(&self, engine: &EngineId) -> Option<SocketAddr> {
        self.router.engine(engine)?.address()
    }

    /// Zone of an engine.
    pub(crate) fn zone(&self, engine: &EngineId) -> Option<ZoneId> {
        Some(self.router.engine(engine)?.record.zone.clone())
    }

    /// Start of an engine's process that was last seen; zero before the first status.
    pub(crate) fn incarnation(&self, engine: &EngineId) -> u64 {
        let view = self.router.engine(engine);
        let status = view.and_then(|view| view.status());
        status.map_or(0, |status| status.incarnation)
    }

    /// The engine whose tag a caller's identifier carries.
    pub(crate) fn engine_with_tag(&self, tag: &str) -> Option<EngineId> {
        let mut engines = self.router.engines().map(|(engine, _)| engine);
        engines.find(|engine| engine_tag(engine) == tag).cloned()
    }

    /// Model engines that answer, with their addresses.
    pub(crate) fn cache_sources(&self) -> Vec<(EngineId, SocketAddr)> {
        self.router
            .engines()
            .filter(|(_, view)| is_alive_model_engine(&view.record))
            .filter_map(|(engine, view)| Some((engine.clone(), view.address()?)))
            .collect()
    }

    /// What the live engines of a model can do, over every zone.
    pub(crate) fn capacity(
        &self,
        model: &ModelId,
        kind: ModelKind,
        now: MonotonicTime,
    ) -> Option<ModelCapacity> {
        let capacity = self.router.capacity(model, now);
        let serves = kind == ModelKind::Model && capacity.prefill_tokens_per_second > 0.0;
        serves.then_some(capacity)
    }

    fn live_gateways(&self) -> u32 {
        let alive = |node: &&KnownNode| node.record.liveness == Liveness::Alive;
        let count = self.nodes.values().filter(alive).count();
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }
}

fn is_alive_model_engine(record: &EngineRecord) -> bool {
    record.liveness == Liveness::Alive && matches!(record.service, MachineService::ModelEngine { .. })
}
