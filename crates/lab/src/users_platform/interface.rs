//! The platform's own interface: usage reports and orders of engines, with fences for each subject.

use super::deferral::{Deferral, DeferralCount, DeferralDelay};
use serde::Deserialize;
use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

const JSON: &str = "application/json";

/// How the interface answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InterfaceMode {
    /// As it should.
    #[default]
    Serving,
    /// 429 to every call; nothing is done.
    Throttling,
    /// Calls are carried out and not answered.
    LosingAnswers,
    /// Calls are not answered and carried out some seconds later; their fences are checked then.
    Deferring,
    /// Orders of spot engines conflict: there are none to be had.
    NoSpot,
}

/// One usage report that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Requests that began, by tenant.
    pub counts: BTreeMap<String, u64>,
}

/// One order of engines that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ScaleOrder {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Engines wanted there.
    pub desired_count: u32,
    /// Whether it is about spot engines.
    #[serde(default)]
    pub spot: bool,
}

/// One report or order that was taken, and who gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCall {
    /// The duty and what it is about: `usage`, or the service and the zone of an order.
    pub subject: String,
    /// The node that gave it, by the name that it bears.
    pub holder: String,
    /// The fencing token that it bears.
    pub token: u64,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When it was carried out: as it arrived, unless the interface deferred it.
    pub done_at: Instant,
    /// Whether the interface deferred it.
    pub deferred: bool,
}

/// A call as it arrived.
struct ArrivedCall {
    path: String,
    holder: String,
    token: u64,
    body: Vec<u8>,
    arrived_at: Instant,
    deferred: bool,
}

#[derive(Debug, Default)]
struct State {
    mode: InterfaceMode,
    ignores_fences: bool,
    calls: Vec<DutyCall>,
    /// Highest fence seen, by subject.
    fences: BTreeMap<String, u64>,
    reports: Vec<UsageReport>,
    orders: Vec<ScaleOrder>,
    refused: u64,
    turned_down: u64,
}

/// The running interface on loopback.
pub struct StandInInterface {
    server: HttpServer,
    state: Arc<Mutex<State>>,
    deferral: Arc<Deferral<ArrivedCall>>,
}

impl StandInInterface {
    /// Starts it on a free port. It checks fences.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let of_deferral = Arc::clone(&state);
        let deferral = Arc::new(Deferral::start(move |call| {
            let status = lock(&of_deferral).take(&call);
            log::info!(status, path = call.path.as_str(), holder = call.holder.as_str(), token = call.token; "interface_call_made_late");
            status == 200
        })?);
        let handler = Arc::new(InterfaceHandler {
            state: Arc::clone(&state),
            deferral: Arc::clone(&deferral),
        });
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = HttpServer::start(address, HttpLimits::default(), handler)?;
        Ok(Self {
            server,
            state,
            deferral,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how it answers.
    pub fn set_mode(&self, mode: InterfaceMode) {
        lock(&self.state).mode = mode;
    }

    /// Changes how it answers if it answers so now; whether it did.
    pub fn replace_mode(&self, from: InterfaceMode, to: InterfaceMode) -> bool {
        let mut state = lock(&self.state);
        let replaced = state.mode == from;
        if replaced {
            state.mode = to;
        }
        replaced
    }

    /// Whether it refuses calls with a lower fence than one seen.
    pub fn check_fences(&self, checks: bool) {
        lock(&self.state).ignores_fences = !checks;
    }

    /// When calls that it defers from now on are carried out.
    pub fn set_deferral(&self, delay: &DeferralDelay) {
        self.deferral.set_delay(delay);
    }

    /// Carries out one of the calls that were deferred, the oldest at place 0; whether it was taken, absent where none waits
    /// there.
    pub fn make_deferred(&self, place: usize) -> Option<bool> {
        self.deferral.carry_out(place)
    }

    /// Calls that were deferred so far.
    pub fn deferrals(&self) -> DeferralCount {
        self.deferral.count()
    }

    /// Reports and orders that were taken, in the order in which they were carried out.
    pub fn calls(&self) -> Vec<DutyCall> {
        lock(&self.state).calls.clone()
    }

    /// Raises a subject's fence, as another holder's call does.
    pub fn raise_fence(&self, subject: &str, token: u64) {
        lock(&self.state).fences.insert(subject.to_owned(), token);
    }

    /// Usage reports that were taken, repeats among them.
    pub fn reports(&self) -> Vec<UsageReport> {
        lock(&self.state).reports.clone()
    }

    /// Orders that were taken.
    pub fn orders(&self) -> Vec<ScaleOrder> {
        lock(&self.state).orders.clone()
    }

    /// Orders of spot engines that met none to be had.
    pub fn turned_down(&self) -> u64 {
        lock(&self.state).turned_down
    }

    /// Calls refused for a lower fence than one seen.
    pub fn refused(&self) -> u64 {
        lock(&self.state).refused
    }
}

struct InterfaceHandler {
    state: Arc<Mutex<State>>,
    deferral: Arc<Deferral<ArrivedCall>>,
}

impl Handler for InterfaceHandler {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        let mut state = lock(&self.state);
        let mode = state.mode;
        let status = match (mode, ArrivedCall::of(request, mode)) {
            (InterfaceMode::Throttling, _) => 429,
            (InterfaceMode::Deferring, Some(call)) => {
                drop(state);
                self.deferral.defer(call);
                return Answered::broken();
            }
            (_, Some(call)) => state.take(&call),
            (_, None) => 400,
        };
        drop(state);
        if mode == InterfaceMode::LosingAnswers {
            return Answered::broken();
        }
        responder.answer(&Answer::new(status, JSON, "{}"))
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        error.status().map(|status| Answer::new(status, JSON, "{}"))
    }
}

impl ArrivedCall {
    /// The call of a request; absent where it does not say who gives it under which fence.
    fn of(request: HttpRequest, mode: InterfaceMode) -> Option<Self> {
        Some(Self {
            holder: request.header("Duty-Holder")?.to_owned(),
            token: request.header("Fencing-Token")?.parse().ok()?,
            path: request.path,
            body: request.body.to_vec(),
            arrived_at: Instant::now(),
            deferred: mode == InterfaceMode::Deferring,
        })
    }
}

impl State {
    fn take(&mut self, call: &ArrivedCall) -> u16 {
        match call.path.as_str() {
            "/usage" => match serde_json::from_slice::<UsageReport>(&call.body) {
                Ok(report) => self.guarded("usage", call, |state| state.reports.push(report)),
                Err(_) => 400,
            },
            "/scale" => match serde_json::from_slice::<ScaleOrder>(&call.body) {
                Ok(order) if order.spot && self.mode == InterfaceMode::NoSpot => {
                    self.turned_down += 1;
                    409
                }
                Ok(order) => {
                    let subject = format!("{}/{}", order.service, order.zone);
                    self.guarded(&subject, call, |state| state.orders.push(order))
                }
                Err(_) => 400,
            },
            _ => 404,
        }
    }

    fn guarded(&mut self, subject: &str, call: &ArrivedCall, act: impl FnOnce(&mut Self)) -> u16 {
        let seen = self.fences.entry(subject.to_owned()).or_default();
        if call.token < *seen && !self.ignores_fences {
            self.refused += 1;
            return 409;
        }
        *seen = call.token.max(*seen);
        self.calls.push(DutyCall {
            subject: subject.to_owned(),
            holder: call.holder.clone(),
            token: call.token,
            arrived_at: call.arrived_at,
            done_at: Instant::now(),
            deferred: call.deferred,
        });
        act(self);
        200
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
