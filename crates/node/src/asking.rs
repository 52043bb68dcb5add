//! One short question to an engine, aside from any request.

use crate::context::Context;
use crate::engine_contact::{self, ConnectFailure};
use crate::engine_signals;
use crate::links::Connection;
use crate::ports::{EngineLink, EngineReading};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use shelfjunction_core::forwarding::max_wait;
use shelfjunction_core::identity::{EngineId, EngineStart};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Asks an engine and waits for its answer; the error names what went wrong. An engine that asked this node to back off is not
/// asked: it wants no requests of any kind.
pub(crate) fn ask(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
    question: impl FnOnce(&mut dyn EngineLink),
) -> Result<EngineReading, &'static str> {
    check_backoff(context, engine)?;
    let taken = engine_contact::take_link(context, engine, address, max_wait::CONNECT);
    ask_over(context, engine, taken, wait, question)
}

/// The same over this node's own links alone.
pub(crate) fn ask_directly(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
    question: impl FnOnce(&mut dyn EngineLink),
) -> Result<EngineReading, &'static str> {
    check_backoff(context, engine)?;
    let taken = engine_contact::take_direct_link(context, engine, address, max_wait::CONNECT);
    ask_over(context, engine, taken, wait, question)
}

fn check_backoff(context: &Context, engine: &EngineId) -> Result<(), &'static str> {
    let handle = SubjectHandle::of_engine(engine);
    let left = lock(&context.router).backoff_remaining(handle, context.now());
    left.map_or(Ok(()), |_| Err("backed_off"))
}

fn ask_over(
    context: &Context,
    engine: &EngineId,
    taken: Result<Connection, ConnectFailure>,
    wait: Duration,
    question: impl FnOnce(&mut dyn EngineLink),
) -> Result<EngineReading, &'static str> {
    let mut link = taken.map_err(|_| "not_connected")?;
    question(&mut *link);
    let sent_at = context.now();
    let reading = read_answer(context, &mut *link, sent_at + wait);
    if let Some(signals) = link.take_signals() {
        engine_signals::on_question_answered(context, engine, &signals, sent_at);
    }
    let reading = reading?;
    context.rest_link(engine, link, context.now());
    Ok(reading)
}

/// The start of the engine at the other end of a connection, by its report over that connection, which is asked for once; absent where it
/// is not reported. An engine that started again under its name may be listed as the start before. The connection can be used
/// afterwards unless no other could be had in its place.
pub(crate) fn learn_start(
    context: &Context,
    link: &mut Connection,
    engine: &EngineId,
    wait: Duration,
) -> Option<EngineStart> {
    if let Some(start) = link.reported_start() {
        return Some(start);
    }
    link.begin_report();
    let reading = read_answer(context, &mut **link, context.now() + wait);
    let start = match &reading {
        Ok(EngineReading::Report(report)) => Some(report.start),
        _ => None,
    };
    if start != Some(engine.start()) {
        log::info!(engine = engine.as_str(), start:% = engine.start(), reading:? = reading; "start_not_reported");
    }
    if link.rest().is_none() && !replace(context, link, engine, wait) {
        return None;
    }
    if let Some(start) = start {
        link.note_reported_start(start);
    }
    start
}

/// Whether the given start of an engine answers at the other end of a connection, asked now; the error names what went wrong. Asked also of
/// an engine that wants no requests: without its word a whole answer would be taken for one that broke off.
pub(crate) fn check_identity(
    context: &Context,
    link: &mut Connection,
    engine: &EngineId,
    start: EngineStart,
    wait: Duration,
) -> Result<bool, &'static str> {
    let asked_at = context.now();
    link.begin_identity_check(&EngineId::started(engine.as_str(), start));
    let reading = read_answer(context, &mut **link, asked_at + wait);
    if let Some(signals) = link.take_signals() {
        engine_signals::on_question_answered(context, engine, &signals, asked_at);
    }
    match reading? {
        EngineReading::Identity { is_same } => Ok(is_same),
        _ => Err("answer_not_asked_for"),
    }
}

/// Connects anew where the answer has ended the connection; whether that succeeded.
fn replace(context: &Context, link: &mut Connection, engine: &EngineId, wait: Duration) -> bool {
    let address = lock(&context.router)
        .engine(engine)
        .map(|state| state.engine.address);
    let connected = address.and_then(|address| engine_contact::connect(context, engine, address, wait).ok());
    let is_connected = connected.is_some();
    if let Some(connection) = connected {
        *link = connection;
    }
    is_connected
}

fn read_answer(
    context: &Context,
    link: &mut dyn EngineLink,
    until: MonotonicTime,
) -> Result<EngineReading, &'static str> {
    let mut held_answer = context.buffers.hold_answer();
    loop {
        let all_sent = link.push().map_err(|_| "write_failed")?;
        let reading = link.read();
        let reads_again = reading == EngineReading::ReadAgain;
        match reading {
            EngineReading::Pending | EngineReading::ReadAgain => {}
            EngineReading::Broken(cause) => return Err(cause),
            reading => return Ok(reading),
        }
        held_answer.set(link.answer_bytes());
        if !held_answer.reads_on() {
            // A question can be asked again; what is held for callers comes first.
            return Err("no_room_for_answer");
        }
        let left = until.since(context.now());
        if left.is_zero() {
            return Err("silent");
        }
        if reads_again {
            continue;
        }
        let mut flags = PollFlags::IN;
        if !all_sent {
            flags |= PollFlags::OUT;
        }
        let timeout = Timespec::try_from(left).unwrap_or_default();
        // A failed wait shows in the next read.
        let _ = poll(
            &mut [PollFd::from_borrowed_fd(link.descriptor(), flags)],
            Some(&timeout),
        );
    }
}
