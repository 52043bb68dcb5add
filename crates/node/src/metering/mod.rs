//! Counts requests for their tenants, tells the counts, and gathers those of others.

mod telling;

pub(crate) use telling::{tell, tell_last};

use crate::context::Context;
use crate::peers::UsageMessage;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::metering::UnixTime;
use shelfjunction_core::metering::config::MeteringSettings;
use shelfjunction_core::metering::counter::UsageCounter;
use shelfjunction_core::metering::tally::{Incarnation, UsageTally};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Usage as this node knows it.
pub(crate) struct Metering {
    /// Its settings.
    pub(crate) settings: MeteringSettings,
    counter: Mutex<UsageCounter>,
    /// What all nodes have told, this one included.
    pub(crate) tally: Mutex<UsageTally>,
}

impl Metering {
    pub(crate) fn new(settings: MeteringSettings) -> Self {
        Self {
            settings,
            counter: Mutex::new(UsageCounter::new(settings.window())),
            tally: Mutex::new(UsageTally::new(settings.window())),
        }
    }
}

/// Counts a request that began to run just now.
pub(crate) fn count(context: &Context, tenant: &TenantId, began: MonotonicTime) {
    let Some(metering) = &context.metering else {
        return;
    };
    let ago = context.now().since(began);
    let began = unix(context).earlier(ago);
    lock(&metering.counter).count(tenant, began);
}

/// Takes another node's counts.
pub(crate) fn take(context: &Context, message: &UsageMessage) {
    if let Some(metering) = &context.metering {
        let from = Incarnation {
            node: message.node.clone(),
            start: message.start,
        };
        let now = unix(context);
        lock(&metering.tally).take(&from, &message.word, now);
    }
}

/// True time, as the nodes' clocks together tell it.
pub(crate) fn unix(context: &Context) -> UnixTime {
    lock(&context.fleet_clock).unix(time_of_day(), context.now())
}

/// This machine's time of day.
pub(crate) fn time_of_day() -> UnixTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 is wrong in any case; the other nodes' clocks outvote it.
    let since = since.unwrap_or(Duration::ZERO);
    UnixTime(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
