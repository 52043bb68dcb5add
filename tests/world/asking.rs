//! What callers do: ask, read an answer again, leave.

use super::callers::{Ask, Caller, CallerEnd, TENANTS, prompt};
use super::controller::ProcessState;
use super::engine::{APPLICATION, MODEL};
use super::fleet::Fleet;
use super::gateway::{Course, GatewayWork};
use super::planted::PlantedFault;
use super::serving::Serving;
use sha2::{Digest, Sha256};
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::identity::{ModelId, RequestId, TenantId};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::{
    CourseLimits, RequestForm, RequestKey, RequestSpecification,
};
use shelfjunction_core::routing::RouteQuery;
use shelfjunction_core::routing::prefix::{PrefixScope, hash_prompt};
use shelfjunction_core::service_class::ServiceClass;
use std::time::Duration;

impl Fleet {
    /// A caller asks a gateway; gives the caller's index.
    pub fn ask(&mut self, gateway: usize, ask: Ask) -> usize {
        let index = self.callers.callers.len();
        let request = RequestId(format!("r{index}"));
        self.callers.callers.push(Caller {
            ask,
            request: request.clone(),
            gateway,
            offset: 0,
            reread: false,
            tokens: Vec::new(),
            finished: None,
            asked_at: self.now,
            end: None,
        });
        if !self.takes_new(gateway) {
            self.end_caller(index, CallerEnd::RefusedAtDoor);
            return index;
        }
        let specification = self.specification(gateway, &ask, request);
        let query = self.query(gateway, &ask);
        let machine = RequestMachine::new(specification, CourseLimits::default());
        let process = &mut self.gateways[gateway];
        process.budget.deposit();
        process.courses.insert(
            index,
            Course {
                machine,
                query,
                last_call: None,
            },
        );
        self.start_course(gateway, index);
        self.take_event(gateway, index, Event::Admitted);
        index
    }

    /// A caller reads the answer of an earlier caller's request again, from its start, through any gateway.
    pub fn read_again(&mut self, gateway: usize, earlier: usize) {
        let Some(first) = self.callers.callers.get(earlier).cloned() else {
            return;
        };
        let engine = self
            .callers
            .runs
            .iter()
            .rev()
            .find(|run| run.call.request == first.request);
        let Some(engine) = engine.map(|run| self.engines[run.engine].engine.clone()) else {
            return;
        };
        if !self.takes_new(gateway) {
            return;
        }
        let index = self.callers.callers.len();
        self.callers.callers.push(Caller {
            gateway,
            reread: true,
            tokens: Vec::new(),
            finished: None,
            asked_at: self.now,
            end: None,
            ..first.clone()
        });
        let ask = Ask {
            key: None,
            ..first.ask
        };
        let specification = self.specification(gateway, &ask, first.request);
        let query = self.query(gateway, &ask);
        let local = self.gateways[gateway].clock.read(self.now);
        let (machine, actions) =
            RequestMachine::rejoin(specification, CourseLimits::default(), engine, 0, local);
        let course = Course {
            machine,
            query,
            last_call: None,
        };
        self.gateways[gateway].courses.insert(index, course);
        self.start_course(gateway, index);
        self.carry_out_all(gateway, index, actions);
    }

    /// A caller goes away, or asks to cancel.
    pub fn leave(&mut self, caller: usize, cancel: bool) {
        let Some(gateway) = self.callers.callers.get(caller).map(|caller| caller.gateway) else {
            return;
        };
        let event = match cancel {
            true => Event::CallerCancelled,
            false => Event::CallerGone,
        };
        if self.gateways[gateway].courses.contains_key(&caller) {
            let start = self.gateways[gateway].start;
            self.gateway_work(gateway, start, GatewayWork::Event(caller, event));
        }
    }

    fn takes_new(&self, gateway: usize) -> bool {
        let process = &self.gateways[gateway];
        process.state == ProcessState::Up && !process.stopping
    }

    fn start_course(&mut self, gateway: usize, caller: usize) {
        let process = &self.gateways[gateway];
        let start = process.start;
        let Some(course) = process.courses.get(&caller) else {
            return;
        };
        let left = course
            .machine
            .specification()
            .deadline
            .since(process.clock.read(self.now));
        let work = GatewayWork::Event(caller, Event::DeadlineReached);
        self.later(self.now + left, Serving::Work { gateway, start, work });
    }

    fn specification(&self, gateway: usize, ask: &Ask, request: RequestId) -> RequestSpecification {
        let process = &self.gateways[gateway];
        let salt = match process.has(PlantedFault::DropTenantSalt) {
            true => "same for all".to_owned(),
            false => format!("salt of {}", TENANTS[ask.tenant]),
        };
        let digest = |text: String| hex::encode(Sha256::digest(text.as_bytes()));
        RequestSpecification {
            form: RequestForm::Text,
            request,
            tenant: TenantId::new(TENANTS[ask.tenant]),
            model: model(ask.kind),
            adapter: None,
            kind: ask.kind,
            class: ServiceClass::Standard,
            prompt: prompt(ask.body),
            max_tokens: ask.max_tokens,
            cache_salt: salt,
            key: ask.key.map(|key| RequestKey {
                key_digest: digest(format!("key {key}")),
                body_digest: digest(format!("{} {} {:?}", ask.body, ask.max_tokens, ask.kind)),
            }),
            deadline: process.clock.read(self.now) + Duration::from_millis(ask.deadline_millis),
            admitted_unix_seconds: 0,
        }
    }

    fn query(&self, gateway: usize, ask: &Ask) -> RouteQuery {
        let process = &self.gateways[gateway];
        let model = model(ask.kind);
        let salt = format!("salt of {}", TENANTS[ask.tenant]);
        let scope = PrefixScope {
            salt: &salt,
            model: &model,
            adapter: None,
        };
        let blocks = hash_prompt(&scope, &prompt(ask.body));
        let everywhere = ask.tenant == 0 || process.has(PlantedFault::IgnoreResidency);
        let zones = if everywhere { self.epochs.len() } else { 1 };
        RouteQuery {
            adapter: None,
            kind: ask.kind,
            prompt_blocks: blocks.hashes,
            prompt_tokens: blocks.tokens,
            expected_output_tokens: ask.max_tokens,
            class: ServiceClass::Standard,
            allowed_zones: (0..zones).map(Self::zone_id).collect(),
            home_zone: Self::zone_id(process.zone),
            excluded: Vec::new(),
            model,
        }
    }
}

fn model(kind: ModelKind) -> ModelId {
    ModelId::new(match kind {
        ModelKind::Model => MODEL,
        ModelKind::Application => APPLICATION,
    })
}
