//! Probes the nodes that may own tenants' buckets ([`shelfjunction_core::tenancy::rate_contacts`]): by a connection to the address at
//! which they hear others, which is closed at once.

use super::{lending, owning};
use crate::context::Context;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate_contacts::{ProbeOutcome, RateContacts};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::tenant_rate_messages::ChargeRequest;
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time between two looks at which nodes have fallen silent.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time to wait for a connection, as a part of the time that an asker waits for an answer.
const PROBE_TIMEOUT_PART: f64 = 0.5;

/// Probes that run at the same time.
const MAX_CONCURRENT_PROBES: usize = 8;

/// Questions that wait for the outcome of probes; more are answered without.
const MAX_WAITING: usize = 1_000;

/// Why a question waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitsFor {
    /// The other candidates are to be probed.
    Probes,
    /// Loans were recalled.
    Loans,
}

/// A question that is answered later.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingQuestion {
    pub(super) request: ChargeRequest,
    pub(super) from: SocketAddr,
    pub(super) waits_for: WaitsFor,
    /// When it is answered.
    pub(super) at: MonotonicTime,
}

/// What is known by probing, and the questions that wait for it.
#[derive(Default)]
pub(crate) struct Contacts {
    probes: Mutex<Probes>,
    probed: Condvar,
    waiting: Mutex<VecDeque<WaitingQuestion>>,
    asked: Condvar,
}

#[derive(Default)]
struct Probes {
    contacts: RateContacts,
    under_way: usize,
}

impl Contacts {
    /// Lets the caller read what is known.
    pub(super) fn read<T>(&self, reader: impl FnOnce(&RateContacts) -> T) -> T {
        reader(&lock(&self.probes).contacts)
    }

    /// Leaves a question to be answered by the thread that probes; false if too many wait.
    pub(super) fn answer_later(&self, question: WaitingQuestion) -> bool {
        let mut waiting = lock(&self.waiting);
        if waiting.len() >= MAX_WAITING {
            return false;
        }
        waiting.push_back(question);
        self.asked.notify_one();
        true
    }

    /// Probes those nodes for which it is due, and waits for probes that others have begun.
    pub(super) fn probe(&self, context: &Context, nodes: &[SubjectHandle]) {
        let due = {
            let mut probes = lock(&self.probes);
            let due = probes.contacts.begin(nodes, context.now());
            probes.under_way += due.len();
            due
        };
        for part in due.chunks(MAX_CONCURRENT_PROBES) {
            thread::scope(|scope| {
                for node in part {
                    let probe = || self.probe_one(context, *node);
                    if let Err(error) = thread::Builder::new().spawn_scoped(scope, probe) {
                        log::warn!(error:% = error; "probe_thread_not_started");
                        self.note(context, *node, None, ProbeOutcome::NoAnswer);
                    }
                }
            });
        }
        let longest = probe_timeout(context) * 2;
        let probes = lock(&self.probes);
        let waited = self
            .probed
            .wait_timeout_while(probes, longest, |probes| probes.under_way > 0);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    fn probe_one(&self, context: &Context, node: SubjectHandle) {
        let address = context.peers.address_of(node);
        let outcome = address.map_or(
            ProbeOutcome::NoAnswer,
            |address| match TcpStream::connect_timeout(&address, probe_timeout(context)) {
                Ok(_) => ProbeOutcome::Reached,
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
                Err(_) => ProbeOutcome::NoAnswer,
            },
        );
        self.note(context, node, address, outcome);
    }

    fn note(
        &self,
        context: &Context,
        node: SubjectHandle,
        address: Option<SocketAddr>,
        outcome: ProbeOutcome,
    ) {
        let mut probes = lock(&self.probes);
        let is_new = probes.contacts.note(node, outcome);
        probes.under_way -= 1;
        if probes.under_way == 0 {
            self.probed.notify_all();
        }
        drop(probes);
        if is_new {
            context.metrics.tenant_rates.node_ended();
            log::info!(node:? = address; "tenant_rate_node_ended");
        }
    }

    /// The next question that is due; absent when none became so within a time.
    fn next_due(&self, context: &Context, longest: Duration) -> Option<WaitingQuestion> {
        let now = context.now();
        let mut waiting = lock(&self.waiting);
        if let Some(position) = waiting.iter().position(|question| question.at <= now) {
            return waiting.remove(position);
        }
        let first = waiting.iter().map(|question| question.at.since(now)).min();
        let longest = first.map_or(longest, |first| first.min(longest));
        let waited = self.asked.wait_timeout(waiting, longest);
        let (mut waiting, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let now = context.now();
        let position = waiting.iter().position(|question| question.at <= now)?;
        waiting.remove(position)
    }
}

fn probe_timeout(context: &Context) -> Duration {
    context.config.placing.answer_wait().mul_f64(PROBE_TIMEOUT_PART)
}

/// Answers the questions that wait for probes, and probes silent nodes, as long as the process runs.
pub(crate) fn run(context: &Context) {
    let mut look_at = MonotonicTime::default();
    while !context.stop.is_set() {
        let now = context.now();
        if now >= look_at {
            look(context, now);
            look_at = context.now() + LOOK_INTERVAL;
        }
        let left = look_at.since(context.now());
        if let Some(question) = context.tenant_rates.contacts.next_due(context, left) {
            owning::answer_waiting(context, &question);
        }
    }
}

/// Probes the nodes that have fallen silent, so that a rate is not divided by those that have ended, and gives back loans that end.
fn look(context: &Context, now: MonotonicTime) {
    lending::end_idle(context);
    let config = context.forwarding();
    if config.is_some_and(|config| config.has_tenant_rates()) {
        let silent = context.peers.silent_nodes(now);
        context.tenant_rates.contacts.probe(context, &silent);
    }
}
