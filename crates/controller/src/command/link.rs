//! The way to the thread that commands the zone, and what it last said of itself.

use shelfjunction_core::drain::WeightQueues;
use shelfjunction_core::identity::{EngineId, NodeId};
use shelfjunction_core::lease::Authority;
use shelfjunction_core::orders::{CommanderEvent, CommanderPhase};
use shelfjunction_threads::lock;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// What the commanding thread last said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandStatus {
    /// How far this controller has come with its zone.
    pub phase: CommanderPhase,
    /// The right to order, as it stood then.
    pub authority: Option<Authority>,
    /// The holder that the lease row last named.
    pub holder: Option<NodeId>,
    /// Engines whose planned change is under way.
    pub changing: Vec<EngineId>,
}

/// Shared by every thread that tells the commander something or asks how it stands.
#[derive(Debug)]
pub struct CommandLink {
    sender: Sender<CommanderEvent>,
    status: Mutex<CommandStatus>,
    status_told: Condvar,
    weight_queues: Mutex<WeightQueues>,
}

impl CommandLink {
    /// A link and the end from which the commanding thread reads.
    pub fn new(weight_queue_millis: u64) -> (Self, Receiver<CommanderEvent>) {
        let (sender, receiver) = channel();
        let link = Self {
            sender,
            status: Mutex::new(CommandStatus {
                phase: CommanderPhase::Following,
                authority: None,
                holder: None,
                changing: Vec::new(),
            }),
            status_told: Condvar::new(),
            weight_queues: Mutex::new(WeightQueues::new(weight_queue_millis)),
        };
        (link, receiver)
    }

    /// Tells the commander something; without effect once it has ended.
    pub fn send(&self, event: CommanderEvent) {
        // The receiver is gone only after the commanding thread has ended, when nothing is left to tell.
        let _ = self.sender.send(event);
    }

    /// What the commanding thread last said.
    pub fn status(&self) -> CommandStatus {
        lock(&self.status).clone()
    }

    /// Whether this controller held the lease when it last said.
    pub fn holds_lease(&self) -> bool {
        lock(&self.status).authority.is_some()
    }

    /// Waits until the status satisfies the condition or the time has passed; the status as it then stands.
    pub fn wait_status(
        &self,
        condition: impl Fn(&CommandStatus) -> bool,
        timeout: Duration,
    ) -> CommandStatus {
        let status = lock(&self.status);
        let (status, _) = self
            .status_told
            .wait_timeout_while(status, timeout, |status| !condition(status))
            .unwrap_or_else(PoisonError::into_inner);
        status.clone()
    }

    /// What the weight store last said of its queues.
    pub fn weight_queues(&self) -> WeightQueues {
        lock(&self.weight_queues).clone()
    }

    pub(super) fn publish(&self, status: CommandStatus) {
        *lock(&self.status) = status;
        self.status_told.notify_all();
    }

    pub(super) fn replace_weight_queues(&self, queues: WeightQueues) {
        *lock(&self.weight_queues) = queues;
    }
}
