//! Engines that only have a status.

use super::plan::EnginePlan;
use shelfjunction_core::engine::{EngineStatus, LoadReport, LoadedWeights, Role};
use shelfjunction_core::identity::{AdapterId, EngineId, FencingToken, ModelId, WeightVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Size of an engine's KV cache, in tokens.
const CACHE_TOKENS: u64 = 2_000_000;

/// Adapters that an engine holds.
const ADAPTERS: usize = 2;

#[derive(Clone, Debug)]
struct HollowEngine {
    engine: EngineId,
    alive: bool,
    role: Role,
    questions: u64,
}

/// All engines of a fleet, by address.
#[derive(Debug, Default)]
pub struct HollowEngines {
    engines: Mutex<BTreeMap<SocketAddr, HollowEngine>>,
}

impl HollowEngines {
    /// Starts an engine.
    pub fn start(&self, plan: &EnginePlan) {
        let engine = HollowEngine {
            engine: plan.engine.clone(),
            alive: true,
            role: Role::Mixed,
            questions: 0,
        };
        self.lock().insert(plan.address, engine);
    }

    /// Kills an engine.
    pub fn kill(&self, address: SocketAddr) {
        if let Some(engine) = self.lock().get_mut(&address) {
            engine.alive = false;
        }
    }

    /// Gives an engine another role.
    pub fn change_role(&self, address: SocketAddr) {
        if let Some(engine) = self.lock().get_mut(&address) {
            engine.role = match engine.role {
                Role::Prefill => Role::Decode,
                Role::Decode => Role::Mixed,
                Role::Mixed => Role::Prefill,
            };
        }
    }

    /// The status, when the engine lives.
    pub fn status(&self, address: SocketAddr) -> Option<EngineStatus> {
        let mut engines = self.lock();
        let engine = engines.get_mut(&address).filter(|engine| engine.alive)?;
        engine.questions += 1;
        Some(status(engine))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, HollowEngine>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn status(engine: &HollowEngine) -> EngineStatus {
    // The load moves with every question, as a busy engine's does.
    let wave = engine.questions * 7_919 % 40_000;
    let load = LoadReport {
        requests_in_flight: u32::try_from(wave % 64).unwrap_or_default(),
        queued_prefill_tokens: wave,
        queued_decode_tokens: 40_000 - wave,
        active_sequences: u32::try_from(wave % 48).unwrap_or_default(),
        cache_tokens_used: CACHE_TOKENS / 2 + wave,
        cache_tokens_capacity: CACHE_TOKENS,
        prefill_tokens_per_second: 24_000 + wave,
        decode_tokens_per_second: 3_000 + wave / 10,
    };
    EngineStatus {
        engine: engine.engine.clone(),
        incarnation: 1,
        fence: FencingToken(17),
        last_order: None,
        role: engine.role,
        draining: false,
        changing: false,
        weights: vec![LoadedWeights {
            model: ModelId::new("renewal-large"),
            version: WeightVersion::new("2026-11-02"),
            adapters: (0..ADAPTERS)
                .map(|number| AdapterId::new(format!("adapter-{number}")))
                .collect(),
        }],
        load,
    }
}
