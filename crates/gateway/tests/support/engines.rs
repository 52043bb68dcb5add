//! Engines that answer each call with the same words, and note what they were told.

use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::{
    AnswerPart, EngineCall, EngineRefusal, EngineRefusalReason, EngineStatus, LoadReport, LoadedWeights,
    Order, OrderReply, Phase, Role, RunState,
};
use shelfjunction_core::identity::{EngineId, FencingToken, RequestId, WeightVersion, ZoneId};
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::membership::record::{
    EngineRecord, Liveness, Record, RecordBody, RecordKey, RecordVersion,
};
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_platform::engine::{
    AnswerStream, CallError, ControlError, EngineClient, KvEventBatch, StreamError,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};

/// Words of every answer.
pub const WORDS: [&str; 4] = ["one ", "two ", "three ", "four"];

/// Handle of every KV cache.
pub const HANDLE: &str = "cache-1";

/// Words that may leave; raised by the test.
#[derive(Default)]
struct Gate {
    open: Mutex<usize>,
    raised: Condvar,
}

/// All engines of a deployment: one model and one application engine in each zone.
pub struct ScriptedEngines {
    records: Vec<Record>,
    zones: HashMap<SocketAddr, ZoneId>,
    calls: Mutex<Vec<(SocketAddr, EngineCall)>>,
    gate: Arc<Gate>,
    break_after: Mutex<Option<usize>>,
}

impl ScriptedEngines {
    /// Engines of which each serves both phases.
    pub fn new(deployment: &Deployment) -> Self {
        Self::with_roles(deployment, &[Role::Mixed])
    }

    /// Engines whose roles are given by zone, in turn.
    pub fn with_roles(deployment: &Deployment, roles: &[Role]) -> Self {
        let mut records = Vec::new();
        let mut zones = HashMap::new();
        for (index, zone) in deployment.zones.iter().enumerate() {
            for rule in &deployment.bundle.models {
                let kind_offset = if rule.kind == ModelKind::Model { 0 } else { 100 };
                let port = u16::try_from(1 + kind_offset + index).unwrap();
                let address = SocketAddr::from(([127, 0, 0, 1], port));
                zones.insert(address, zone.clone());
                let role = roles[index % roles.len()];
                records.push(record(zone, address, rule, role));
            }
        }
        let gate = Gate::default();
        *gate.open.lock().unwrap() = usize::MAX;
        Self {
            records,
            zones,
            calls: Mutex::default(),
            gate: Arc::new(gate),
            break_after: Mutex::default(),
        }
    }

    pub fn records(&self) -> Vec<Record> {
        self.records.clone()
    }

    /// Calls that were taken, with the zone of their engine.
    pub fn calls(&self) -> Vec<(ZoneId, EngineCall)> {
        let calls = self.calls.lock().unwrap();
        calls
            .iter()
            .map(|(address, call)| (self.zones[address].clone(), call.clone()))
            .collect()
    }

    /// Lets only so many words of each answer leave.
    pub fn open_gate(&self, words: usize) {
        *self.gate.open.lock().unwrap() = words;
        self.gate.raised.notify_all();
    }

    /// Breaks the next stream after so many words.
    pub fn break_after(&self, words: usize) {
        *self.break_after.lock().unwrap() = Some(words);
    }

    fn stream(&self, request: &RequestId, offset: u32) -> Box<dyn AnswerStream> {
        Box::new(ScriptedStream {
            request: request.clone(),
            next: offset as usize,
            gate: Arc::clone(&self.gate),
            break_at: self.break_after.lock().unwrap().take(),
            ended: false,
        })
    }

    fn knows(&self, address: SocketAddr, request: &RequestId) -> bool {
        let calls = self.calls.lock().unwrap();
        calls
            .iter()
            .any(|(called, call)| *called == address && call.request == *request)
    }
}

struct ScriptedStream {
    request: RequestId,
    next: usize,
    gate: Arc<Gate>,
    break_at: Option<usize>,
    ended: bool,
}

impl AnswerStream for ScriptedStream {
    fn next_part(&mut self) -> Result<Option<AnswerPart>, StreamError> {
        if self.break_at == Some(self.next) {
            return Err(StreamError::Disconnected);
        }
        let mut open = self.gate.open.lock().unwrap();
        while *open <= self.next {
            open = self.gate.raised.wait(open).unwrap();
        }
        let request = self.request.clone();
        if self.next < WORDS.len() {
            self.next += 1;
            return Ok(Some(AnswerPart::Token {
                request,
                offset: u32::try_from(self.next - 1).unwrap(),
                text: WORDS[self.next - 1].to_owned(),
            }));
        }
        if std::mem::replace(&mut self.ended, true) {
            return Ok(None);
        }
        Ok(Some(AnswerPart::Finished {
            request,
            tokens: u32::try_from(WORDS.len()).unwrap(),
            cached_prompt_tokens: 0,
        }))
    }
}

/// Answer to a prompt alone.
struct PromptStream(Option<RequestId>);

impl AnswerStream for PromptStream {
    fn next_part(&mut self) -> Result<Option<AnswerPart>, StreamError> {
        let handle = HANDLE.to_owned();
        Ok(self
            .0
            .take()
            .map(|request| AnswerPart::Prefilled { request, handle }))
    }
}

impl EngineClient for ScriptedEngines {
    fn call(&self, address: SocketAddr, call: &EngineCall) -> Result<Box<dyn AnswerStream>, CallError> {
        self.calls.lock().unwrap().push((address, call.clone()));
        if call.phase == Phase::PrefillOnly {
            return Ok(Box::new(PromptStream(Some(call.request.clone()))));
        }
        Ok(self.stream(&call.request, call.offset))
    }

    fn resume(
        &self,
        address: SocketAddr,
        request: &RequestId,
        offset: u32,
    ) -> Result<Box<dyn AnswerStream>, CallError> {
        if self.knows(address, request) {
            return Ok(self.stream(request, offset));
        }
        Err(CallError::Refused(EngineRefusal {
            reason: EngineRefusalReason::UnknownRequest,
            retry_after_millis: 0,
        }))
    }

    fn run_state(&self, address: SocketAddr, request: &RequestId) -> Result<RunState, ControlError> {
        if self.knows(address, request) {
            let tokens = u32::try_from(WORDS.len()).unwrap();
            return Ok(RunState::Finished { tokens });
        }
        Ok(RunState::NeverSeen { incarnation: 1 })
    }

    fn cancel(&self, _: SocketAddr, _: &RequestId) -> Result<(), ControlError> {
        Ok(())
    }

    fn order(&self, _: SocketAddr, _: &Order) -> Result<OrderReply, ControlError> {
        Err(ControlError::Unreachable)
    }

    fn status(&self, _: SocketAddr) -> Result<EngineStatus, ControlError> {
        Err(ControlError::Unreachable)
    }

    fn kv_events(&self, _: SocketAddr, _: u64) -> Result<KvEventBatch, ControlError> {
        Err(ControlError::Unreachable)
    }
}

fn record(
    zone: &ZoneId,
    address: SocketAddr,
    rule: &shelfjunction_core::bundle::content::ModelRule,
    role: Role,
) -> Record {
    let engine = EngineId::new(format!("{}-{zone}", rule.model));
    let service = match rule.kind {
        ModelKind::Model => MachineService::ModelEngine { address },
        ModelKind::Application => MachineService::ApplicationEngine { address },
    };
    let weights = LoadedWeights {
        model: rule.model.clone(),
        version: WeightVersion::new("1"),
        adapters: rule.adapters.iter().map(|one| one.adapter.clone()).collect(),
    };
    let status = EngineStatus {
        engine: engine.clone(),
        incarnation: 1,
        fence: FencingToken(1),
        last_order: None,
        role,
        draining: false,
        changing: false,
        weights: vec![weights],
        load: LoadReport {
            prefill_tokens_per_second: 10_000,
            decode_tokens_per_second: 1_000,
            cache_tokens_capacity: 10_000,
            ..LoadReport::default()
        },
    };
    Record {
        key: RecordKey::Engine(engine),
        version: RecordVersion {
            incarnation: 1,
            sequence: 1,
        },
        age_millis: 0,
        body: RecordBody::Engine(EngineRecord {
            zone: zone.clone(),
            service,
            machine_state: MachineState::Live,
            liveness: Liveness::Alive,
            status: Some(status),
        }),
    }
}
