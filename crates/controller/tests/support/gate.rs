//! Holds a process's calls back, as when the process is stopped in the middle of one.
#![allow(clippy::unwrap_used, dead_code)]

use shelfjunction_core::engine::{EngineCall, EngineStatus, Order, OrderAction, OrderReply, RunState};
use shelfjunction_core::identity::RequestId;
use shelfjunction_core::table::{PlatformError, Row, RowKey, Transaction, TransactionOutcome};
use shelfjunction_platform::engine::{AnswerStream, CallError, ControlError, EngineClient, KvEventBatch};
use shelfjunction_platform::services::TableService;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Open at first; calls that meet it closed wait until it opens again.
#[derive(Default)]
pub struct Gate {
    state: Mutex<GateState>,
    changed: Condvar,
}

#[derive(Default)]
struct GateState {
    closed: bool,
    held: usize,
}

impl Gate {
    pub fn close(&self) {
        self.state.lock().unwrap().closed = true;
    }

    pub fn open(&self) {
        self.state.lock().unwrap().closed = false;
        self.changed.notify_all();
    }

    /// Waits until a call is held back.
    pub fn wait_held(&self, limit: Duration) {
        let state = self.state.lock().unwrap();
        let waited = self
            .changed
            .wait_timeout_while(state, limit, |state| state.held == 0);
        assert!(!waited.unwrap().1.timed_out(), "no call met the closed gate");
    }

    fn pass(&self) {
        let mut state = self.state.lock().unwrap();
        if state.closed {
            state.held += 1;
            self.changed.notify_all();
            state = self.changed.wait_while(state, |state| state.closed).unwrap();
            state.held -= 1;
        }
    }
}

/// A table service behind a gate, both on the way there and on the way back.
pub struct GatedTable {
    pub inner: Arc<dyn TableService>,
    pub gate: Arc<Gate>,
}

impl GatedTable {
    fn through<T>(&self, call: impl FnOnce() -> T) -> T {
        self.gate.pass();
        let answer = call();
        self.gate.pass();
        answer
    }
}

impl TableService for GatedTable {
    fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.through(|| self.inner.read(key))
    }
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.through(|| self.inner.scan(prefix))
    }
    fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, PlatformError> {
        self.through(|| self.inner.transact(transaction))
    }
}

/// Engines behind a gate for every order and one for role changes alone.
pub struct GatedEngines {
    pub inner: Arc<dyn EngineClient>,
    pub orders: Arc<Gate>,
    pub role_changes: Arc<Gate>,
}

impl EngineClient for GatedEngines {
    fn call(&self, address: SocketAddr, call: &EngineCall) -> Result<Box<dyn AnswerStream>, CallError> {
        self.inner.call(address, call)
    }
    fn resume(
        &self,
        address: SocketAddr,
        request: &RequestId,
        offset: u32,
    ) -> Result<Box<dyn AnswerStream>, CallError> {
        self.inner.resume(address, request, offset)
    }
    fn run_state(&self, address: SocketAddr, request: &RequestId) -> Result<RunState, ControlError> {
        self.inner.run_state(address, request)
    }
    fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), ControlError> {
        self.inner.cancel(address, request)
    }
    fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, ControlError> {
        self.orders.pass();
        if matches!(order.action, OrderAction::ChangeRole { .. }) {
            self.role_changes.pass();
        }
        self.inner.order(address, order)
    }
    fn status(&self, address: SocketAddr) -> Result<EngineStatus, ControlError> {
        self.inner.status(address)
    }
    fn kv_events(&self, address: SocketAddr, after: u64) -> Result<KvEventBatch, ControlError> {
        self.inner.kv_events(address, after)
    }
}
