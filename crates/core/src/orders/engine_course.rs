//! The course of orders to one engine under one lease.

use super::config::OrderTimings;
use super::course_phase::{CourseEffect, CoursePhase, OrderAnswer, Permission};
use super::fence::Fence;
use super::record::{EngineGoal, EngineRow, engine_key};
use super::steps::next_action;
use crate::engine::{EngineStatus, Order, OrderAction, OrderReply, OrderSequence};
use crate::identity::{EngineId, OrderId, ZoneId};
use crate::lease::{Authority, TableAnswer, TableCall, epoch_key};
use crate::table::{Check, PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome, Write};
use crate::time::MonotonicTime;

/// One engine as the holder of the lease leads it.
#[derive(Clone, Debug)]
pub(super) struct EngineCourse {
    engine: EngineId,
    timings: OrderTimings,
    row_version: Option<RowVersion>,
    row: Option<EngineRow>,
    status: Option<EngineStatus>,
    goal: Option<EngineGoal>,
    phase: CoursePhase,
    fence: Fence,
    fence_tried: bool,
    /// Whether a copy of the outstanding order may still reach the engine or be carried out.
    may_be_running: bool,
    /// Statuses that may be older than this are not used.
    status_after: MonotonicTime,
    due_at: MonotonicTime,
}

impl EngineCourse {
    /// A course that starts from the row as scanned; one that can't be read is overwritten.
    pub(super) fn new(engine: EngineId, timings: OrderTimings, found: Option<&Row>) -> Self {
        let row: Option<EngineRow> = found.and_then(parse);
        let goal = row.as_ref().and_then(|row| row.goal.clone());
        Self {
            engine,
            timings,
            row_version: found.map(|row| row.version),
            row,
            status: None,
            goal,
            phase: CoursePhase::Idle,
            fence: Fence::Absent,
            fence_tried: false,
            may_be_running: false,
            status_after: MonotonicTime::default(),
            due_at: MonotonicTime::default(),
        }
    }

    pub(super) fn phase(&self) -> &CoursePhase {
        &self.phase
    }

    pub(super) fn goal(&self) -> Option<&EngineGoal> {
        self.goal.as_ref()
    }

    pub(super) fn is_fenced(&self) -> bool {
        self.fence != Fence::Absent
    }

    /// Whether the engine has been fenced or could not be reached for it.
    pub(super) fn fence_tried(&self) -> bool {
        self.fence_tried
    }

    /// Sets the goal; an order that the engine certainly has not begun gives way to it.
    pub(super) fn set_goal(&mut self, goal: EngineGoal) {
        if self.goal.as_ref() == Some(&goal) {
            return;
        }
        self.goal = Some(goal);
        let fencing =
            matches!(&self.phase, CoursePhase::ToSend(order) if order.action == OrderAction::RaiseFence);
        if matches!(self.phase, CoursePhase::ToSend(_)) && !fencing && !self.may_be_running {
            self.phase = CoursePhase::Idle;
        }
    }

    pub(super) fn take_status(
        &mut self,
        status: EngineStatus,
        observed_at: MonotonicTime,
        authority: Authority,
        effects: &mut Vec<CourseEffect>,
    ) {
        if observed_at < self.status_after {
            return;
        }
        self.status_after = observed_at;
        let fenced = self.is_fenced();
        self.fence = self.fence.after_status(&status, observed_at, authority.token);
        if fenced && !self.is_fenced() {
            self.drop_order_of_former_start();
        }
        if let CoursePhase::Running(order) = &self.phase {
            let progress = status.last_order.as_ref();
            let done = progress.is_some_and(|progress| progress.order == order.order && progress.done);
            if done {
                effects.push(CourseEffect::Settled(order.order.clone()));
                self.phase = CoursePhase::Idle;
            } else if progress.is_none_or(|progress| progress.order != order.order) {
                self.phase = CoursePhase::Idle;
            }
        }
        self.status = Some(status);
    }

    /// An order to the former start is void: the next fence has a higher sequence, so a late copy is refused.
    fn drop_order_of_former_start(&mut self) {
        if matches!(self.phase, CoursePhase::ToSend(_) | CoursePhase::Running(_)) {
            self.phase = CoursePhase::Idle;
            self.due_at = MonotonicTime::default();
        }
    }

    /// Begins what is due.
    pub(super) fn step(
        &mut self,
        permission: Permission<'_>,
        now: MonotonicTime,
        effects: &mut Vec<CourseEffect>,
    ) {
        if now < self.due_at {
            return;
        }
        match &self.phase {
            CoursePhase::Idle => self.commit_next(permission, effects),
            CoursePhase::Unsettled(next) => {
                let next = next.clone();
                effects.push(CourseEffect::Call(TableCall::Read(self.key(permission.zone))));
                self.phase = CoursePhase::Settling(next);
            }
            CoursePhase::ToSend(order) => {
                let order = order.clone();
                effects.push(CourseEffect::Send(order.clone()));
                self.phase = CoursePhase::Sent(order);
            }
            CoursePhase::Committing(_)
            | CoursePhase::Settling(_)
            | CoursePhase::Sent(_)
            | CoursePhase::Running(_) => {}
        }
    }

    fn commit_next(&mut self, permission: Permission<'_>, effects: &mut Vec<CourseEffect>) {
        let Some(action) = self.wanted_action(permission) else {
            return;
        };
        let token = permission.authority.token;
        let last = self.row.as_ref().filter(|row| row.token == token);
        let sequence = last.map_or(0, |row| row.sequence.0) + 1;
        let next = EngineRow {
            token,
            sequence: OrderSequence(sequence),
            order: OrderId(format!(
                "{}/{token}/{sequence}/{}",
                self.engine, permission.commit_number
            )),
            action,
            goal: self.goal.clone(),
        };
        self.commit(next, permission, effects);
    }

    fn wanted_action(&self, permission: Permission<'_>) -> Option<OrderAction> {
        if !self.is_fenced() {
            return Some(OrderAction::RaiseFence);
        }
        if !permission.changes {
            return None;
        }
        let Fence::Confirmed { .. } = self.fence else {
            return None;
        };
        next_action(self.status.as_ref()?, self.goal.as_ref()?)
    }

    fn commit(&mut self, next: EngineRow, permission: Permission<'_>, effects: &mut Vec<CourseEffect>) {
        let key = self.key(permission.zone);
        let transaction = Transaction {
            checks: vec![
                Check {
                    key: epoch_key(permission.zone),
                    expected: Some(permission.authority.epoch_version),
                },
                Check {
                    key: key.clone(),
                    expected: self.row_version,
                },
            ],
            writes: vec![Write {
                key,
                value: Some(serde_json::json!(next).to_string()),
            }],
        };
        self.phase = CoursePhase::Committing(next);
        effects.push(CourseEffect::Call(TableCall::Transact(transaction)));
    }

    /// Takes in the answer to this engine's table call.
    pub(super) fn take_table_answer(
        &mut self,
        answer: TableAnswer,
        permission: Permission<'_>,
        now: MonotonicTime,
        effects: &mut Vec<CourseEffect>,
    ) {
        match (self.phase.clone(), answer) {
            (CoursePhase::Committing(next), TableAnswer::Transacted(outcome)) => {
                self.take_outcome(next, outcome, permission, effects);
            }
            (CoursePhase::Committing(next), TableAnswer::Failed(error)) => {
                self.due_at = now + self.timings.table_retry();
                self.phase = match error {
                    PlatformError::Unavailable | PlatformError::Throttled { .. } => CoursePhase::Idle,
                    PlatformError::AnswerLost | PlatformError::Malformed(_) => CoursePhase::Unsettled(next),
                };
            }
            (CoursePhase::Settling(next), TableAnswer::Row(row)) => {
                self.settle(next, row, permission, effects);
            }
            (CoursePhase::Settling(next), _) => {
                self.due_at = now + self.timings.table_retry();
                self.phase = CoursePhase::Unsettled(next);
            }
            _ => {}
        }
    }

    fn take_outcome(
        &mut self,
        next: EngineRow,
        outcome: TransactionOutcome,
        permission: Permission<'_>,
        effects: &mut Vec<CourseEffect>,
    ) {
        match outcome {
            TransactionOutcome::Committed { version } => self.committed(version, next),
            TransactionOutcome::Conflict { key, found } if key == self.key(permission.zone) => {
                self.settle(next, found, permission, effects);
            }
            TransactionOutcome::Conflict { .. } => {
                self.phase = CoursePhase::Idle;
                effects.push(CourseEffect::Superseded);
            }
        }
    }

    fn committed(&mut self, version: RowVersion, row: EngineRow) {
        self.phase = CoursePhase::ToSend(row.to_order(&self.engine));
        self.row_version = Some(version);
        self.row = Some(row);
        self.may_be_running = false;
        self.due_at = MonotonicTime::default();
    }

    /// Compares the row as it stands with the commit whose fate is not known.
    fn settle(
        &mut self,
        next: EngineRow,
        found: Option<Row>,
        permission: Permission<'_>,
        effects: &mut Vec<CourseEffect>,
    ) {
        let version = found.as_ref().map(|row| row.version);
        if version == self.row_version {
            // Not applied so far. The same checks let it be applied at most once, also when the first copy
            // still arrives.
            self.commit(next, permission, effects);
            return;
        }
        self.row_version = version;
        self.row = found.as_ref().and_then(parse);
        self.phase = CoursePhase::Idle;
        match (&self.row, version) {
            (Some(row), Some(version)) if *row == next => self.committed(version, next),
            (Some(row), _) if row.token > permission.authority.token => {
                effects.push(CourseEffect::Superseded)
            }
            _ => {}
        }
    }

    /// Takes in how the send of an order ended.
    pub(super) fn take_order_answer(
        &mut self,
        answered: &OrderId,
        answer: OrderAnswer,
        authority: Authority,
        now: MonotonicTime,
        effects: &mut Vec<CourseEffect>,
    ) {
        let CoursePhase::Sent(order) = self.phase.clone() else {
            return;
        };
        if order.order != *answered {
            return;
        }
        let raises_fence = order.action == OrderAction::RaiseFence;
        self.fence_tried |= raises_fence;
        match answer {
            OrderAnswer::Reply(OrderReply::Done) => self.order_done(order, raises_fence, now, effects),
            OrderAnswer::Reply(OrderReply::InProgress) => {
                self.status_after = now;
                self.phase = CoursePhase::Running(order);
            }
            OrderAnswer::Reply(OrderReply::Fenced { highest }) => {
                if highest > authority.token {
                    effects.push(CourseEffect::Superseded);
                }
                self.pause(CoursePhase::Idle, self.timings.rejected_pause(), now);
            }
            OrderAnswer::Reply(OrderReply::Rejected { reason }) => {
                effects.push(CourseEffect::Rejected(order.order, reason));
                self.pause(CoursePhase::Idle, self.timings.rejected_pause(), now);
            }
            OrderAnswer::Reply(OrderReply::Busy) | OrderAnswer::NotSent | OrderAnswer::Lost => {
                self.may_be_running |= answer == OrderAnswer::Lost;
                self.pause(CoursePhase::ToSend(order), self.timings.send_retry(), now);
            }
        }
    }

    fn order_done(
        &mut self,
        order: Order,
        raises_fence: bool,
        now: MonotonicTime,
        effects: &mut Vec<CourseEffect>,
    ) {
        self.status = None;
        self.status_after = now;
        self.phase = CoursePhase::Idle;
        if raises_fence {
            self.fence = Fence::Raised(now);
        }
        effects.push(CourseEffect::Settled(order.order));
    }

    fn pause(&mut self, phase: CoursePhase, pause: std::time::Duration, now: MonotonicTime) {
        self.phase = phase;
        self.due_at = now + pause;
    }

    fn key(&self, zone: &ZoneId) -> RowKey {
        engine_key(zone, &self.engine)
    }
}

fn parse(row: &Row) -> Option<EngineRow> {
    serde_json::from_str(&row.value).ok()
}
