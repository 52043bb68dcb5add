//! The store: rows with versions, transactions with conditions, and a feed that can forget its history.

use super::deferral::{Deferral, DeferralCount, DeferralDelay};
use super::store_rows::{JSON, Shared, StoreCopy, WireRow, changed_rows, name, rows_answer, wire_row};
use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

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
    /// Transactions are not answered and made some seconds later, if their conditions hold by then.
    Deferring,
}

/// What a door shows of a row's value, given its table and value; absent for the value as it is.
pub type ShownValue = Box<dyn Fn(&str, &str) -> Option<String> + Send + Sync>;

/// A running store on loopback, or another door to one; each door has a mode of its own.
pub struct StandInStore {
    server: HttpServer,
    shared: Arc<Shared>,
    mode: Arc<Mutex<StoreMode>>,
    /// Transactions of all doors that are made later, by their bodies.
    deferral: Arc<Deferral<Vec<u8>>>,
    /// Calls to this door while it did not serve.
    failed: Arc<AtomicU64>,
    shown: Arc<OnceLock<ShownValue>>,
}

impl StandInStore {
    /// Starts an empty store on a free port.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let of_deferral = Arc::clone(&shared);
        let deferral = Deferral::start(move |body: Vec<u8>| {
            let status = of_deferral.transact(&body).status;
            log::info!(status; "store_call_made_late");
            status == 200
        })?;
        Self::open(shared, Arc::new(deferral))
    }

    /// Opens another door to the same rows, so that some callers may be refused while others are served.
    pub fn another_door(&self) -> io::Result<Self> {
        Self::open(Arc::clone(&self.shared), Arc::clone(&self.deferral))
    }

    fn open(shared: Arc<Shared>, deferral: Arc<Deferral<Vec<u8>>>) -> io::Result<Self> {
        let mode = Arc::new(Mutex::new(StoreMode::default()));
        let failed = Arc::new(AtomicU64::new(0));
        let shown = Arc::default();
        let handler = Arc::new(StoreHandler {
            shared: Arc::clone(&shared),
            mode: Arc::clone(&mode),
            deferral: Arc::clone(&deferral),
            failed: Arc::clone(&failed),
            shown: Arc::clone(&shown),
        });
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = HttpServer::start(address, HttpLimits::default(), handler)?;
        Ok(Self {
            server,
            shared,
            mode,
            deferral,
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

    /// Changes how it answers if it answers so now; whether it did.
    pub fn replace_mode(&self, from: StoreMode, to: StoreMode) -> bool {
        let mut mode = self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        let replaced = *mode == from;
        if replaced {
            *mode = to;
        }
        drop(mode);
        self.shared.changed.notify_all();
        replaced
    }

    /// When transactions that any door defers from now on are made.
    pub fn set_deferral(&self, delay: &DeferralDelay) {
        self.deferral.set_delay(delay);
    }

    /// Makes one of the transactions that were deferred, the oldest at place 0; whether its conditions held, absent where
    /// none waits there.
    pub fn make_deferred(&self, place: usize) -> Option<bool> {
        self.deferral.carry_out(place)
    }

    /// Transactions of all doors that were deferred so far.
    pub fn deferrals(&self) -> DeferralCount {
        self.deferral.count()
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
        let (era, version) = (state.era, state.version);
        drop(state);
        log::info!(era, version; "stand_in_store_restored");
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

struct StoreHandler {
    shared: Arc<Shared>,
    mode: Arc<Mutex<StoreMode>>,
    deferral: Arc<Deferral<Vec<u8>>>,
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
            StoreMode::Serving | StoreMode::LosingAnswers | StoreMode::Deferring => {}
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/shelfjunction/rows-get") => self.get(&request),
            ("GET", "/shelfjunction/rows-feed") => self.feed(&request),
            ("POST", "/shelfjunction/rows-tx") if mode == StoreMode::Deferring => {
                self.deferral.defer(request.body.to_vec());
                return Answered::broken();
            }
            ("POST", "/shelfjunction/rows-tx") => {
                let answer = self.shared.transact(&request.body);
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
}

fn number(text: Option<&str>) -> Option<u64> {
    text?.parse().ok()
}

fn decoded(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
