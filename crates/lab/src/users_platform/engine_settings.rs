//! What a stand-in engine is, and how it may misbehave.

use std::time::Duration;

/// What an engine is.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Its identifier, which its later starts may share.
    pub id: String,
    /// Number of this start, as its row tells it in `born`; zero where it tells none.
    pub born: u64,
    /// `prefill`, `decode`, or none where it runs no model.
    pub stage: Option<&'static str>,
    /// Events of each answer.
    pub events: u64,
    /// Version of its software, as its row names it.
    pub software_version: String,
}

impl EngineSettings {
    /// What names this start in records.
    pub fn start(&self) -> String {
        match self.born {
            0 => self.id.clone(),
            born => format!("{}@{born}", self.id),
        }
    }
}

/// Software version of engines where a deployment has only one.
pub const USUAL_SOFTWARE_VERSION: &str = "v1";

/// How an engine treats the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// Refuses it before running it.
    Refuse,
    /// Runs it and answers 500.
    Fail,
    /// Runs it and breaks the connection without an answer.
    LoseAnswer,
    /// Runs it for so long and breaks the connection without an answer.
    LoseAnswerAfter(Duration),
    /// Runs it and breaks the connection after some events.
    CutAfter(u64),
    /// Runs it and crashes after so many whole events, where it has a [`super::CrashSwitch`].
    CrashAfter(u64),
    /// Runs it and answers without its signature.
    Unsigned,
}
