//! An engine: reads prompts for others, runs outputs as series of events, takes orders, and misbehaves when told to.

use super::engine_answers::record;
use super::engine_crashes::{CrashCause, CrashSwitch, head_comes_first};
use super::engine_records::{ArrivalRecord, BackoffRecord, DrainRecord, LimitRecord, OrderRecord, RunRecord};
use super::engine_settings::{EngineFault, EngineSettings};
use super::engine_state::State;
use super::engine_work::{
    EVENTS_BEFORE_BREAK, MachinePace, answer_events, answer_pause, breaks_at_first, event, event_pause,
    names_versions, versioned_event, wants_long_answer,
};
use serde::Deserialize;
use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::num::NonZeroU64;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

pub(super) const JSON: &str = "application/json";
const EVENTS: &str = "text/event-stream";

/// A running engine on loopback.
pub struct ModelEngine {
    server: HttpServer,
    start_name: String,
    software_version: String,
    state: Arc<Mutex<State>>,
    pace: Arc<MachinePace>,
    crash_switch: Arc<OnceLock<CrashSwitch>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    operation: String,
    stage: String,
    holder: String,
    fencing_token: u64,
    expected: Option<u64>,
}

impl ModelEngine {
    /// Starts an engine on a free port.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            stage: settings.stage,
            ..State::default()
        }));
        let pace = Arc::new(MachinePace::default());
        let crash_switch = Arc::new(OnceLock::new());
        let start_name = settings.start();
        let software_version = settings.software_version.clone();
        let handler = Arc::new(EngineHandler {
            settings,
            state: Arc::clone(&state),
            pace: Arc::clone(&pace),
            crash_switch: Arc::clone(&crash_switch),
        });
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = HttpServer::start(address, HttpLimits::default(), handler)?;
        Ok(Self {
            server,
            start_name,
            software_version,
            state,
            pace,
            crash_switch,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What names this start in records.
    pub fn start_name(&self) -> String {
        self.start_name.clone()
    }

    /// Treats the next request so; several are used up one after the other.
    pub fn next_request(&self, fault: EngineFault) {
        lock(&self.state).faults.push_back(fault);
    }

    /// Refuses three of five requests before running them, or no longer does.
    pub fn refuse_most(&self, refuses: bool) {
        lock(&self.state).refuses_most = refuses;
    }

    /// Sends one answer in so many with neither a length nor chunks, so that it ends with its connection; none if absent.
    pub fn send_unframed(&self, one_in: Option<NonZeroU64>) {
        lock(&self.state).unframed_answers = one_in;
    }

    /// Names a rate limit in its answers from now on, in requests a second, or none.
    pub fn name_limit(&self, limit: Option<f64>) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if let Some(named) = state.limits.last_mut() {
            named.until.get_or_insert(now);
        }
        state.limits.extend(limit.map(|requests_per_second| LimitRecord {
            engine: self.start_name.clone(),
            requests_per_second,
            from: now,
            until: None,
        }));
    }

    /// Says in all its answers from now on that it drains.
    pub fn announce_draining(&self) {
        lock(&self.state).draining_since.get_or_insert_with(Instant::now);
    }

    /// Refuses every request from now on and asks for so long without requests each time, or no longer does.
    pub fn ask_backoff(&self, backoff: Option<Duration>) {
        lock(&self.state).backoff = backoff;
    }

    /// Version of its software.
    pub fn software_version(&self) -> &str {
        &self.software_version
    }

    /// When it began to say that it drains.
    pub fn drain_record(&self) -> Option<DrainRecord> {
        let from = lock(&self.state).draining_since?;
        Some(DrainRecord {
            engine: self.start_name.clone(),
            from,
        })
    }

    /// Refusals that asked for a time without requests.
    pub fn backoff_records(&self) -> Vec<BackoffRecord> {
        lock(&self.state).backoffs.clone()
    }

    /// Makes its work take so long from now on, in percent of the usual.
    pub fn set_pace(&self, percent: u32) {
        self.pace.set(percent);
    }

    /// Makes it crash, by what is given, over requests with a [`CrashCause`]; only the first call counts.
    pub fn crash_by(&self, switch: CrashSwitch) {
        let _ = self.crash_switch.set(switch);
    }

    /// Whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        lock(&self.state).runs.iter().any(|run| run.crashed)
    }

    /// Requests that reached it.
    pub fn arrivals(&self) -> Vec<ArrivalRecord> {
        lock(&self.state).arrivals.clone()
    }

    /// Requests that it ran.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.state).runs.clone()
    }

    /// Prompts that it read for other engines.
    pub fn prompts(&self) -> Vec<RunRecord> {
        lock(&self.state).prompts.clone()
    }

    /// KV caches that wait to be fetched.
    pub fn handles(&self) -> usize {
        lock(&self.state).handles.len()
    }

    /// Orders that it has taken.
    pub fn orders(&self) -> u64 {
        lock(&self.state).sequence
    }

    /// Orders that it has taken, each with its authority.
    pub fn order_records(&self) -> Vec<OrderRecord> {
        lock(&self.state).orders.clone()
    }

    /// Times for which it named rate limits.
    pub fn limit_records(&self) -> Vec<LimitRecord> {
        lock(&self.state).limits.clone()
    }

    /// Its present stage.
    pub fn stage(&self) -> Option<&'static str> {
        lock(&self.state).stage
    }
}

pub(super) struct EngineHandler {
    pub(super) settings: EngineSettings,
    pub(super) state: Arc<Mutex<State>>,
    pub(super) pace: Arc<MachinePace>,
    crash_switch: Arc<OnceLock<CrashSwitch>>,
}

impl Handler for EngineHandler {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        let responder = if lock(&self.state).next_is_unframed() {
            responder.ending_with_connection()
        } else {
            responder
        };
        let is_aside = request.path.starts_with("/shelfjunction/");
        if is_aside && self.is_another(&request) {
            return responder.answer(&self.aside(self.answer(&request, 421, "")));
        }
        match request.path.as_str() {
            "/shelfjunction/report" => return responder.answer(&self.aside(self.report())),
            "/shelfjunction/order" => return responder.answer(&self.aside(self.order(&request.body))),
            "/shelfjunction/kv-list" => {
                let list = Answer::new(200, JSON, r#"{"epoch":1,"held":[]}"#);
                return responder.answer(&self.aside(list));
            }
            path => {
                if let Some(handle) = path.strip_prefix("/shelfjunction/kv-handle/") {
                    lock(&self.state).handles.remove(handle);
                    return responder.answer(&self.aside(Answer::new(200, JSON, "{}")));
                }
            }
        }
        self.serve(&request, responder)
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        error.status().map(|status| Answer::new(status, JSON, "{}"))
    }
}

impl EngineHandler {
    /// Whether a request names another engine.
    fn is_another(&self, request: &HttpRequest) -> bool {
        let expected = request.header("Expected-Instance");
        expected.is_some_and(|id| id != self.settings.id)
    }

    fn serve(&self, request: &HttpRequest, responder: Responder<'_>) -> Answered {
        let reads_prompt = request.header("Stage") == Some("prefill");
        let wrong_stage = reads_prompt != (lock(&self.state).stage == Some("prefill"));
        let is_misdirected = self.is_another(request) || wrong_stage;
        let fault = if is_misdirected {
            None
        } else {
            lock(&self.state).next_fault()
        };
        let backoff = lock(&self.state).backoff.filter(|_| !is_misdirected);
        let refused = is_misdirected || backoff.is_some() || fault == Some(EngineFault::Refuse);
        let cause = CrashCause::of(request);
        lock(&self.state).arrivals.push(ArrivalRecord {
            request: request.header("Request-Id").unwrap_or_default().to_owned(),
            reads_prompt,
            refused,
            crashing: cause.clone(),
            engine: self.settings.start(),
            at: Instant::now(),
        });
        if is_misdirected {
            return responder.answer(&self.answer(request, 421, ""));
        }
        if fault == Some(EngineFault::Refuse) {
            let refusal = self.answer(request, 503, "").with_header("Not-Executed", "1");
            return responder.answer(&refusal);
        }
        if let Some(backoff) = backoff {
            return responder.answer(&self.refuse_with_backoff(request, backoff));
        }
        let record = record(request, &self.settings.software_version);
        if reads_prompt {
            return responder.answer(&self.read_prompt(request, record));
        }
        let crash = self.crash_switch.get().zip(cause);
        lock(&self.state).runs.push(RunRecord {
            crashed: crash.is_some(),
            ..record.clone()
        });
        if let Some((switch, cause)) = crash {
            return self.crash(request, switch, &cause, responder);
        }
        match fault {
            Some(EngineFault::LoseAnswer) => Answered::broken(),
            Some(EngineFault::LoseAnswerAfter(time)) => {
                std::thread::sleep(time);
                Answered::broken()
            }
            Some(EngineFault::Fail) => responder.answer(&self.signed(request, 500, "failed")),
            Some(EngineFault::Unsigned) => responder.answer(&self.answer(request, 200, "who said this?")),
            _ if self.settings.stage.is_some() => self.stream(request, &record, fault, responder),
            _ => {
                std::thread::sleep(answer_pause(&request.body) + self.pace.added_time());
                responder.answer(&self.signed(request, 200, "the answer"))
            }
        }
    }

    /// Ends, before or after the head of the answer has left.
    fn crash(
        &self,
        request: &HttpRequest,
        switch: &CrashSwitch,
        cause: &CrashCause,
        responder: Responder<'_>,
    ) -> Answered {
        let has_head = matches!(cause, CrashCause::Request(_))
            || head_comes_first(request.header("Request-Id").unwrap_or_default());
        let writer = has_head.then(|| responder.stream(200, EVENTS, &self.headers(request, true)));
        std::thread::sleep(cause.delay());
        switch();
        match writer {
            Some(Ok(writer)) => writer.abort(),
            _ => Answered::broken(),
        }
    }

    fn read_prompt(&self, request: &HttpRequest, record: RunRecord) -> Answer {
        let mut state = lock(&self.state);
        state.prompts.push(record);
        state.next_handle += 1;
        let handle = format!("handle{}", state.next_handle);
        state.handles.insert(handle.clone());
        drop(state);
        let body = format!(r#"{{"prefillHandle":"{handle}","tokens":1,"version":1}}"#);
        self.answer(request, 200, &body)
    }

    fn stream(
        &self,
        request: &HttpRequest,
        record: &RunRecord,
        fault: Option<EngineFault>,
        responder: Responder<'_>,
    ) -> Answered {
        let headers = self.headers(request, true);
        let Ok(mut writer) = responder.stream(200, EVENTS, &headers) else {
            return Answered::broken();
        };
        let is_long = wants_long_answer(&request.body);
        let events = answer_events(&request.body, self.settings.events);
        let breaks = breaks_at_first(&request.body) && record.after_event == 0;
        for (sent, id) in (0..).zip(record.after_event + 1..=events) {
            if fault == Some(EngineFault::CutAfter(sent)) || (breaks && sent == EVENTS_BEFORE_BREAK) {
                // Part of an event, as engines leave it when they crash.
                let _ = writer.write(format!("id: {id}\nda").as_bytes());
                return writer.abort();
            }
            if fault == Some(EngineFault::CrashAfter(sent))
                && let Some(crash) = self.crash_switch.get()
            {
                crash();
                return writer.abort();
            }
            let pause = event_pause(&request.body, id, record.after_event == 0);
            std::thread::sleep(pause + self.pace.added_time());
            let event = if names_versions(&request.body) {
                versioned_event(id, &self.settings.software_version)
            } else {
                event(id, is_long)
            };
            if writer.write(event.as_bytes()).is_err() {
                return writer.abort();
            }
        }
        writer.finish()
    }

    fn report(&self) -> Answer {
        let state = lock(&self.state);
        let stage = state.stage.unwrap_or("decode");
        let body = format!(
            r#"{{"stage":"{stage}","utilization":false,"sequence":{},"born":{}}}"#,
            state.sequence, self.settings.born
        );
        Answer::new(200, JSON, body)
    }

    fn order(&self, body: &[u8]) -> Answer {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return Answer::new(400, JSON, "{}");
        };
        let mut state = lock(&self.state);
        let status = if order.operation != "stage" || order.holder.is_empty() {
            400
        } else if order.fencing_token < state.fence {
            412
        } else if order.expected.is_some_and(|expected| expected != state.sequence) {
            409
        } else {
            state.fence = order.fencing_token;
            state.orders.push(OrderRecord {
                token: order.fencing_token,
                holder: order.holder,
            });
            state.sequence += 1;
            state.stage = Some(if order.stage == "prefill" {
                "prefill"
            } else {
                "decode"
            });
            202
        };
        Answer::new(status, JSON, "{}")
    }
}

pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
