//! Lets threads wait for the admission controller's decisions.

use rand::RngCore;
use shelfjunction_core::admission::{
    AdmissionConfig, AdmissionController, AdmissionQuery, AdmissionTicket, AdmittedWork, ModelCapacity,
    TicketState,
};
use shelfjunction_core::identity::ModelId;
use shelfjunction_core::outcome::Refusal;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The admission controller with the threads that wait for it.
pub(crate) struct AdmissionGate {
    controller: Mutex<AdmissionController>,
    changed: Condvar,
}

/// What became of one wait.
pub(crate) enum Waited {
    /// The request may be sent.
    Started,
    /// It is refused; its ticket has been handed back.
    Refused(Refusal),
    /// It still waits.
    Queued,
}

impl AdmissionGate {
    pub(crate) fn new(config: AdmissionConfig) -> Self {
        Self {
            controller: Mutex::new(AdmissionController::new(config)),
            changed: Condvar::new(),
        }
    }

    /// Asks for admission.
    pub(crate) fn admit(
        &self,
        query: &AdmissionQuery,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Result<AdmissionTicket, Refusal> {
        lock(&self.controller).admit(query, now, random)
    }

    /// Waits until the ticket starts or is refused, at most for `longest`.
    pub(crate) fn wait(&self, ticket: &AdmissionTicket, longest: Duration) -> Waited {
        let mut controller = lock(&self.controller);
        if controller.state(ticket) == TicketState::Queued {
            controller = self
                .changed
                .wait_timeout(controller, longest)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        match controller.state(ticket) {
            TicketState::Started => Waited::Started,
            TicketState::Queued => Waited::Queued,
            TicketState::Refused(refusal) => Waited::Refused(refusal),
        }
    }

    /// Notes the first part of an answer.
    pub(crate) fn on_first_output(&self, ticket: &AdmissionTicket, now: MonotonicTime) {
        self.change(|controller| controller.on_first_output(ticket, now));
    }

    /// Takes a ticket back.
    pub(crate) fn release(&self, ticket: AdmissionTicket, output_tokens: u32, now: MonotonicTime) {
        self.change(|controller| controller.release(ticket, AdmittedWork { output_tokens }, now));
    }

    /// Sets what a model's engines can do.
    pub(crate) fn set_capacity(&self, model: &ModelId, capacity: ModelCapacity, now: MonotonicTime) {
        self.change(|controller| controller.set_capacity(model, capacity, now));
    }

    /// Refuses what waits in vain and starts what may start.
    pub(crate) fn tick(&self, now: MonotonicTime, random: &mut dyn RngCore) {
        self.change(|controller| controller.tick(now, random));
    }

    fn change(&self, change: impl FnOnce(&mut AdmissionController)) {
        let mut controller = lock(&self.controller);
        change(&mut controller);
        if !controller.take_updates().is_empty() {
            self.changed.notify_all();
        }
    }
}
