//! One operator's rollout: read the current row, store the contents, compare and set, settle a lost answer.

use super::bundle_forge::Proposal;
use super::planted::PlantedFault;
use shelfjunction_core::bundle::acceptance::{self, Acceptance, CurrentRow, HistoryRow, Verdict};
use shelfjunction_core::identity::Generation;
use shelfjunction_core::table::{PlatformError, Row, RowKey, RowVersion};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_lab::platform::state::{PlatformAnswer, PlatformCall};
use std::collections::VecDeque;

/// Most reads to settle a lost answer.
const SETTLING_READS: u32 = 30;

/// How a rollout ended for its operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEnd {
    /// It is in the history.
    Accepted(CurrentRow),
    /// Another took its place.
    Superseded,
    /// Nothing was written.
    NotDone,
    /// Nobody could tell in time.
    Unknown,
}

#[derive(Clone, Debug)]
enum Stage {
    ReadCurrent,
    Store(VecDeque<(String, Vec<u8>)>),
    Commit,
    SettleHistory { reads: u32 },
    SettleCurrent { reads: u32, history: Option<HistoryRow> },
    Over,
}

/// One rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Number of the rollout, which makes its proposal unlike every other.
    pub number: usize,
    /// Zone through which it works.
    pub zone: usize,
    /// What is to be accepted, once planned.
    pub planned: Option<Acceptance>,
    /// How it ended.
    pub end: Option<RolloutEnd>,
    stage: Stage,
    planted: Option<PlantedFault>,
}

impl Rollout {
    /// A rollout that has not begun.
    pub fn new(number: usize, zone: usize, planted: Option<PlantedFault>) -> Self {
        Self {
            number,
            zone,
            planned: None,
            end: None,
            stage: Stage::ReadCurrent,
            planted,
        }
    }

    /// The next call to the platform; absent when the rollout is over.
    pub fn next_call(&self, _: MonotonicTime) -> Option<PlatformCall> {
        let current = || PlatformCall::ReadRow(RowKey(acceptance::CURRENT_KEY.to_owned()));
        match &self.stage {
            Stage::ReadCurrent | Stage::SettleCurrent { .. } => Some(current()),
            Stage::Store(contents) => {
                let (name, bytes) = contents.front().cloned()?;
                Some(PlatformCall::PutObject { name, bytes })
            }
            Stage::Commit => {
                let mut transaction = self.planned.as_ref()?.transaction.clone();
                if self.planted == Some(PlantedFault::AcceptWithoutCheck) {
                    transaction.checks.clear();
                }
                Some(PlatformCall::Transact(transaction))
            }
            Stage::SettleHistory { .. } => {
                let generation = self.planned.as_ref()?.accepted.generation;
                Some(PlatformCall::ReadRow(acceptance::history_key(generation)))
            }
            Stage::Over => None,
        }
    }

    /// Takes the call's answer; absent when none came.
    pub fn take(
        &mut self,
        answer: Option<Result<PlatformAnswer, PlatformError>>,
        propose: impl FnOnce(usize, Generation) -> Proposal,
    ) {
        let stage = std::mem::replace(&mut self.stage, Stage::Over);
        self.stage = match (stage, answer) {
            (Stage::ReadCurrent, Some(Ok(PlatformAnswer::Row(row)))) => self.plan(row, propose),
            (Stage::Store(mut contents), Some(Ok(PlatformAnswer::Stored))) => {
                contents.pop_front();
                if contents.is_empty() {
                    Stage::Commit
                } else {
                    Stage::Store(contents)
                }
            }
            (Stage::ReadCurrent | Stage::Store(_), _) => self.over(RolloutEnd::NotDone),
            (Stage::Commit, answer) => self.take_commit(answer),
            (Stage::SettleHistory { reads }, Some(Ok(PlatformAnswer::Row(row)))) => {
                let history = row.and_then(|row| acceptance::parse(&row));
                Stage::SettleCurrent { reads, history }
            }
            (Stage::SettleCurrent { reads, history }, Some(Ok(PlatformAnswer::Row(row)))) => {
                self.settle(reads, history.as_ref(), row.as_ref())
            }
            (Stage::SettleHistory { reads } | Stage::SettleCurrent { reads, .. }, _) => {
                self.read_again(reads)
            }
            (Stage::Over, _) => Stage::Over,
        };
    }

    fn plan(&mut self, row: Option<Row>, propose: impl FnOnce(usize, Generation) -> Proposal) -> Stage {
        let version: Option<RowVersion> = row.as_ref().map(|row| row.version);
        let current: Option<CurrentRow> = row.as_ref().and_then(acceptance::parse);
        let generation = Generation(current.map_or(0, |current| current.generation.0) + 1);
        let proposal = propose(self.number, generation);
        let planned = acceptance::plan(&proposal.row, &proposal.operator, version);
        let mut contents: VecDeque<(String, Vec<u8>)> = proposal.contents.into();
        contents.push_back((planned.accepted.signed.to_hex(), planned.signed.to_bytes()));
        self.planned = Some(planned);
        Stage::Store(contents)
    }

    fn take_commit(&mut self, answer: Option<Result<PlatformAnswer, PlatformError>>) -> Stage {
        let Some(planned) = &self.planned else {
            return Stage::Over;
        };
        match answer {
            Some(Ok(PlatformAnswer::Transaction(outcome))) => {
                let verdict = acceptance::settle_answer(&planned.accepted, &outcome);
                self.take_verdict(verdict, 0)
            }
            Some(Err(PlatformError::Unavailable | PlatformError::Throttled { .. })) => {
                self.over(RolloutEnd::NotDone)
            }
            _ if self.planted == Some(PlantedFault::AssumeAccepted) => {
                let accepted = planned.accepted.clone();
                self.over(RolloutEnd::Accepted(accepted))
            }
            _ => Stage::SettleHistory { reads: 0 },
        }
    }

    fn settle(&mut self, reads: u32, history: Option<&HistoryRow>, row: Option<&Row>) -> Stage {
        let Some(planned) = &self.planned else {
            return Stage::Over;
        };
        let current: Option<CurrentRow> = row.and_then(acceptance::parse);
        let accepted = &planned.accepted;
        let verdict =
            acceptance::settle_current(&accepted.proposal, accepted.generation, current.as_ref(), history);
        self.take_verdict(verdict, reads)
    }

    fn take_verdict(&mut self, verdict: Verdict, reads: u32) -> Stage {
        match verdict {
            Verdict::Accepted(row) => self.over(RolloutEnd::Accepted(row)),
            Verdict::Superseded { .. } => self.over(RolloutEnd::Superseded),
            Verdict::Open => self.read_again(reads),
        }
    }

    fn read_again(&mut self, reads: u32) -> Stage {
        if reads >= SETTLING_READS {
            return self.over(RolloutEnd::Unknown);
        }
        Stage::SettleHistory { reads: reads + 1 }
    }

    fn over(&mut self, end: RolloutEnd) -> Stage {
        self.end = Some(end);
        Stage::Over
    }
}
