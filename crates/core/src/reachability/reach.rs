//! Which engines a node reaches over its own links.
//!
//! A connection that fails looks the same whether the engine has ended or the path to it is interrupted. What another node meets
//! decides: an engine that the other node reaches is alive, and this node's own path is at fault.
//!
//! ```text
//! path to an engine lost   this node failed to connect, another node reached it
//! zone lost                that holds of min(2, engines there) engines of the zone, none of it was connected to since
//! contact lost             that holds of min(3, engines) engines in min(2, zones) zones, none was connected to since; or
//!                          connecting to min(8, engines) failed within FAILURE_WINDOW, and no other node could be asked
//! restored                 an engine there was connected to
//! ```
//!
//! A loss ends by evidence alone. While there is one, single engines are probed at jittered intervals, so that no request
//! waits for the attempt and nodes that were cut off together do not return together.

use crate::identity::{EngineId, ZoneId};
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum number of engines of a zone at which its path counts as lost.
const MIN_ENGINES_OF_ZONE: usize = 2;

/// Minimum number of engines at which contact counts as lost; two may be affected by chance.
const MIN_ENGINES: usize = 3;

/// The same where no other node could be asked: a node that reaches any engine has to go on using it.
const MIN_ENGINES_UNPROVEN: usize = 8;

/// Minimum number of zones in which these engines lie: if only one zone is cut off, the others are still reached.
const MIN_ZONES: usize = 2;

/// Time within which failures count together that no other node could judge.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Mean time between two probes while anything is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Relative jitter of the probe interval.
const PROBE_JITTER: f64 = 0.3;

/// What another node says of an engine to which connecting failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvidence {
    /// The other node reached the engine.
    Reached,
    /// The other node did not reach the engine either, but reached another one.
    AlsoFailed,
    /// No node could be asked that reaches engines.
    None,
}

/// Engines that a node might reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCensus {
    /// All engines in use.
    pub engines: usize,
    /// Those of the zone in question.
    pub engines_of_zone: usize,
    /// Zones with engines.
    pub zones: usize,
}

/// How an engine is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Over the node's own links.
    Direct,
    /// Through another node.
    Relayed,
}

/// What is lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossScope {
    /// Every engine.
    All,
    /// The engines of a zone.
    Zone(ZoneId),
    /// One engine.
    Engine(EngineId),
}

/// A change of what a node reaches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// Something is not reached any more.
    Lost {
        /// What.
        scope: LossScope,
        /// Number of engines to which connecting failed.
        engines: usize,
        /// Whether another node reached one of them.
        is_confirmed: bool,
        /// Time since any engine was last connected to; since the start of the clock if none ever was.
        unreached_for: Duration,
    },
    /// It is reached again.
    Restored {
        /// What.
        scope: LossScope,
        /// Time for which it was lost.
        lost_for: Duration,
    },
}

/// An engine that another node reaches and this one does not.
#[derive(Clone, Debug)]
struct LostPath {
    zone: ZoneId,
    since: MonotonicTime,
    failed_at: MonotonicTime,
}

/// The loss of every engine.
#[derive(Clone, Copy, Debug)]
struct Isolation {
    since: MonotonicTime,
    /// Whether another node reached one of them.
    is_confirmed: bool,
}

/// What a node reaches of the engines.
#[derive(Clone, Debug, Default)]
pub struct EngineReach {
    lost_paths: BTreeMap<EngineId, LostPath>,
    lost_zones: BTreeMap<ZoneId, MonotonicTime>,
    lost_all: Option<Isolation>,
    /// Failures that no other node could judge, since an engine was last connected to.
    unjudged: BTreeMap<EngineId, MonotonicTime>,
    connected: BTreeMap<ZoneId, MonotonicTime>,
    last_connected: MonotonicTime,
    next_probe_at: MonotonicTime,
    /// Engine that was probed last.
    probed: Option<EngineId>,
}

impl EngineReach {
    /// Whether no engine is reached.
    pub fn is_isolated(&self) -> bool {
        self.lost_all.is_some()
    }

    /// Since when no engine is reached.
    pub fn isolated_since(&self) -> Option<MonotonicTime> {
        self.lost_all.map(|isolation| isolation.since)
    }

    /// Whether no engine is reached that another node reaches, so that others should take over what this node does for all.
    pub fn should_yield(&self) -> bool {
        self.lost_all.is_some_and(|isolation| isolation.is_confirmed)
    }

    /// Whether everything is reached, as far as is known.
    pub fn is_complete(&self) -> bool {
        self.lost_all.is_none() && self.lost_zones.is_empty() && self.lost_paths.is_empty()
    }

    /// Number of engines that this node does not reach and another does.
    pub fn lost_paths(&self) -> usize {
        self.lost_paths.len()
    }

    /// How an engine is connected to now.
    pub fn route(&self, engine: &EngineId, zone: &ZoneId) -> Route {
        let is_lost =
            self.is_isolated() || self.lost_zones.contains_key(zone) || self.lost_paths.contains_key(engine);
        if is_lost { Route::Relayed } else { Route::Direct }
    }

    /// Records that an engine took a connection of this node.
    pub fn on_connected(&mut self, engine: &EngineId, zone: &ZoneId, now: MonotonicTime) -> Vec<ReachChange> {
        self.unjudged.clear();
        self.connected.insert(zone.clone(), now);
        self.last_connected = now;
        let mut changes = Vec::new();
        let mut restored = |scope, since| {
            let lost_for = now.since(since);
            changes.push(ReachChange::Restored { scope, lost_for });
        };
        if let Some(isolation) = self.lost_all.take() {
            restored(LossScope::All, isolation.since);
        }
        if let Some(since) = self.lost_zones.remove(zone) {
            self.lost_paths.retain(|_, path| path.zone != *zone);
            restored(LossScope::Zone(zone.clone()), since);
        }
        if let Some(path) = self.lost_paths.remove(engine) {
            restored(LossScope::Engine(engine.clone()), path.since);
        }
        changes
    }

    /// Records that connecting to an engine failed, and what another node says of it.
    pub fn on_connect_failed(
        &mut self,
        engine: &EngineId,
        zone: &ZoneId,
        evidence: PeerEvidence,
        census: EngineCensus,
        now: MonotonicTime,
    ) -> Vec<ReachChange> {
        match evidence {
            PeerEvidence::Reached => self.path_lost(engine, zone, census, now),
            PeerEvidence::AlsoFailed => Vec::new(),
            PeerEvidence::None => self.failed_unjudged(engine, census, now),
        }
    }

    /// Records that another node reached an engine for this one.
    pub fn on_relayed(&mut self) {
        if let Some(isolation) = &mut self.lost_all {
            isolation.is_confirmed = true;
        }
    }

    fn path_lost(
        &mut self,
        engine: &EngineId,
        zone: &ZoneId,
        census: EngineCensus,
        now: MonotonicTime,
    ) -> Vec<ReachChange> {
        let was_complete = self.is_complete();
        let path = self.lost_paths.entry(engine.clone()).or_insert(LostPath {
            zone: zone.clone(),
            since: now,
            failed_at: now,
        });
        path.failed_at = now;
        let mut changes = Vec::new();
        if path.since == now {
            changes.push(self.lost(LossScope::Engine(engine.clone()), 1, true, now));
        }
        if was_complete {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        let since_zone = self.connected.get(zone).copied().unwrap_or_default();
        let in_zone = self.failed_paths(since_zone, |path| path.zone == *zone).count();
        if in_zone >= MIN_ENGINES_OF_ZONE.min(census.engines_of_zone) && !self.lost_zones.contains_key(zone) {
            self.lost_zones.insert(zone.clone(), now);
            changes.push(self.lost(LossScope::Zone(zone.clone()), in_zone, true, now));
        }
        let paths: Vec<&LostPath> = self.failed_paths(self.last_connected, |_| true).collect();
        let zones: BTreeSet<&ZoneId> = paths.iter().map(|path| &path.zone).collect();
        let engines = paths.len();
        let is_isolated =
            engines >= MIN_ENGINES.min(census.engines) && zones.len() >= MIN_ZONES.min(census.zones);
        if is_isolated && !self.should_yield() {
            let since = self.isolated_since().unwrap_or(now);
            self.lost_all = Some(Isolation {
                since,
                is_confirmed: true,
            });
            changes.push(self.lost(LossScope::All, engines, true, now));
        }
        changes
    }

    fn failed_unjudged(
        &mut self,
        engine: &EngineId,
        census: EngineCensus,
        now: MonotonicTime,
    ) -> Vec<ReachChange> {
        self.unjudged.insert(engine.clone(), now);
        self.unjudged
            .retain(|_, failed_at| now.since(*failed_at) <= FAILURE_WINDOW);
        let engines = self.unjudged.len();
        if self.is_isolated() || engines < MIN_ENGINES_UNPROVEN.min(census.engines) {
            return Vec::new();
        }
        self.lost_all = Some(Isolation {
            since: now,
            is_confirmed: false,
        });
        self.next_probe_at = now + PROBE_INTERVAL;
        vec![self.lost(LossScope::All, engines, false, now)]
    }

    /// Paths of a kind on which connecting failed after `since`.
    fn failed_paths(
        &self,
        since: MonotonicTime,
        includes: impl Fn(&LostPath) -> bool,
    ) -> impl Iterator<Item = &LostPath> {
        let paths = self.lost_paths.values();
        paths.filter(move |path| path.failed_at >= since && includes(path))
    }

    fn lost(&self, scope: LossScope, engines: usize, is_confirmed: bool, now: MonotonicTime) -> ReachChange {
        ReachChange::Lost {
            scope,
            engines,
            is_confirmed,
            unreached_for: now.since(self.last_connected),
        }
    }

    /// Whether nothing is lost and nothing suggests it.
    pub fn is_undoubted(&self) -> bool {
        self.is_complete() && self.unjudged.len() < MIN_ENGINES
    }

    /// Engines to connect to at once because others failed: one of each zone in which none was connected to since the first path
    /// was lost, and several where no other node could be asked.
    pub fn to_verify(&self, engines: &BTreeMap<EngineId, ZoneId>, now: MonotonicTime) -> Vec<EngineId> {
        if self.is_isolated() {
            return Vec::new();
        }
        let mut chosen = self.of_doubtful_zones(engines);
        let recent = self.unjudged.values();
        let failed = recent
            .filter(|failed_at| now.since(**failed_at) <= FAILURE_WINDOW)
            .count();
        if failed >= MIN_ENGINES {
            let untried = engines
                .keys()
                .filter(|engine| !self.unjudged.contains_key(engine));
            chosen.extend(untried.take(MIN_ENGINES_UNPROVEN).cloned());
        }
        chosen
    }

    fn of_doubtful_zones(&self, engines: &BTreeMap<EngineId, ZoneId>) -> Vec<EngineId> {
        let Some(first) = self.lost_paths.values().map(|path| path.failed_at).min() else {
            return Vec::new();
        };
        let mut zones: BTreeMap<&ZoneId, &EngineId> = BTreeMap::new();
        for (engine, zone) in engines {
            let is_doubtful = self.connected.get(zone).is_none_or(|at| *at < first);
            if is_doubtful && self.route(engine, zone) == Route::Direct {
                zones.entry(zone).or_insert(engine);
            }
        }
        zones.into_values().take(MIN_ENGINES).cloned().collect()
    }

    /// Forgets engines that are listed no longer, and failures of long ago that no other node could judge.
    pub fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool, now: MonotonicTime) {
        self.unjudged
            .retain(|_, failed_at| now.since(*failed_at) <= FAILURE_WINDOW);
        self.lost_paths.retain(|engine, _| is_listed(engine));
        let lost_paths = &self.lost_paths;
        self.lost_zones
            .retain(|zone, _| lost_paths.values().any(|path| path.zone == *zone));
    }

    /// The engine to probe now, in turn, among those that are not reached; `engines` are all in use with their zones. `draw` in
    /// `0.0..1.0` is the jitter until the next one.
    pub fn probe_due(
        &mut self,
        engines: &BTreeMap<EngineId, ZoneId>,
        draw: f64,
        now: MonotonicTime,
    ) -> Option<EngineId> {
        if self.is_complete() || now < self.next_probe_at {
            return None;
        }
        let factor = 1.0 + PROBE_JITTER * (2.0 * draw - 1.0);
        self.next_probe_at = now + PROBE_INTERVAL.mul_f64(factor);
        let lost: Vec<&EngineId> = engines
            .iter()
            .filter(|(engine, zone)| self.route(engine, zone) == Route::Relayed)
            .map(|(engine, _)| engine)
            .collect();
        let after = self.probed.as_ref();
        let next = lost
            .iter()
            .find(|engine| after.is_none_or(|probed| **engine > probed));
        let chosen = next.or(lost.first()).map(|engine| (*engine).clone());
        self.probed.clone_from(&chosen);
        chosen
    }
}
