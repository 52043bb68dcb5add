//! The store: rows with versions, transactions with conditions, and a feed that can forget its history.

use serde::{Deserialize, Serialize};
use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

const JSON: &str = "application/json";

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// As it should.
    #[default]
    Serving,
    /// 429 to every call; nothing is done.
    Throttling,
    /// 503 to every call; nothing is done.
    Down,
    /// Transactions are made and not answered.
    LosingAnswers,
}

/// What a door shows of a row's value, given its table and value; absent for the value as it is.
pub type ShownValue = Box<dyn Fn(&str, &str) -> Option<String> + Send + Sync>;

/// Table and key of a row.
type RowName = (String, String);

#[derive(Clone, Debug)]
struct Stored {
    value: String,
    version: u64,
}

#[derive(Clone, Debug)]
struct Change {
    version: u64,
    name: RowName,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowName, Stored>,
    history: Vec<Change>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
    version: u64,
    /// Restores from a copy so far; answers name it from the first on.
    era: u64,
    calls: u64,
}

/// A copy of the store, to be restored later.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: BTreeMap<RowName, Stored>,
    version: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRow {
    table: String,
    part: String,
    private_key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    gone: bool,
}

#[derive(Serialize)]
struct Rows {
    rows: Vec<WireRow>,
    more: bool,
    ver: u64,
    now_ms: u64,
}

#[derive(Deserialize)]
struct Transaction {
    expected: Vec<WireRow>,
    put: Vec<WireRow>,
    remove: Vec<WireRow>,
}

/// A running store on loopback, or another door to one; each door has a mode of its own.
pub struct StandInStore {
    server: HttpServer,
    shared: Arc<Shared>,
    mode: Arc<Mutex<StoreMode>>,
    /// Calls to this door while it did not serve.
    failed: Arc<AtomicU64>,
    shown: Arc<OnceLock<ShownValue>>,
}

impl StandInStore {
    /// Starts an empty store on a free port.
    pub fn start() -> io::Result<Self> {
        Self::open(Arc::new(Shared::default()))
    }

    /// Opens another door to the same rows, so that some callers may be refused while others are served.
    pub fn another_door(&self) -> io::Result<Self> {
        Self::open(Arc::clone(&self.shared))
    }

    fn open(shared: Arc<Shared>) -> io::Result<Self> {
        let mode = Arc::new(Mutex::new(StoreMode::default()));
        let failed = Arc::new(AtomicU64::new(0));
        let shown = Arc::default();
        let handler = Arc::new(StoreHandler {
            shared: Arc::clone(&shared),
            mode: Arc::clone(&mode),
            failed: Arc::clone(&failed),
            shown: Arc::clone(&shown),
        });
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = HttpServer::start(address, HttpLimits::default(), handler)?;
        Ok(Self {
            server,
            shared,
            mode,
            failed,
            shown,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how it answers; questions that wait are answered at once.
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.shared.changed.notify_all();
    }

    /// Shows rows that are read through this door with other values. Only the first call has an effect.
    pub fn show_rows_as(&self, shown: ShownValue) {
        // A second call leaves what the first has set.
        let _ = self.shown.set(shown);
    }

    /// Writes a row, as the operator and the engines do; `value` is base64.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.shared.lock().write(name(table, key), Some(value.to_owned()));
        self.shared.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.lock().write(name(table, key), None);
        self.shared.changed.notify_all();
    }

    /// A row's content in base64, and its version.
    pub fn row(&self, table: &str, key: &str) -> Option<(String, u64)> {
        let state = self.shared.lock();
        let stored = state.rows.get(&name(table, key))?;
        Some((stored.value.clone(), stored.version))
    }

    /// Forgets the history of changes.
    pub fn forget_history(&self) {
        let mut state = self.shared.lock();
        state.forgotten = state.version;
        state.history.clear();
        drop(state);
        self.shared.changed.notify_all();
    }

    /// A copy of what it holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.shared.lock();
        StoreCopy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Comes back from a copy: what was written since is gone, and its versions are given out again in a new era.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.shared.lock();
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.forgotten = copy.version;
        state.history.clear();
        state.era += 1;
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Calls to this door so far while it did not serve.
    pub fn failed_calls(&self) -> u64 {
        self.failed.load(Ordering::SeqCst)
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, name: RowName, value: Option<String>) {
        self.version += 1;
        self.record(name, value);
    }

    fn record(&mut self, name: RowName, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                let stored = Stored {
                    value: value.clone(),
                    version,
                };
                self.rows.insert(name.clone(), stored);
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.history.push(Change { version, name, value });
    }

    fn version_of(&self, name: &RowName) -> u64 {
        self.rows.get(name).map_or(0, |stored| stored.version)
    }
}

struct StoreHandler {
    shared: Arc<Shared>,
    mode: Arc<Mutex<StoreMode>>,
    failed: Arc<AtomicU64>,
    shown: Arc<OnceLock<ShownValue>>,
}

impl Handler for StoreHandler {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        self.shared.lock().calls += 1;
        let mode = self.mode();
        if mode != StoreMode::Serving {
            self.failed.fetch_add(1, Ordering::SeqCst);
        }
        match mode {
            StoreMode::Throttling => return responder.answer(&self.in_era(Answer::new(429, JSON, "{}"))),
            StoreMode::Down => return responder.answer(&self.in_era(Answer::new(503, JSON, "{}"))),
            StoreMode::Serving | StoreMode::LosingAnswers => {}
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/shelfjunction/rows-get") => self.get(&request),
            ("GET", "/shelfjunction/rows-feed") => self.feed(&request),
            ("POST", "/shelfjunction/rows-tx") => {
                let answer = self.transact(&request.body);
                if mode == StoreMode::LosingAnswers {
                    return Answered::broken();
                }
                answer
            }
            _ => Answer::new(404, JSON, "{}"),
        };
        responder.answer(&self.in_era(answer))
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        error.status().map(|status| Answer::new(status, JSON, "{}"))
    }
}

impl StoreHandler {
    fn mode(&self) -> StoreMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The answer with the era that it belongs to.
    fn in_era(&self, answer: Answer) -> Answer {
        match self.shared.lock().era {
            0 => answer,
            era => answer.with_header("Store-Era", era.to_string()),
        }
    }

    /// Rows as this door shows them.
    fn shown(&self, mut rows: Vec<WireRow>) -> Vec<WireRow> {
        if let Some(shown) = self.shown.get() {
            for row in &mut rows {
                if let Some(value) = shown(&row.table, &row.value) {
                    row.value = value;
                }
            }
        }
        rows
    }

    fn get(&self, request: &HttpRequest) -> Answer {
        let state = self.shared.lock();
        let table = request.query_value("table").unwrap_or_default();
        let from = decoded(request.query_value("source").unwrap_or_default());
        let until = request.query_value("targetVersion").map(decoded);
        let limit: usize = number(request.query_value("limit")).unwrap_or(500) as usize;
        let matching = state
            .rows
            .iter()
            .filter(|((in_table, key), _)| in_table == table && *key >= from)
            .filter(|((_, key), _)| until.as_ref().is_none_or(|until| key < until));
        let mut rows: Vec<WireRow> = matching
            .take(limit + 1)
            .map(|(name, stored)| wire_row(name, Some(&stored.value), stored.version))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        let version = state.version;
        // What is shown may change the store, as others do between two answers.
        drop(state);
        rows_answer(200, self.shown(rows), more, version)
    }

    fn feed(&self, request: &HttpRequest) -> Answer {
        let table = request.query_value("table").unwrap_or_default();
        let after = number(request.query_value("after")).unwrap_or(0);
        let wait = Duration::from_millis(number(request.query_value("waitMs")).unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.shared.lock();
        loop {
            if self.mode() == StoreMode::Down {
                return Answer::new(503, JSON, "{}");
            }
            // A version that it does not have, or changes that it has forgotten.
            if after < state.forgotten || after > state.version {
                return Answer::new(410, JSON, "{}");
            }
            let rows = changed_rows(&state, table, after);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return rows_answer(200, self.shown(rows), false, state.version);
            }
            state = self
                .shared
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return Answer::new(400, JSON, "{}");
        };
        let mut state = self.shared.lock();
        let holds = |row: &WireRow| state.version_of(&row_name(row)) == row.ver;
        if !transaction.expected.iter().all(holds) {
            let rows = transaction.expected.iter().filter_map(|row| {
                let name = row_name(row);
                let stored = state.rows.get(&name)?;
                Some(wire_row(&name, Some(&stored.value), stored.version))
            });
            return rows_answer(412, rows.collect(), false, state.version);
        }
        state.version += 1;
        for row in transaction.put {
            let value = row.value.clone();
            state.record(row_name(&row), Some(value));
        }
        for row in transaction.remove {
            state.record(row_name(&row), None);
        }
        let version = state.version;
        drop(state);
        self.shared.changed.notify_all();
        rows_answer(200, Vec::new(), false, version)
    }
}

/// The last change of each row of a table since a version, in order.
fn changed_rows(state: &State, table: &str, after: u64) -> Vec<WireRow> {
    let mut last: BTreeMap<&RowName, &Change> = BTreeMap::new();
    for change in state
        .history
        .iter()
        .filter(|change| change.version > after && change.name.0 == table)
    {
        last.insert(&change.name, change);
    }
    let mut rows: Vec<WireRow> = last
        .into_values()
        .map(|change| wire_row(&change.name, change.value.as_ref(), change.version))
        .collect();
    rows.sort_by_key(|row| row.ver);
    rows
}

fn rows_answer(status: u16, rows: Vec<WireRow>, more: bool, version: u64) -> Answer {
    let rows = Rows {
        rows,
        more,
        ver: version,
        now_ms: 0,
    };
    Answer::new(status, JSON, serde_json::to_vec(&rows).unwrap_or_default())
}

fn wire_row(name: &RowName, value: Option<&String>, version: u64) -> WireRow {
    WireRow {
        table: name.0.clone(),
        part: String::new(),
        private_key: name.1.clone(),
        value: value.cloned().unwrap_or_default(),
        ver: version,
        gone: value.is_none(),
    }
}

fn row_name(row: &WireRow) -> RowName {
    name(&row.table, &row.private_key)
}

fn name(table: &str, key: &str) -> RowName {
    (table.to_owned(), key.to_owned())
}

fn number(text: Option<&str>) -> Option<u64> {
    text?.parse().ok()
}

fn decoded(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
