//! Reads the platform's lagging list of machines.

use crate::backoff::Backoff;
use crate::config::millis;
use crate::context::Context;
use crate::stop::lock;
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::machine::{Machine, MachineService, MachineState};
use std::net::SocketAddr;
use std::sync::Mutex;

/// The list as last read; absent until the first read succeeds.
#[derive(Debug, Default)]
pub struct MachineView {
    list: Mutex<Option<Vec<Machine>>>,
}

impl MachineView {
    /// The list as last read.
    pub fn list(&self) -> Option<Vec<Machine>> {
        lock(&self.list).clone()
    }

    /// The entry with this name.
    pub fn find(&self, name: &str) -> Option<Machine> {
        let list = lock(&self.list);
        list.as_ref()?
            .iter()
            .find(|machine| machine.name == name)
            .cloned()
    }

    /// Controllers on machines that stay, with their zones.
    pub fn controllers(&self) -> Vec<(ZoneId, SocketAddr)> {
        let list = self.list().unwrap_or_default();
        list.into_iter()
            .filter(|machine| machine.state == MachineState::Live)
            .filter_map(|machine| match machine.service {
                MachineService::Node { controller, .. } => Some((machine.zone, controller)),
                _ => None,
            })
            .collect()
    }

    fn replace(&self, machines: Vec<Machine>) {
        *lock(&self.list) = Some(machines);
    }
}

/// Reads the list until the controller stops.
pub fn run(context: &Context) {
    let timings = &context.config.timings;
    let interval = millis(timings.machine_list_millis);
    let mut backoff = Backoff::new(interval, millis(timings.platform_backoff_millis));
    loop {
        let wait = match context.services.machines.machines() {
            Ok(machines) => {
                context.machines.replace(machines);
                backoff.succeeded()
            }
            Err(error) => {
                context.metrics.platform_errors.inc();
                log::warn!(error:? = error; "machine_list_unread");
                backoff.failed()
            }
        };
        if context.stop.wait(wait) {
            return;
        }
    }
}
