//! Serves one request.

use super::faults::EngineServerFaults;
use super::import;
use super::log::OrderRecord;
use super::respond::{BodyError, error, json, malformed, read_json, refuse};
use super::routes::Route;
use super::shared::EngineShared;
use super::stream::stream;
use shelfjunction_core::engine::{EngineCall, EngineRefusal, EngineRefusalReason, Order};
use shelfjunction_core::identity::RequestId;
use shelfjunction_platform::http_engine::KvEventsBody;
use std::thread;
use std::time::Duration;
use tiny_http::Request;

/// Longest body of a control call, in bytes.
const MAXIMUM_CONTROL_BYTES: u64 = 1024 * 1024;

/// Serves a request to its end.
pub fn serve(shared: &EngineShared, request: Request) {
    match Route::parse(request.method(), request.url()) {
        Route::Call => serve_call(shared, request),
        Route::Answer(id, offset) => serve_answer(shared, request, &id, offset),
        Route::State(id) => {
            let state = shared.lock().model.run_state(&id);
            json(request, 200, &state);
        }
        Route::Cancel(id) => serve_cancel(shared, request, &id),
        Route::Order => serve_order(shared, request),
        Route::Status => serve_status(shared, request),
        Route::Events(after) => serve_events(shared, request, after),
        Route::Export(handle) => serve_export(shared, request, &handle),
        Route::Log => {
            let log = shared.lock().log(shared.malformed_requests());
            json(request, 200, &log);
        }
        Route::Faults => serve_faults(shared, request),
        Route::Unknown => {
            shared.count_malformed();
            error(request, 404, "no such path");
        }
    }
}

fn serve_call(shared: &EngineShared, mut request: Request) {
    let call: EngineCall = match read_json(&mut request, shared.config.limits.body_bytes) {
        Ok(call) => call,
        Err(_) => {
            shared.count_malformed();
            return refuse(request, &malformed());
        }
    };
    let longest = Duration::from_millis(shared.config.limits.import_millis);
    let imported = call
        .import
        .as_ref()
        .map(|transfer| import::fetch(transfer, longest));
    if let Some(None) = imported {
        return refuse(request, &refusal(EngineRefusalReason::TransferGone));
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
            stream(shared, request, run, call.offset);
        }
        Err(refusal) => refuse(request, &refusal),
    }
}

fn serve_answer(shared: &EngineShared, request: Request, id: &RequestId, offset: u32) {
    let run = shared.lock().model.find_run(id);
    match run {
        Some(run) => {
            delay_first_byte(shared);
            stream(shared, request, run, offset);
        }
        None => refuse(request, &refusal(EngineRefusalReason::UnknownRequest)),
    }
}

fn serve_cancel(shared: &EngineShared, request: Request, id: &RequestId) {
    let state = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.cancel(now, id)
    };
    shared.notify();
    json(request, 200, &state);
}

fn serve_order(shared: &EngineShared, mut request: Request) {
    let order: Order = match read_json(&mut request, MAXIMUM_CONTROL_BYTES) {
        Ok(order) => order,
        Err(cause) => return refuse_body(shared, request, cause),
    };
    let reply = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        let reply = guarded.model.order(now, &order, Duration::ZERO);
        let incarnation = guarded.model.state().incarnation();
        let record = OrderRecord {
            incarnation,
            order,
            reply: reply.clone(),
        };
        guarded.record_order(record);
        reply
    };
    shared.notify();
    json(request, 200, &reply);
}

fn serve_status(shared: &EngineShared, request: Request) {
    let status = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.status(now)
    };
    json(request, 200, &status);
}

fn serve_events(shared: &EngineShared, request: Request, after: u64) {
    let body = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        KvEventsBody {
            events: guarded.model.kv_events(now, after),
            incarnation: guarded.model.state().incarnation(),
        }
    };
    json(request, 200, &body);
}

fn serve_export(shared: &EngineShared, request: Request, handle: &str) {
    let export = {
        let mut guarded = shared.lock();
        let now = guarded.now();
        guarded.model.fetch_export(now, handle)
    };
    match export {
        Some(export) => json(request, 200, &export),
        None => error(request, 404, "no such export"),
    }
}

fn serve_faults(shared: &EngineShared, mut request: Request) {
    let faults: EngineServerFaults = match read_json(&mut request, MAXIMUM_CONTROL_BYTES) {
        Ok(faults) => faults,
        Err(cause) => return refuse_body(shared, request, cause),
    };
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
    json(request, 200, &faults);
}

fn refuse_body(shared: &EngineShared, request: Request, cause: BodyError) {
    shared.count_malformed();
    match cause {
        BodyError::TooLong => error(request, 413, "the body is too long"),
        BodyError::Malformed(message) => error(request, 400, &message),
    }
}

fn refusal(reason: EngineRefusalReason) -> EngineRefusal {
    EngineRefusal {
        reason,
        retry_after_millis: 0,
    }
}

fn delay_first_byte(shared: &EngineShared) {
    let millis = shared.lock().faults.first_byte_delay_millis;
    if millis > 0 {
        thread::sleep(Duration::from_millis(millis));
    }
}
