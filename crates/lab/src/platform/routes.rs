//! Paths of the stand-in platform's HTTP interface, and the bodies behind them.

use super::state::{PlatformAnswer, PlatformCall};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use shelfjunction_core::identity::{ModelId, WeightVersion};
use shelfjunction_core::table::{PlatformError, RowKey};
use shelfjunction_platform::http_platform::wire::{ErrorBody, LoadWeightsBody, WeightMillisBody};
use tiny_http::Method;

/// What a request asks for.
#[derive(Debug)]
pub(super) enum Route {
    /// A call to a service.
    Call(PlatformCall),
    /// Replace the machine list.
    SetMachines,
    /// Replace the faults.
    SetFaults,
    /// Read the records after a position.
    Log {
        /// The position.
        after: u64,
    },
    /// Whether the process answers.
    Health,
}

/// Why a request asks for nothing that can be done.
#[derive(Debug)]
pub(super) enum RouteError {
    /// No such path or method.
    NotFound,
    /// The body or a query value is not understood.
    Invalid(String),
}

/// Answer as it goes over the wire.
#[derive(Debug)]
pub(super) struct WireAnswer {
    /// HTTP status.
    pub(super) status: u16,
    /// Body.
    pub(super) body: Vec<u8>,
}

/// Finds what a request asks for.
pub(super) fn route(method: &Method, target: &str, body: &[u8]) -> Result<Route, RouteError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        (Method::Post, "/table/transact") => Ok(Route::Call(PlatformCall::Transact(parse(body)?))),
        (Method::Get, "/table/row") => Ok(Route::Call(PlatformCall::ReadRow(RowKey(required(
            query, "key",
        )?)))),
        (Method::Get, "/table/scan") => Ok(Route::Call(PlatformCall::Scan(required(query, "prefix")?))),
        (Method::Get, "/machines") => Ok(Route::Call(PlatformCall::Machines)),
        (Method::Post, "/machines") => Ok(Route::SetMachines),
        (Method::Get, "/weights") => Ok(Route::Call(PlatformCall::WeightQueue {
            model: ModelId(required(query, "model")?),
            version: WeightVersion(required(query, "version")?),
        })),
        (Method::Post, "/weights/loads") => load_weights(body),
        (Method::Post, "/faults") => Ok(Route::SetFaults),
        (Method::Get, "/log") => log_route(query),
        (Method::Get, "/healthz") => Ok(Route::Health),
        _ => object_route(method, path, body),
    }
}

fn load_weights(body: &[u8]) -> Result<Route, RouteError> {
    let load: LoadWeightsBody = parse(body)?;
    Ok(Route::Call(PlatformCall::LoadWeights {
        model: load.model,
        version: load.version,
        bytes: load.bytes,
    }))
}

fn log_route(query: &str) -> Result<Route, RouteError> {
    let after = match query_value(query, "after") {
        None => 0,
        Some(text) => text
            .parse()
            .map_err(|_| RouteError::Invalid("after is not a number".to_owned()))?,
    };
    Ok(Route::Log { after })
}

fn object_route(method: &Method, path: &str, body: &[u8]) -> Result<Route, RouteError> {
    let name = path.strip_prefix("/objects/").ok_or(RouteError::NotFound)?;
    let name = decode(name);
    match method {
        Method::Put => Ok(Route::Call(PlatformCall::PutObject {
            name,
            bytes: body.to_vec(),
        })),
        Method::Get => Ok(Route::Call(PlatformCall::GetObject(name))),
        _ => Err(RouteError::NotFound),
    }
}

/// Reads a JSON body.
pub(super) fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, RouteError> {
    serde_json::from_slice(body).map_err(|error| RouteError::Invalid(error.to_string()))
}

fn required(query: &str, name: &str) -> Result<String, RouteError> {
    query_value(query, name).ok_or_else(|| RouteError::Invalid(format!("{name} is missing")))
}

fn query_value(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(found, _)| *found == name)
        .map(|(_, value)| decode(value))
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// The wire form of an answer; absent where nothing is to be answered at all.
pub(super) fn wire_answer(result: Result<PlatformAnswer, PlatformError>) -> Option<WireAnswer> {
    match result {
        Ok(answer) => Some(success(answer)),
        Err(PlatformError::AnswerLost) => None,
        Err(error) => Some(failure(error)),
    }
}

fn success(answer: PlatformAnswer) -> WireAnswer {
    match answer {
        PlatformAnswer::Transaction(outcome) => json_answer(200, &outcome),
        PlatformAnswer::Row(row) => json_answer(200, &row),
        PlatformAnswer::Rows(rows) => json_answer(200, &rows),
        PlatformAnswer::Machines(machines) => json_answer(200, &machines),
        PlatformAnswer::WeightMillis(millis) => json_answer(200, &WeightMillisBody { millis }),
        PlatformAnswer::Stored => plain_answer(200, Vec::new()),
        PlatformAnswer::Object(Some(bytes)) => plain_answer(200, bytes),
        PlatformAnswer::Object(None) => plain_answer(404, Vec::new()),
    }
}

fn failure(error: PlatformError) -> WireAnswer {
    let status = match &error {
        PlatformError::Unavailable | PlatformError::AnswerLost => 503,
        PlatformError::Throttled { .. } => 429,
        PlatformError::Malformed(_) => 400,
    };
    json_answer(status, &ErrorBody { error })
}

/// The answer to a request that asks for nothing that can be done.
pub(super) fn refused(error: RouteError) -> WireAnswer {
    match error {
        RouteError::NotFound => failure(PlatformError::Malformed("no such path or method".to_owned())),
        RouteError::Invalid(reason) => failure(PlatformError::Malformed(reason)),
    }
}

/// An answer with a JSON body.
pub(super) fn json_answer(status: u16, body: &impl Serialize) -> WireAnswer {
    match serde_json::to_vec(body) {
        Ok(body) => WireAnswer { status, body },
        Err(_) => plain_answer(500, Vec::new()),
    }
}

/// An answer with these bytes.
pub(super) fn plain_answer(status: u16, body: Vec<u8>) -> WireAnswer {
    WireAnswer { status, body }
}
