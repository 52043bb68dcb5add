//! Threads that drive the hollow nodes.

use super::hollow_node::HollowNode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Threads that share the nodes.
const DRIVERS: usize = 8;

/// Time between two rounds over the nodes.
const ROUND: Duration = Duration::from_millis(100);

/// Nodes of a fleet by position; a node that is down is absent.
pub type Slots = Vec<Mutex<Option<HollowNode>>>;

/// Running drivers.
#[derive(Debug)]
pub struct Drivers {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drivers {
    /// Starts the threads.
    pub fn start(slots: &Arc<Slots>) -> std::io::Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for driver in 0..DRIVERS {
            let (slots, stopping) = (Arc::clone(slots), Arc::clone(&stopping));
            let thread = std::thread::Builder::new().name(format!("driver-{driver}"));
            threads.push(thread.spawn(move || {
                while !stopping.load(Ordering::Relaxed) {
                    drive_share(&slots, driver);
                    std::thread::sleep(ROUND);
                }
            })?);
        }
        Ok(Self { stopping, threads })
    }

    /// Ends the threads.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

fn drive_share(slots: &Slots, driver: usize) {
    for slot in slots.iter().skip(driver).step_by(DRIVERS) {
        let slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(node) = slot.as_ref() {
            node.drive();
        }
    }
}
