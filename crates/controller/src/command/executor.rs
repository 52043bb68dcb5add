//! Threads that make the commander's table calls and send its orders.
//!
//! The lease has a thread of its own: renewals must not wait behind the commits of a slow store.

use crate::context::Context;
use crate::fleet;
use shelfjunction_core::engine::Order;
use shelfjunction_core::identity::{FencingToken, ZoneId};
use shelfjunction_core::lease::{CallId, TableAnswer, TableCall, lease_key};
use shelfjunction_core::orders::{CommanderEvent, OrderAnswer};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::engine::ControlError;
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Longest wait of an idle worker before it looks at the stop signal.
const IDLE_WAIT: Duration = Duration::from_millis(100);

/// Token that no order carries; set while this controller holds no lease.
const NO_TOKEN: u64 = 0;

struct TableTask {
    call: CallId,
    request: TableCall,
}

struct OrderTask {
    order: Order,
    not_after: MonotonicTime,
}

/// Tasks that wait for a worker.
struct Queue<T> {
    tasks: Mutex<VecDeque<T>>,
    added: Condvar,
}

impl<T> Queue<T> {
    fn new() -> Self {
        Self {
            tasks: Mutex::new(VecDeque::new()),
            added: Condvar::new(),
        }
    }

    fn push(&self, task: T) {
        lock(&self.tasks).push_back(task);
        self.added.notify_one();
    }

    fn pop(&self) -> Option<T> {
        let tasks = lock(&self.tasks);
        let waited = self
            .added
            .wait_timeout_while(tasks, IDLE_WAIT, |tasks| tasks.is_empty());
        let (mut tasks, _) = waited.unwrap_or_else(PoisonError::into_inner);
        tasks.pop_front()
    }
}

/// Queues of the commander's effects.
pub struct Executor {
    zone: ZoneId,
    lease_calls: Queue<TableTask>,
    table_calls: Queue<TableTask>,
    orders: Queue<OrderTask>,
    token: AtomicU64,
}

impl Executor {
    /// Empty queues for the commander of a zone.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            lease_calls: Queue::new(),
            table_calls: Queue::new(),
            orders: Queue::new(),
            token: AtomicU64::new(NO_TOKEN),
        }
    }

    /// Lets orders under this token be sent.
    pub(super) fn permit(&self, token: FencingToken) {
        self.token.store(token.0, Ordering::SeqCst);
    }

    /// Lets no order be sent; those that wait are answered as not sent.
    pub(super) fn forbid(&self) {
        self.token.store(NO_TOKEN, Ordering::SeqCst);
    }

    pub(super) fn call(&self, call: CallId, request: TableCall) {
        let task = TableTask { call, request };
        if concerns_lease(&task.request, &self.zone) {
            self.lease_calls.push(task);
        } else {
            self.table_calls.push(task);
        }
    }

    pub(super) fn send_order(&self, order: Order, not_after: MonotonicTime) {
        self.orders.push(OrderTask { order, not_after });
    }

    /// Makes the calls that carry the lease, until the controller stops.
    pub fn run_lease_calls(&self, context: &Context) {
        run_table_calls(context, &self.lease_calls);
    }

    /// Makes the other table calls, until the controller stops.
    pub fn run_table_calls(&self, context: &Context) {
        run_table_calls(context, &self.table_calls);
    }

    /// Sends orders, until the controller stops.
    pub fn run_orders(&self, context: &Context) {
        while !context.stop.is_set() {
            if let Some(task) = self.orders.pop() {
                let engine = task.order.engine.clone();
                let order = task.order.order.clone();
                let answer = self.send(context, &task);
                context.command.send(CommanderEvent::OrderAnswer {
                    engine,
                    order,
                    answer,
                });
            }
        }
    }

    fn send(&self, context: &Context, task: &OrderTask) -> OrderAnswer {
        let known = fleet::zone_engines(context);
        let found = known.iter().find(|known| known.engine == task.order.engine);
        let Some(address) = found.and_then(|known| known.address()) else {
            return OrderAnswer::NotSent;
        };
        // The last look before the send: a process that was stopped meanwhile has lost its right to order. What is
        // left is a stop between here and the engine, and that the engine's fence bounds.
        let permitted = self.token.load(Ordering::SeqCst) == task.order.token.0;
        if !permitted || context.now() >= task.not_after {
            return OrderAnswer::NotSent;
        }
        context.metrics.orders_sent.inc();
        log::info!(
            engine:% = task.order.engine, order:% = task.order.order, token:% = task.order.token,
            action:? = task.order.action; "order_sent"
        );
        match context.services.engines.order(address, &task.order) {
            Ok(reply) => OrderAnswer::Reply(reply),
            Err(ControlError::Unreachable) => OrderAnswer::NotSent,
            Err(ControlError::AnswerLost | ControlError::Malformed(_)) => OrderAnswer::Lost,
        }
    }
}

fn run_table_calls(context: &Context, queue: &Queue<TableTask>) {
    while !context.stop.is_set() {
        if let Some(task) = queue.pop() {
            let answer = make_call(context, task.request);
            if let TableAnswer::Failed(error) = &answer {
                context.metrics.platform_errors.inc();
                log::debug!(error:? = error; "table_call_failed");
            }
            context.command.send(CommanderEvent::Answer {
                call: task.call,
                answer,
            });
        }
    }
}

fn make_call(context: &Context, request: TableCall) -> TableAnswer {
    let table = &context.services.table;
    match request {
        TableCall::Read(key) => table.read(&key).into(),
        TableCall::Scan(prefix) => table.scan(&prefix).into(),
        TableCall::Transact(transaction) => table.transact(&transaction).into(),
    }
}

fn concerns_lease(request: &TableCall, zone: &ZoneId) -> bool {
    let lease = lease_key(zone);
    match request {
        TableCall::Read(key) => *key == lease,
        TableCall::Scan(_) => false,
        TableCall::Transact(transaction) => transaction.checks.iter().any(|check| check.key == lease),
    }
}
