//! Serves one request.

use super::faults::EngineServerFaults;
use super::import;
use super::log::OrderRecord;
use super::respond::{error, json, refusal, refuse, unreadable};
use super::routes::Route;
use super::shared::EngineShared;
use super::stream::stream;
use super::weights;
use serde::de::DeserializeOwned;
use shelfjunction_core::engine::{EngineCall, EngineRefusalReason, Order, OrderAction, OrderReply};
use shelfjunction_core::identity::RequestId;
use shelfjunction_http::{Answer, Answered, Handler, HttpRequest, ReadError, Responder};
use shelfjunction_platform::http_engine::KvEventsBody;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Wait that stands for "until the weight store answers".
const UNTIL_WEIGHTS_ARRIVE: Duration = Duration::from_secs(24 * 3_600);

/// Answers requests to one engine.
pub struct EngineHandler(pub Arc<EngineShared>);

impl Handler for EngineHandler {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        let shared = &self.0;
        match Route::parse(&request) {
            Route::Call => serve_call(shared, &request, responder),
            Route::Answer(id, offset) => serve_answer(shared, responder, &id, offset),
            route => responder.answer(&control_answer(shared, route, &request)),
        }
    }

    fn refusal(&self, cause: ReadError) -> Option<Answer> {
        self.0.count_malformed();
        unreadable(cause)
    }
}

/// Answers everything but streams.
fn control_answer(shared: &Arc<EngineShared>, route: Route, request: &HttpRequest) -> Answer {
    match route {
        Route::State(id) => json(200, &shared.lock().model.run_state(&id)),
        Route::Cancel(id) => cancel(shared, &id),
        Route::Order => match parse(shared, request) {
            Ok(order) => take_order(shared, order),
            Err(answer) => answer,
        },
        Route::Status => status(shared),
        Route::Events(after) => events(shared, after),
        Route::Export(handle) => export(shared, &handle),
        Route::Log => json(200, &shared.lock().log(shared.malformed_requests())),
        Route::Faults => match parse(shared, request) {
            Ok(faults) => switch_faults(shared, faults),
            Err(answer) => answer,
        },
        Route::Call | Route::Answer(..) | Route::Unknown => {
            shared.count_malformed();
            error(404, "no such path")
        }
    }
}

fn serve_call(shared: &EngineShared, request: &HttpRequest, responder: Responder<'_>) -> Answered {
    let Ok(call) = serde_json::from_slice::<EngineCall>(&request.body) else {
        shared.count_malformed();
        return responder.answer(&refuse(&refusal(EngineRefusalReason::Malformed)));
    };
    let longest = Duration::from_millis(shared.config.import_millis);
    let imported = call
        .import
        .as_ref()
        .map(|transfer| import::fetch(transfer, longest));
    if let Some(None) = imported {
        return responder.answer(&refuse(&refusal(EngineRefusalReason::TransferGone)));
    }
    let begun = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.call(now, &call, imported.flatten().as_ref())
    };
    shared.notify();
    match begun {
        Ok(run) => {
            delay_first_byte(shared);
            stream(shared, responder, run, call.offset)
        }
        Err(refusal) => responder.answer(&refuse(&refusal)),
    }
}

fn serve_answer(shared: &EngineShared, responder: Responder<'_>, id: &RequestId, offset: u32) -> Answered {
    let run = shared.lock().model.find_run(id);
    match run {
        Some(run) => {
            delay_first_byte(shared);
            stream(shared, responder, run, offset)
        }
        None => responder.answer(&refuse(&refusal(EngineRefusalReason::UnknownRequest))),
    }
}

fn cancel(shared: &EngineShared, id: &RequestId) -> Answer {
    let state = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.cancel(now, id)
    };
    shared.notify();
    json(200, &state)
}

fn take_order(shared: &Arc<EngineShared>, order: Order) -> Answer {
    let store = shared.config.weight_store;
    let wait = store.map_or(Duration::ZERO, |_| UNTIL_WEIGHTS_ARRIVE);
    let (reply, begun) = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.advance(now);
        let before = guarded.model.state().is_changing();
        let reply = guarded.model.order(now, &order, wait);
        let incarnation = guarded.model.state().incarnation();
        let record = OrderRecord {
            incarnation,
            order: order.clone(),
            reply: reply.clone(),
        };
        guarded.record_order(record);
        let begun = reply == OrderReply::InProgress && !before;
        (reply, begun)
    };
    shared.notify();
    if let (OrderAction::LoadWeights { weights }, Some(store), true) = (order.action, store, begun) {
        let shared = Arc::clone(shared);
        thread::spawn(move || weights::load(&shared, store, &order.order, &weights));
    }
    json(200, &reply)
}

fn status(shared: &EngineShared) -> Answer {
    let status = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.status(now)
    };
    json(200, &status)
}

fn events(shared: &EngineShared, after: u64) -> Answer {
    let body = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        KvEventsBody {
            events: guarded.model.kv_events(now, after),
            incarnation: guarded.model.state().incarnation(),
        }
    };
    json(200, &body)
}

fn export(shared: &EngineShared, handle: &str) -> Answer {
    let export = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.fetch_export(now, handle)
    };
    match export {
        Some(export) => json(200, &export),
        None => error(404, "no such export"),
    }
}

fn switch_faults(shared: &EngineShared, faults: EngineServerFaults) -> Answer {
    {
        let mut guarded = shared.lock();
        guarded.faults = faults;
        guarded.model.set_faults(faults.model);
        if faults.crash_now {
            guarded.model.crash();
        }
        if faults.freeze_millis > 0 {
            guarded.clock.freeze(Duration::from_millis(faults.freeze_millis));
        }
    }
    shared.notify();
    json(200, &faults)
}

/// Reads a control body, or says what is wrong with it.
fn parse<T: DeserializeOwned>(shared: &EngineShared, request: &HttpRequest) -> Result<T, Answer> {
    serde_json::from_slice(&request.body).map_err(|cause| {
        shared.count_malformed();
        error(400, &cause.to_string())
    })
}

fn delay_first_byte(shared: &EngineShared) {
    let millis = shared.lock().faults.first_byte_delay_millis;
    if millis > 0 {
        thread::sleep(Duration::from_millis(millis));
    }
}
