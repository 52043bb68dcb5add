//! The platform's own interface: usage reports and orders of engines, with fences for each subject.

use serde::Deserialize;
use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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

#[derive(Debug, Default)]
struct State {
    mode: InterfaceMode,
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
}

impl StandInInterface {
    /// Starts it on a free port.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler = Arc::new(InterfaceHandler {
            state: Arc::clone(&state),
        });
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = HttpServer::start(address, HttpLimits::default(), handler)?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how it answers.
    pub fn set_mode(&self, mode: InterfaceMode) {
        lock(&self.state).mode = mode;
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
}

impl Handler for InterfaceHandler {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        let mut state = lock(&self.state);
        let status = match state.mode {
            InterfaceMode::Throttling => 429,
            _ => state.take(&request),
        };
        let loses_answers = state.mode == InterfaceMode::LosingAnswers;
        drop(state);
        if loses_answers {
            return Answered::broken();
        }
        responder.answer(&Answer::new(status, JSON, "{}"))
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        error.status().map(|status| Answer::new(status, JSON, "{}"))
    }
}

impl State {
    fn take(&mut self, request: &HttpRequest) -> u16 {
        let fence = request
            .header("Fencing-Token")
            .and_then(|fence| fence.parse().ok());
        let (Some(fence), Some(_)) = (fence, request.header("Duty-Holder")) else {
            return 400;
        };
        match request.path.as_str() {
            "/usage" => match serde_json::from_slice::<UsageReport>(&request.body) {
                Ok(report) => self.guarded("usage", fence, |state| state.reports.push(report)),
                Err(_) => 400,
            },
            "/scale" => match serde_json::from_slice::<ScaleOrder>(&request.body) {
                Ok(order) if order.spot && self.mode == InterfaceMode::NoSpot => {
                    self.turned_down += 1;
                    409
                }
                Ok(order) => {
                    let subject = format!("{}/{}", order.service, order.zone);
                    self.guarded(&subject, fence, |state| state.orders.push(order))
                }
                Err(_) => 400,
            },
            _ => 404,
        }
    }

    fn guarded(&mut self, subject: &str, fence: u64, act: impl FnOnce(&mut Self)) -> u16 {
        let seen = self.fences.entry(subject.to_owned()).or_default();
        if fence < *seen {
            self.refused += 1;
            return 409;
        }
        *seen = fence;
        act(self);
        200
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
