//! Sends a schedule at its times and gathers what comes back.

use super::collect::Collector;
use super::observation::Observation;
use super::plan::LoadPlan;
use super::schedule::{self, PlannedCall, ScheduleError};
use super::summary::LoadSummary;
use super::{direct_call, gateway_call};
use crate::caller::CallerClient;
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// State of a run, told once a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Since the start of the run.
    pub elapsed: Duration,
    /// Calls in the schedule.
    pub planned: usize,
    /// Calls that have ended.
    pub ended: u64,
    /// Calls that gave a whole answer.
    pub completed: u64,
}

/// Runs the whole plan; ends when every call has ended. Each observation also goes to `observe`.
pub fn run(
    plan: &LoadPlan,
    mut observe: impl FnMut(&Observation),
    mut report: impl FnMut(Progress),
) -> Result<LoadSummary, ScheduleError> {
    let calls = schedule::generate(plan)?;
    let next = AtomicUsize::new(0);
    let start = Instant::now();
    let (sender, receiver) = mpsc::channel();
    let collector = thread::scope(|scope| {
        for _ in 0..plan.senders.clamp(1, calls.len().max(1)) {
            let sender = sender.clone();
            let (calls, next) = (&calls, &next);
            scope.spawn(move || {
                let clients = Clients::new(plan);
                while let Some(call) = calls.get(next.fetch_add(1, Ordering::Relaxed)) {
                    // The collector outlives every sender, so the send can't fail.
                    let _ = sender.send(clients.send(plan, call, start));
                }
            });
        }
        drop(sender);
        gather(plan, &calls, &receiver, start, &mut observe, &mut report)
    });
    Ok(collector.summary(plan, calls.len()))
}

fn gather(
    plan: &LoadPlan,
    calls: &[PlannedCall],
    receiver: &Receiver<Observation>,
    start: Instant,
    observe: &mut impl FnMut(&Observation),
    report: &mut impl FnMut(Progress),
) -> Collector {
    let mut collector = Collector::new(plan);
    let mut next_report = start + PROGRESS_INTERVAL;
    loop {
        let wait = next_report.saturating_duration_since(Instant::now());
        match receiver.recv_timeout(wait) {
            Ok(observation) => {
                collector.add(&observation);
                observe(&observation);
            }
            Err(RecvTimeoutError::Timeout) => {
                report(Progress {
                    elapsed: start.elapsed(),
                    planned: calls.len(),
                    ended: collector.observed(),
                    completed: collector.completed(),
                });
                next_report += PROGRESS_INTERVAL;
            }
            Err(RecvTimeoutError::Disconnected) => return collector,
        }
    }
}

struct Clients {
    gateway: CallerClient,
    engine: HttpEngineClient,
}

impl Clients {
    fn new(plan: &LoadPlan) -> Self {
        let millis = u64::try_from(plan.part_timeout.as_millis()).unwrap_or(u64::MAX);
        let timeouts = EngineTimeouts {
            response_millis: millis,
            between_parts_millis: millis,
            ..EngineTimeouts::default()
        };
        Self {
            gateway: CallerClient::new(plan.part_timeout),
            engine: HttpEngineClient::new(timeouts),
        }
    }

    /// Waits for the call's time and sends it; a call whose time has passed is sent at once.
    fn send(&self, plan: &LoadPlan, call: &PlannedCall, start: Instant) -> Observation {
        let intended = start + call.at;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        if call.direct {
            return direct_call::send(plan, call, &self.engine, intended);
        }
        gateway_call::send(plan, call, &self.gateway, intended)
    }
}
