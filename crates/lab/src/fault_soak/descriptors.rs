//! The descriptors of the soak's own process: near their limit its stand-ins refuse connections, and nothing is judged of the
//! nodes.

use rustix::process::{Resource, getrlimit};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Part of the limit from which the process may run out between two looks.
const MAX_PART: f64 = 0.9;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Looks at the open descriptors until it is dropped.
pub(super) struct DescriptorWatch {
    peak: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

/// Most descriptors that were open at once, and how many may be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DescriptorUse {
    /// Most that were open.
    pub peak: usize,
    /// The process's limit; absent if it has none.
    pub limit: Option<u64>,
}

impl DescriptorUse {
    /// Whether the stand-ins may have refused connections for want of descriptors.
    pub fn is_near_limit(&self) -> bool {
        self.limit
            .is_some_and(|limit| self.peak as f64 >= limit as f64 * MAX_PART)
    }
}

impl DescriptorWatch {
    /// Starts the thread that looks.
    pub(super) fn start() -> io::Result<Self> {
        let watch = Self {
            peak: Arc::default(),
            stop: Arc::default(),
        };
        let (peak, stop) = (Arc::clone(&watch.peak), Arc::clone(&watch.stop));
        thread::Builder::new()
            .name("descriptors".to_owned())
            .spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    peak.fetch_max(open_descriptors(), Ordering::Relaxed);
                    thread::sleep(LOOK_INTERVAL);
                }
            })?;
        Ok(watch)
    }

    /// What was seen so far.
    pub(super) fn seen(&self) -> DescriptorUse {
        DescriptorUse {
            peak: self.peak.load(Ordering::Relaxed).max(open_descriptors()),
            limit: getrlimit(Resource::Nofile).current,
        }
    }
}

impl Drop for DescriptorWatch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// A process that can't list its descriptors has none left for the list.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(usize::MAX, Iterator::count)
}
