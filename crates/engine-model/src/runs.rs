//! Calls that the engine began to run, and what became of them.

use crate::answer::AnswerSeed;
use crate::sequence::SequenceKey;
use shelfjunction_core::engine::RunState;
use shelfjunction_core::identity::RequestId;
use std::collections::{HashMap, VecDeque};

/// Names one begun call; a request that is called twice is two runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u64);

/// One begun call.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub request: RequestId,
    pub seed: AnswerSeed,
    /// Output token from which this run produces.
    pub first_offset: u32,
    /// Output tokens of the whole answer.
    pub total: u32,
    /// Tokens prefilled.
    pub prompt_tokens: u32,
    /// What an exported KV cache of this run fits; see [`crate::model::KvExport`].
    pub binding: u64,
    pub progress: RunProgress,
}

/// Where a run stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunProgress {
    Running(SequenceKey),
    Finished { cached_prompt_tokens: u32 },
    Prefilled { handle: String },
    Failed { reason: &'static str },
}

impl Run {
    /// The answer to "did it run?", with the tokens produced so far.
    fn state(&self, tokens: u32) -> RunState {
        match self.progress {
            RunProgress::Running(_) => RunState::Running { tokens },
            RunProgress::Finished { .. } => RunState::Finished { tokens: self.total },
            RunProgress::Prefilled { .. } => RunState::Finished { tokens: 0 },
            RunProgress::Failed { .. } => RunState::Failed,
        }
    }
}

/// All runs since the engine's start: whole while they run and for a while after, later only their ends.
#[derive(Debug)]
pub(crate) struct RunTable {
    runs: HashMap<RunNumber, Run>,
    running: HashMap<SequenceKey, RunNumber>,
    latest: HashMap<RequestId, RunNumber>,
    ended: VecDeque<RunNumber>,
    /// Ends of runs whose answers are gone. Without them a finished request would look as if it never ran.
    remembered: HashMap<RequestId, RunState>,
    forgotten_first: VecDeque<RequestId>,
    next: u64,
    retained: usize,
    remembered_at_most: usize,
}

impl RunTable {
    pub fn new(retained: u32, remembered_at_most: u32, first: u64) -> Self {
        Self {
            runs: HashMap::new(),
            running: HashMap::new(),
            latest: HashMap::new(),
            ended: VecDeque::new(),
            remembered: HashMap::new(),
            forgotten_first: VecDeque::new(),
            next: first,
            retained: retained as usize,
            remembered_at_most: remembered_at_most as usize,
        }
    }

    /// The number that the next run will have; never used again, also after a crash.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    pub fn begin(&mut self, run: Run) -> RunNumber {
        let number = RunNumber(self.next);
        self.next += 1;
        self.latest.insert(run.request.clone(), number);
        match run.progress {
            RunProgress::Running(key) => {
                self.running.insert(key, number);
            }
            _ => self.ended.push_back(number),
        }
        self.runs.insert(number, run);
        self.drop_oldest();
        number
    }

    pub fn get(&self, number: RunNumber) -> Option<&Run> {
        self.runs.get(&number)
    }

    pub fn latest(&self, request: &RequestId) -> Option<RunNumber> {
        self.latest.get(request).copied()
    }

    /// Number of the run that a sequence belongs to.
    pub fn number_of(&self, key: SequenceKey) -> Option<RunNumber> {
        self.running.get(&key).copied()
    }

    /// Ends a run.
    pub fn end(&mut self, number: RunNumber, progress: RunProgress) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        if let RunProgress::Running(key) = run.progress {
            self.running.remove(&key);
            self.ended.push_back(number);
        }
        run.progress = progress;
        self.drop_oldest();
    }

    /// What is known of a request; absent when it never ran.
    pub fn state(&self, request: &RequestId, produced: impl Fn(&Run) -> u32) -> Option<RunState> {
        if let Some(run) = self.latest(request).and_then(|number| self.get(number)) {
            return Some(run.state(produced(run)));
        }
        self.remembered.get(request).cloned()
    }

    fn drop_oldest(&mut self) {
        while self.ended.len() > self.retained {
            let Some(number) = self.ended.pop_front() else {
                return;
            };
            if let Some(run) = self.runs.remove(&number) {
                self.remember(number, run);
            }
        }
    }

    fn remember(&mut self, number: RunNumber, run: Run) {
        let state = run.state(run.total);
        if self.latest.get(&run.request) == Some(&number) {
            self.latest.remove(&run.request);
        }
        if self.remembered.insert(run.request.clone(), state).is_none() {
            self.forgotten_first.push_back(run.request);
        }
        if self.forgotten_first.len() > self.remembered_at_most
            && let Some(oldest) = self.forgotten_first.pop_front()
        {
            self.remembered.remove(&oldest);
        }
    }
}
