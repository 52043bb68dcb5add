//! Keeps what a caller has not taken yet, and lets one go that takes nothing.

use crate::context::Context;
use crate::ports::{CallerConnection, CallerGone};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use shelfjunction_core::forwarding::Delivery;
use shelfjunction_core::identity::RequestId;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Longest wait for a caller between two looks at how full the node is.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What is kept for one caller while a call of it is served.
pub(super) struct Undelivered<'a> {
    context: &'a Context,
    kept: usize,
    /// Since when the caller has taken nothing of what is kept.
    stalled_since: MonotonicTime,
}

impl<'a> Undelivered<'a> {
    pub(super) fn new(context: &'a Context) -> Self {
        Self {
            context,
            kept: 0,
            stalled_since: context.now(),
        }
    }

    /// Whether something is kept.
    pub(super) fn any(&self) -> bool {
        self.kept > 0
    }

    /// Takes into account what was written or taken; what is to be done now.
    pub(super) fn look(&mut self, caller: &dyn CallerConnection) -> Delivery {
        let now = self.context.now();
        let kept = caller.undelivered();
        if self.kept == 0 || kept < self.kept {
            self.stalled_since = now;
        }
        self.count(kept);
        if kept == 0 {
            return Delivery::ReadOn;
        }
        let settings = &self.context.config.delivery;
        let for_all = self.context.buffers.figures().held.undelivered;
        settings.judge(kept, for_all, now.since(self.stalled_since))
    }

    fn count(&mut self, kept: usize) {
        if kept != self.kept {
            self.context.buffers.set_undelivered(self.kept, kept);
            self.kept = kept;
        }
    }

    /// Waits until the caller has taken everything, or is let go.
    pub(super) fn finish(
        &mut self,
        caller: &mut dyn CallerConnection,
        request: &RequestId,
    ) -> Result<(), CallerGone> {
        loop {
            caller.deliver()?;
            match self.look(caller) {
                Delivery::LetGo => return Err(self.let_go(request)),
                Delivery::ReadOn | Delivery::StopReading if !self.any() => return Ok(()),
                Delivery::ReadOn | Delivery::StopReading => {}
            }
            let timeout = Timespec::try_from(LOOK_EVERY).unwrap_or_default();
            let mut waits = [PollFd::from_borrowed_fd(caller.descriptor(), PollFlags::OUT)];
            // An interrupted wait is begun again by the next round.
            let _ = poll(&mut waits, Some(&timeout));
        }
    }

    /// Notes that the caller is let go.
    pub(super) fn let_go(&self, request: &RequestId) -> CallerGone {
        let context = self.context;
        context.metrics.caller_let_go();
        log::info!(
            request = request.as_str(),
            kept_bytes = self.kept,
            kept_for_all_bytes = context.buffers.figures().held.undelivered,
            stalled_millis = context.now().since(self.stalled_since).as_millis() as u64;
            "caller_let_go"
        );
        CallerGone
    }
}

impl Drop for Undelivered<'_> {
    fn drop(&mut self) {
        self.count(0);
    }
}
