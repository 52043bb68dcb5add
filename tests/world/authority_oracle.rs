//! What must hold of orders, read from what was committed, sent, told and obeyed.

use super::fleet::Fleet;
use super::history::{EngineEntry, History, OrderSend, SendEnd};
use shelfjunction_core::engine::{Order, OrderAction, OrderReply, OrderSequence};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};

/// One thing that must hold and did not.
#[derive(Clone, Debug)]
pub struct Violation {
    /// What must hold.
    pub property: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Reads the history as it grows.
#[derive(Debug, Default)]
pub struct AuthorityOracle {
    commits_read: usize,
    sends_read: usize,
    entries_read: usize,
    obeyed: BTreeMap<(usize, u64), (FencingToken, OrderSequence)>,
    /// Engines that a holder has drained, as far as the holder can know.
    drained: BTreeSet<usize>,
}

impl AuthorityOracle {
    /// Checks everything that happened since the last call.
    pub fn check(&mut self, fleet: &Fleet) -> Result<(), Violation> {
        let history = &fleet.history;
        for commit in &history.commits[self.commits_read..] {
            hold(
                "an order is committed only under the zone's latest token",
                commit,
                || commit.order.token == commit.epoch,
            )?;
        }
        for send in &history.sends[self.sends_read..] {
            check_send(fleet, send)?;
        }
        for entry in &history.engines[self.entries_read..] {
            self.check_entry(fleet, entry)?;
        }
        self.commits_read = history.commits.len();
        self.sends_read = history.sends.len();
        self.entries_read = history.engines.len();
        Ok(())
    }

    fn check_entry(&mut self, fleet: &Fleet, entry: &EngineEntry) -> Result<(), Violation> {
        let EngineEntry::Told {
            at,
            engine,
            incarnation,
            send,
            order,
            obeyed: true,
            draining,
            in_flight,
            epoch,
            ..
        } = entry
        else {
            return Ok(());
        };
        let position = (order.token, order.sequence);
        let last = self.obeyed.insert((*engine, *incarnation), position);
        hold(
            "an engine obeys orders in the order of token and sequence",
            entry,
            || last.is_none_or(|last| last < position),
        )?;
        self.note_drain(order, *engine, *draining);
        hold(
            "a role is changed only on an engine that was drained and is empty",
            entry,
            || {
                // A sender that is stopped after its last look at the clock may meet an engine that has restarted since.
                let looked_at = fleet.history.sends[*send].checked_at;
                let restarted = crashed_between(&fleet.history, *engine, looked_at, *at);
                !is_slow_change(order) || (*in_flight == 0 && (restarted || self.drained.contains(engine)))
            },
        )?;
        hold(
            "an order of lost authority has no effect once the successor has begun",
            entry,
            || order.token >= *epoch || is_left_alone(fleet, *engine, *epoch, *at),
        )
    }

    /// A drain is forgotten by an engine that restarts; its holder knows once it has raised the fence again.
    fn note_drain(&mut self, order: &Order, engine: usize, draining: bool) {
        let drained = match order.action {
            OrderAction::Drain => true,
            OrderAction::Undrain => false,
            OrderAction::RaiseFence => draining,
            OrderAction::ChangeRole { .. } | OrderAction::LoadWeights { .. } => return,
        };
        match drained {
            true => self.drained.insert(engine),
            false => self.drained.remove(&engine),
        };
    }
}

fn check_send(fleet: &Fleet, send: &OrderSend) -> Result<(), Violation> {
    let history = &fleet.history;
    hold("an order is committed before it is sent", send, || {
        history.commits.iter().any(|commit| {
            commit.engine == send.engine && commit.order == send.order && commit.at <= send.checked_at
        })
    })?;
    hold(
        "a holder whose clock runs sends nothing after its lease",
        send,
        || send.clock_ever_stopped || send.epoch_at_check == send.order.token,
    )?;
    hold("one order is outstanding per engine", send, || {
        let others = earlier_sends(history, send).filter(|other| other.order.order != send.order.order);
        others
            .into_iter()
            .all(|other| is_settled(history, &other.order, send))
    })?;
    hold(
        "the fence is raised at every engine within reach before the first change",
        send,
        || send.order.action == OrderAction::RaiseFence || barrier_passed(fleet, send),
    )
}

/// Sends of the same engine under the same token that left before.
fn earlier_sends<'a>(history: &'a History, send: &'a OrderSend) -> impl Iterator<Item = &'a OrderSend> {
    history.sends.iter().filter(move |other| {
        other.engine == send.engine && other.order.token == send.order.token && other.left_at < send.left_at
    })
}

/// Whether the holder knew, or the engine's restart made sure, that an earlier order was over.
fn is_settled(history: &History, order: &Order, next: &OrderSend) -> bool {
    let sends: Vec<&OrderSend> = earlier_sends(history, next)
        .filter(|send| send.order.order == order.order)
        .collect();
    match last_fence(history, next) {
        // Only an engine that has forgotten its fence is fenced again; what its former start did is void.
        Some((fenced_at, _)) if next.order.action == OrderAction::RaiseFence => {
            return crashed_between(history, next.engine, fenced_at, next.left_at);
        }
        Some((_, sequence)) if sequence > order.sequence => return !next.engine_changing,
        _ => {}
    }
    let ends: Vec<Option<&SendEnd>> = sends.iter().map(|send| end_before(send, next.left_at)).collect();
    let definite = ends.iter().flatten().any(|end| match end {
        SendEnd::Reply(OrderReply::InProgress) => !next.engine_changing,
        SendEnd::Reply(OrderReply::Busy) | SendEnd::NotSent | SendEnd::Lost => false,
        SendEnd::Reply(_) => true,
    });
    let never_begun = ends
        .iter()
        .all(|end| matches!(end, Some(SendEnd::NotSent | SendEnd::Reply(OrderReply::Busy))));
    definite || never_begun
}

/// When the engine last obeyed a fence of the sender's token before the send, and the fence's position.
fn last_fence(history: &History, next: &OrderSend) -> Option<(MonotonicTime, OrderSequence)> {
    history.engines.iter().rev().find_map(|entry| match entry {
        EngineEntry::Told {
            at,
            engine,
            order,
            obeyed: true,
            ..
        } if *engine == next.engine
            && *at < next.left_at
            && order.token == next.order.token
            && order.sequence < next.order.sequence
            && order.action == OrderAction::RaiseFence =>
        {
            Some((*at, order.sequence))
        }
        _ => None,
    })
}

fn end_before(send: &OrderSend, instant: MonotonicTime) -> Option<&SendEnd> {
    send.end
        .as_ref()
        .filter(|(at, _)| *at <= instant)
        .map(|(_, end)| end)
}

fn crashed_between(history: &History, engine: usize, from: MonotonicTime, to: MonotonicTime) -> bool {
    history.engines.iter().any(|entry| {
        matches!(entry, EngineEntry::Crashed { at, engine: crashed } if *crashed == engine && *at >= from && *at <= to)
    })
}

/// Whether each engine of the zone was told the fence of the sender's token, or an attempt to tell it failed.
fn barrier_passed(fleet: &Fleet, send: &OrderSend) -> bool {
    let zone = fleet.zone_of_engine(send.engine);
    let in_zone = (0..fleet.sizes().1).filter(|engine| fleet.zone_of_engine(*engine) == zone);
    in_zone.into_iter().all(|engine| {
        let told = told_fence(&fleet.history, engine, send.order.token, send.left_at);
        told || failed_send(&fleet.history, engine, send.order.token, send.left_at)
    })
}

fn told_fence(history: &History, engine: usize, token: FencingToken, until: MonotonicTime) -> bool {
    history.engines.iter().any(|entry| {
        matches!(entry, EngineEntry::Told { at, engine: told, order, .. }
            if *told == engine && *at <= until && order.token == token && order.action == OrderAction::RaiseFence)
    })
}

fn failed_send(history: &History, engine: usize, token: FencingToken, until: MonotonicTime) -> bool {
    history.sends.iter().any(|send| {
        let failed = matches!(end_before(send, until), Some(SendEnd::NotSent | SendEnd::Lost));
        send.engine == engine && send.order.token == token && failed
    })
}

/// Whether the holder of `token` could not, or not yet, have fenced the engine: the documented window.
fn is_left_alone(fleet: &Fleet, engine: usize, token: FencingToken, at: MonotonicTime) -> bool {
    let history = &fleet.history;
    let zone = fleet.zone_of_engine(engine);
    let first_change = history.sends.iter().find(|send| {
        fleet.zone_of_engine(send.engine) == zone
            && send.order.token == token
            && send.order.action != OrderAction::RaiseFence
    });
    let Some(first_change) = first_change.filter(|change| change.left_at <= at) else {
        return true;
    };
    let taken_at = history
        .takings
        .iter()
        .find(|(taken, _, risen)| *taken == zone && *risen == token);
    let taken_at = taken_at.map_or(at, |(_, taken_at, _)| *taken_at);
    crashed_between(history, engine, taken_at, at)
        || failed_send(history, engine, token, first_change.left_at)
}

fn is_slow_change(order: &Order) -> bool {
    matches!(
        order.action,
        OrderAction::ChangeRole { .. } | OrderAction::LoadWeights { .. }
    )
}

fn hold(
    property: &'static str,
    seen: &impl std::fmt::Debug,
    holds: impl FnOnce() -> bool,
) -> Result<(), Violation> {
    match holds() {
        true => Ok(()),
        false => Err(Violation {
            property,
            seen: format!("{seen:?}"),
        }),
    }
}
