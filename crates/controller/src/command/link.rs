//! The way to the thread that commands the zone, and what it last said of itself.

use crate::stop::lock;
use shelfjunction_core::drain::WeightQueues;
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::lease::Authority;
use shelfjunction_core::orders::{CommanderEvent, CommanderPhase};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// What the commanding thread last said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandStatus {
    /// How far this controller has come with its zone.
    pub phase: CommanderPhase,
    /// The right to order, as it stood then.
    pub authority: Option<Authority>,
    /// The holder that the lease row last named.
    pub holder: Option<NodeId>,
}

/// Shared by every thread that tells the commander something or asks how it stands.
#[derive(Debug)]
pub struct CommandLink {
    sender: Sender<CommanderEvent>,
    status: Mutex<CommandStatus>,
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
            }),
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

    /// What the weight store last said of its queues.
    pub fn weight_queues(&self) -> WeightQueues {
        lock(&self.weight_queues).clone()
    }

    pub(super) fn publish(&self, status: CommandStatus) {
        *lock(&self.status) = status;
    }

    pub(super) fn replace_weight_queues(&self, queues: WeightQueues) {
        *lock(&self.weight_queues) = queues;
    }
}
