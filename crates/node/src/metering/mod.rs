//! Counts requests for their tenants, tells the counts, and gathers those of others
//! ([`shelfjunction_core::metering::replication`]).

mod digests;
mod metrics;
mod receiving;
mod telling;

pub(crate) use metrics::UsageMetrics;
pub(crate) use receiving::receive;
pub(crate) use telling::{tell, tell_last};

use crate::config::NodeConfig;
use crate::context::Context;
use crate::peers::UsageMessage;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::config::MeteringSettings;
use shelfjunction_core::metering::counter::UsageCounter;
use shelfjunction_core::metering::replication::UsageReplicator;
use shelfjunction_core::metering::tally::{Incarnation, UsageTally};
use shelfjunction_core::metering::{UnixTime, WindowNumber};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Usage as this node knows it.
pub(crate) struct Metering {
    /// Its settings.
    pub(crate) settings: MeteringSettings,
    counter: Mutex<UsageCounter>,
    /// What other nodes have told, and this one's own counts.
    pub(crate) tally: Mutex<UsageTally>,
    replicator: Mutex<UsageReplicator>,
    /// The first window without a record, as the holder of the lease knows.
    open_from: Mutex<Option<WindowNumber>>,
    /// The node that sent the last digest, and where from.
    holder_address: Mutex<Option<(SubjectHandle, SocketAddr)>>,
    own: Incarnation,
}

impl Metering {
    /// Metering of a start of a node's process; absent where usage is not counted.
    pub(crate) fn of(config: &NodeConfig, start: u64) -> Option<Self> {
        let settings = config.metering?;
        let own = Incarnation {
            node: config.node.clone(),
            start,
        };
        let handle = SubjectHandle::of_text("node", config.node.as_str());
        Some(Self {
            settings,
            counter: Mutex::new(UsageCounter::new(settings.window())),
            tally: Mutex::new(UsageTally::new(settings.window())),
            replicator: Mutex::new(UsageReplicator::new(handle, own.clone())),
            open_from: Mutex::default(),
            holder_address: Mutex::default(),
            own,
        })
    }

    /// Begins to gather for all, under a lease taken just now.
    pub(crate) fn begin_gathering(&self, unix: UnixTime) {
        lock(&self.tally).begin_gathering(unix);
    }

    /// Notes the first window without a record.
    pub(crate) fn note_open_from(&self, window: Option<WindowNumber>) {
        *lock(&self.open_from) = window;
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
