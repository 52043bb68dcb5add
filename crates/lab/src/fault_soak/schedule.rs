//! Which faults come when, drawn from a seed.

use super::disturbances::Struck;
use super::region_faults::{self, RegionFault};
use super::spoilt::Spoilt;
use crate::relay::LinkFault;
use crate::users_platform::{EngineFault, StoreMode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node's link to the store.
    StoreLink(usize, LinkFault),
    /// Every node's link to an engine.
    EngineLink(usize, LinkFault),
    /// The connections on a node's link to the store are closed.
    ResetStoreLink(usize),
    /// The connections on the link to an engine are closed.
    ResetEngineLink(usize),
    /// How the store answers one node.
    StoreForOne(usize, StoreMode),
    /// How the store answers everybody.
    StoreForAll(StoreMode),
    /// The store leaves a node's transactions unanswered and makes them later.
    DeferTransactions(usize),
    /// It does so for everybody.
    DeferTransactionsOfAll,
    /// The platform's interface leaves reports and orders unanswered and carries them out later.
    DeferDutyCalls,
    /// The store forgets its history.
    ForgetHistory,
    /// The store comes back from a copy as old as the fault lasts; the operator and the engines write their rows again.
    RestoreStore,
    /// A node is killed and started again.
    Kill(usize),
    /// Every node is killed and started again.
    KillAll,
    /// A node stands still: its clocks go on without it.
    Pause(usize),
    /// A node is told to stop and started again.
    Stop(usize),
    /// How an engine treats its next requests.
    Engine(usize, EngineFault),
    /// An engine is replaced: it says that it leaves, leaves, and another start comes at the same place.
    Replace(usize),
    /// An engine is replaced as engines leave: it says so, goes on with what it has and ends when that is done.
    ReplaceInOrder(usize),
    /// An engine ends without a word and starts again under its identifier, at its address.
    ComeBack(usize),
    /// An engine's entry in the store can't be read for a while.
    SpoilEntry(usize, Spoilt),
    /// Work at an engine takes so many percent of the usual time for some hundred milliseconds, several times in a row.
    PaceChanges(usize, u32),
    /// An engine names a rate limit, in thousandths of a request a second.
    NameLimit(usize, u32),
    /// Every engine names the same rate limit.
    NameLimitsOfAll(u32),
    /// An engine announces in its answers that it drains, while its entry says that it is ready, and ends.
    AnnounceDrain(usize, DrainEnd),
    /// An engine refuses everything and asks for so many milliseconds without requests each time.
    AskBackoff(usize, u64),
    /// Every engine does.
    AskBackoffOfAll(u64),
    /// The operator moves a route to another pool.
    Reconfigure,
    /// Every engine refuses most requests.
    EnginesRefuse,
    /// Every node is killed and started again, several times in a row.
    KillAllInSeries,
    /// Every engine refuses most requests, and meanwhile every node is killed and started again, several times in a row.
    KillAllWhileEnginesRefuse,
    /// Every node is told to stop and started again, one after the other and before the last has ended.
    StopInSeries,
    /// The operator moves a route several times in a row.
    ReconfigureInSeries,
    /// A node is told that its settings have changed.
    Reload(usize),
    /// A node is told that its settings have changed, and soon after to stop.
    ReloadAndStop(usize),
    /// The connections on the link to an engine go silent for good; new ones pass.
    SilenceEngineLink(usize),
    /// The connections on a node's link to the store go silent for good; new ones pass.
    SilenceStoreLink(usize),
    /// A region, one of so many, or the paths between two.
    Region(RegionFault, usize),
}

impl Fault {
    /// Whether every promise holds meanwhile as if nothing had struck: requests may be refused, as at any time.
    pub fn excuses_nothing(self) -> bool {
        matches!(
            self,
            Self::NameLimit(..)
                | Self::NameLimitsOfAll(_)
                | Self::AskBackoff(..)
                | Self::AskBackoffOfAll(_)
                | Self::DeferDutyCalls
        )
    }

    /// The engine whose link it strikes.
    pub fn struck_engine_link(self) -> Option<usize> {
        match self {
            Self::EngineLink(engine, _) | Self::ResetEngineLink(engine) | Self::SilenceEngineLink(engine) => {
                Some(engine)
            }
            _ => None,
        }
    }

    /// Whether nodes are started anew or stand still.
    pub fn restarts(self) -> bool {
        if let Self::Region(fault, _) = self {
            return fault.restarts();
        }
        matches!(
            self,
            Self::Kill(_)
                | Self::KillAll
                | Self::KillAllInSeries
                | Self::KillAllWhileEnginesRefuse
                | Self::Pause(_)
                | Self::Stop(_)
                | Self::StopInSeries
                | Self::ReloadAndStop(_)
        )
    }

    /// Whether it disrupts the platform itself, for any node, as long as it lasts. A restore does so from its own instant on.
    pub fn disrupts_platform(self) -> bool {
        matches!(
            self,
            Self::StoreForOne(..)
                | Self::StoreForAll(_)
                | Self::ForgetHistory
                | Self::DeferTransactions(_)
                | Self::DeferTransactionsOfAll
                | Self::DeferDutyCalls
        )
    }

    /// Whether links of nodes are healed at its end.
    pub fn heals_links(self) -> bool {
        matches!(
            self,
            Self::StoreLink(..) | Self::ResetStoreLink(_) | Self::SilenceStoreLink(_) | Self::Region(..)
        )
    }

    /// Nodes that it strikes: their processes, their path to the store, or the store itself.
    pub fn struck(self) -> Struck {
        match self {
            Self::Region(fault, regions) => fault.struck(regions),
            Self::StoreLink(node, _)
            | Self::ResetStoreLink(node)
            | Self::SilenceStoreLink(node)
            | Self::StoreForOne(node, _)
            | Self::DeferTransactions(node)
            | Self::Kill(node)
            | Self::Pause(node)
            | Self::Stop(node)
            | Self::Reload(node)
            | Self::ReloadAndStop(node) => Struck::Node(node),
            Self::StoreForAll(_)
            | Self::DeferTransactionsOfAll
            | Self::ForgetHistory
            | Self::RestoreStore
            | Self::KillAll
            | Self::KillAllInSeries
            | Self::KillAllWhileEnginesRefuse
            | Self::StopInSeries => Struck::All,
            Self::EngineLink(..)
            | Self::ResetEngineLink(_)
            | Self::SilenceEngineLink(_)
            | Self::DeferDutyCalls
            | Self::Engine(..)
            | Self::Replace(_)
            | Self::ReplaceInOrder(_)
            | Self::ComeBack(_)
            | Self::SpoilEntry(..)
            | Self::PaceChanges(..)
            | Self::NameLimit(..)
            | Self::NameLimitsOfAll(_)
            | Self::AnnounceDrain(..)
            | Self::AskBackoff(..)
            | Self::AskBackoffOfAll(_)
            | Self::Reconfigure
            | Self::ReconfigureInSeries
            | Self::EnginesRefuse => Struck::Nobody,
        }
    }
}

/// How an engine ends that announced its drain in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEnd {
    /// Its entry says at last that it drains, and another engine comes.
    ListedLateAndReplaced,
    /// Its entry goes while it still answers, and another engine comes.
    NeverListedAndReplaced,
    /// Its entry never says so, and it starts again under its identifier.
    ComesBack,
}

/// One fault and when it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time from the start of the callers.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// Number of nodes, engines and regions that faults may strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Targets {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Regions; one in a soak without regions.
    pub regions: usize,
}

/// Pauses between two faults, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 300..1_500;

/// Lengths of faults, in milliseconds.
pub(super) const LENGTH_MILLIS: std::ops::Range<u64> = 300..3_500;

/// Delays of slow links, in milliseconds.
const DELAY_MILLIS: std::ops::Range<u64> = 5..120;

/// How long work takes at an engine whose machine others use as well, in percent of the usual.
const PACE_PERCENT: std::ops::RangeInclusive<u32> = 200..=400;

/// Pauses between two limits that engines begin to name, in milliseconds.
const LIMIT_PAUSE_MILLIS: std::ops::Range<u64> = 1_000..3_000;

/// Times for which they name them, in milliseconds: nodes have some seconds to know before a window of some seconds is judged.
const LIMIT_LENGTH_MILLIS: std::ops::Range<u64> = 7_500..12_000;

/// Limits, in thousandths of a request a second.
const LIMIT_THOUSANDTHS: std::ops::Range<u32> = 200..4_000;

/// Number of the stream of draws for limits.
const LIMITS_STREAM: u64 = 1;

/// Number of the stream of draws for what engines say of themselves.
const SIGNALS_STREAM: u64 = 2;

/// Pauses between two of them, in milliseconds.
const SIGNAL_PAUSE_MILLIS: std::ops::Range<u64> = 800..2_500;

/// Times for which engines drain before they end, or refuse, in milliseconds.
const SIGNAL_LENGTH_MILLIS: std::ops::Range<u64> = 1_000..4_000;

/// Backoffs that one engine asks for, in milliseconds.
const BACKOFF_MILLIS: std::ops::Range<u64> = 200..30_000;

/// Backoffs that all engines ask for at once, in milliseconds.
const BACKOFF_OF_ALL_MILLIS: std::ops::Range<u64> = 200..4_000;

/// How close faults follow on each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// Several strike at once.
    #[default]
    Dense,
    /// So far apart that nodes are in touch for most of the time: what has to hold within a time after a fault is judged.
    Calm,
}

impl Pace {
    pub(super) fn stretched(self, pause: Duration) -> Duration {
        match self {
            Self::Dense => pause,
            Self::Calm => pause * CALM_PAUSES,
        }
    }
}

/// Pauses between calm faults in those between dense ones.
const CALM_PAUSES: u32 = 8;

/// Draws the faults of a run; the same seed gives the same faults.
pub fn draw(seed: u64, length: Duration, targets: Targets, pace: Pace) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = Vec::new();
    let mut at = pace.stretched(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
    while at < length {
        schedule.push(ScheduledFault {
            at,
            lasts: Duration::from_millis(random.random_range(LENGTH_MILLIS)),
            fault: draw_fault(&mut random, targets),
        });
        at += pace.stretched(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
    }
    schedule.extend(draw_limits(seed, length, targets, pace));
    schedule.extend(draw_signals(seed, length, targets, pace));
    schedule.extend(region_faults::draw(seed, length, targets, pace));
    schedule.sort_by_key(|scheduled| scheduled.at);
    schedule
}

/// Draws the rate limits that engines name, from a stream of their own, so that a seed gives the other faults that it always
/// gave.
fn draw_limits(seed: u64, length: Duration, targets: Targets, pace: Pace) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(LIMITS_STREAM);
    let mut schedule = Vec::new();
    let mut at = pace.stretched(Duration::from_millis(random.random_range(LIMIT_PAUSE_MILLIS)));
    while at < length {
        let engine = random.random_range(0..targets.engines);
        let thousandths = random.random_range(LIMIT_THOUSANDTHS);
        let fault = match random.random_range(0..5) {
            0 => Fault::NameLimitsOfAll(thousandths),
            _ => Fault::NameLimit(engine, thousandths),
        };
        schedule.push(ScheduledFault {
            at,
            lasts: Duration::from_millis(random.random_range(LIMIT_LENGTH_MILLIS)),
            fault,
        });
        at += pace.stretched(Duration::from_millis(random.random_range(LIMIT_PAUSE_MILLIS)));
    }
    schedule
}

/// Draws what engines say of themselves, from a stream of its own, for the same reason.
fn draw_signals(seed: u64, length: Duration, targets: Targets, pace: Pace) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(SIGNALS_STREAM);
    let mut schedule = Vec::new();
    let mut at = pace.stretched(Duration::from_millis(random.random_range(SIGNAL_PAUSE_MILLIS)));
    while at < length {
        schedule.push(ScheduledFault {
            at,
            lasts: Duration::from_millis(random.random_range(SIGNAL_LENGTH_MILLIS)),
            fault: draw_signal(&mut random, targets),
        });
        at += pace.stretched(Duration::from_millis(random.random_range(SIGNAL_PAUSE_MILLIS)));
    }
    schedule
}

fn draw_signal(random: &mut ChaCha8Rng, targets: Targets) -> Fault {
    let engine = random.random_range(0..targets.engines);
    match random.random_range(0..10) {
        0..2 => Fault::AnnounceDrain(engine, DrainEnd::ListedLateAndReplaced),
        2..4 => Fault::AnnounceDrain(engine, DrainEnd::NeverListedAndReplaced),
        4..5 => Fault::AnnounceDrain(engine, DrainEnd::ComesBack),
        5..9 => Fault::AskBackoff(engine, random.random_range(BACKOFF_MILLIS)),
        _ => Fault::AskBackoffOfAll(random.random_range(BACKOFF_OF_ALL_MILLIS)),
    }
}

fn draw_fault(random: &mut ChaCha8Rng, targets: Targets) -> Fault {
    let node = random.random_range(0..targets.nodes);
    let engine = random.random_range(0..targets.engines);
    match random.random_range(0..162) {
        0..10 => Fault::StoreLink(node, draw_link_fault(random)),
        10..25 => Fault::EngineLink(engine, draw_link_fault(random)),
        25..29 => Fault::ResetStoreLink(node),
        29..36 => Fault::ResetEngineLink(engine),
        36..41 => Fault::StoreForOne(node, draw_store_mode(random)),
        41..46 => Fault::StoreForAll(draw_store_mode(random)),
        46..49 => Fault::ForgetHistory,
        49..57 => Fault::Kill(node),
        57..59 => Fault::KillAll,
        59..66 => Fault::Pause(node),
        66..74 => Fault::Stop(node),
        74..88 => Fault::Engine(engine, draw_engine_fault(random)),
        88..94 => Fault::Replace(engine),
        94..100 => Fault::Reconfigure,
        100..112 => Fault::EnginesRefuse,
        112..116 => Fault::KillAllInSeries,
        116..120 => Fault::StopInSeries,
        120..122 => Fault::ReconfigureInSeries,
        122..126 => Fault::ReloadAndStop(node),
        126..130 => Fault::SilenceEngineLink(engine),
        130..134 => Fault::SilenceStoreLink(node),
        134..140 => Fault::KillAllWhileEnginesRefuse,
        140..147 => Fault::ComeBack(engine),
        147..155 => Fault::SpoilEntry(engine, Spoilt::ALL[random.random_range(0..Spoilt::ALL.len())]),
        _ => Fault::PaceChanges(engine, random.random_range(PACE_PERCENT)),
    }
}

fn draw_link_fault(random: &mut ChaCha8Rng) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Silent,
        1 => LinkFault::SilentTowardsTarget,
        2 => LinkFault::SilentFromTarget,
        _ => LinkFault::Delayed(Duration::from_millis(random.random_range(DELAY_MILLIS))),
    }
}

fn draw_store_mode(random: &mut ChaCha8Rng) -> StoreMode {
    match random.random_range(0..3) {
        0 => StoreMode::Throttling,
        1 => StoreMode::Down,
        _ => StoreMode::LosingAnswers,
    }
}

fn draw_engine_fault(random: &mut ChaCha8Rng) -> EngineFault {
    match random.random_range(0..5) {
        0 => EngineFault::Refuse,
        1 => EngineFault::Fail,
        2 => EngineFault::LoseAnswer,
        3 => EngineFault::Unsigned,
        _ => EngineFault::CutAfter(random.random_range(0..4)),
    }
}
