//! Which order is said next, from what is wanted and what the platform's list shows.

use super::reclaim::LeavingEngines;
use super::{EngineKind, PoolScaling, ScaleOrder, ScaleSubject, ZoneEngines};
use crate::forwarding::PoolId;
use crate::identity::{FencingToken, ZoneId};
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Least time between two orders about one subject that ask for fewer engines, so that no wave is followed down.
const FEWER_EVERY: Duration = Duration::from_secs(8);

/// Least time between two orders about one subject.
const SAID_EVERY: Duration = Duration::from_millis(1_000);

/// Time beyond the start-up after which a list that does not show what was ordered is believed.
const LIST_LAGS: Duration = Duration::from_millis(3_000);

/// Time for which a zone that has given no spot engines, or has taken its own back, is not asked again.
const WITHOUT_SPOT: Duration = Duration::from_millis(2_500);

/// Part of what was said by which a lower wish is not worth an order.
const FEWER_BY: f64 = 0.1;

/// Part of what was said by which a higher wish is not worth an order.
const MORE_BY: f64 = 0.05;

/// Time after an order for fewer engines within which those that leave do so because of it.
const LEAVING_TAKES: Duration = Duration::from_secs(12);

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was taken.
    Taken,
    /// There are no spot engines to be had, or a higher token was seen.
    Conflict,
    /// It was not taken.
    NotTaken,
    /// It may have been taken, or may be later.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Said {
    count: u32,
    at: MonotonicTime,
    taken: bool,
}

/// Orders of one holder of the lease.
#[derive(Clone, Debug, Default)]
pub struct ScaleOrders {
    token: FencingToken,
    fenced: Option<FencingToken>,
    said: BTreeMap<ScaleSubject, Said>,
    without_spot: BTreeMap<(PoolId, ZoneId), MonotonicTime>,
    /// When fewer engines were last ordered.
    fewer_at: BTreeMap<ScaleSubject, MonotonicTime>,
}

impl ScaleOrders {
    /// Forgets what an earlier taking of the lease has said: others may have said something else since.
    pub fn begin(&mut self, token: FencingToken) {
        if self.token != token {
            self.token = token;
            self.said.clear();
        }
    }

    /// Zones of a pool that have no spot engines to give just now.
    pub fn without_spot(&self, pool: &PoolId, now: MonotonicTime) -> BTreeSet<ZoneId> {
        let lately = self
            .without_spot
            .iter()
            .filter(|(_, at)| now.since(**at) < WITHOUT_SPOT);
        lately
            .filter(|((of, _), _)| of == pool)
            .map(|((_, zone), _)| zone.clone())
            .collect()
    }

    /// Notes that so many spot engines of a zone are about to leave; true where the platform takes them back, and all of
    /// the zone's will go.
    pub fn note_leaving(
        &mut self,
        pool: &PoolId,
        zone: &ZoneId,
        leaving: LeavingEngines,
        now: MonotonicTime,
    ) -> bool {
        let subject = ScaleSubject {
            pool: pool.clone(),
            zone: zone.clone(),
            kind: EngineKind::Spot,
        };
        let sent_away = self.fewer_at.get(&subject);
        let is_own_doing = sent_away.is_some_and(|at| now.since(*at) < LEAVING_TAKES);
        if is_own_doing || !leaving.are_taken_back() {
            return false;
        }
        self.note_without_spot(pool, zone, now);
        true
    }

    fn note_without_spot(&mut self, pool: &PoolId, zone: &ZoneId, now: MonotonicTime) {
        self.without_spot.insert((pool.clone(), zone.clone()), now);
    }

    /// The next order of a pool; more engines go before fewer.
    pub fn next(
        &self,
        pool: &PoolId,
        scaling: &PoolScaling,
        wanted: &[ZoneEngines],
        running: &[ZoneEngines],
        now: MonotonicTime,
    ) -> Option<ScaleOrder> {
        if self.fenced == Some(self.token) {
            return None;
        }
        let without_spot = self.without_spot(pool, now);
        let mut due: Vec<(bool, ScaleOrder)> = Vec::new();
        for zone in wanted {
            for kind in [EngineKind::Spot, EngineKind::OnDemand] {
                // What was ordered there stands until the zone has some to give again.
                if kind == EngineKind::Spot && without_spot.contains(&zone.zone) {
                    continue;
                }
                let in_zone = running.iter().find(|one| one.zone == zone.zone);
                let runs = in_zone.map_or(0, |one| one.of(kind));
                let others = in_zone.map_or(0, ZoneEngines::total) - runs;
                let order = ScaleOrder {
                    subject: ScaleSubject {
                        pool: pool.clone(),
                        zone: zone.zone.clone(),
                        kind,
                    },
                    // The platform starts none beyond the bound on both kinds together.
                    count: zone.of(kind).min(scaling.maximum.saturating_sub(others)),
                };
                if self.is_due(&order, runs, scaling, now) {
                    due.push((order.count < runs, order));
                }
            }
        }
        if spot_is_missing(wanted, running) {
            due.retain(|(fewer, order)| !fewer || order.subject.kind != EngineKind::Spot);
        }
        due.sort_by_key(|(fewer, _)| *fewer);
        due.into_iter().next().map(|(_, order)| order)
    }

    /// Takes what became of an order.
    pub fn on_answer(&mut self, order: &ScaleOrder, outcome: OrderOutcome, now: MonotonicTime) {
        let before = self.said.get(&order.subject).map(|said| said.count);
        if before.is_some_and(|before| order.count < before) {
            self.fewer_at.insert(order.subject.clone(), now);
        }
        let said = Said {
            count: order.count,
            at: now,
            taken: outcome == OrderOutcome::Taken,
        };
        self.said.insert(order.subject.clone(), said);
        let subject = &order.subject;
        match (outcome, subject.kind) {
            (OrderOutcome::Conflict, EngineKind::Spot) => {
                self.note_without_spot(&subject.pool, &subject.zone, now);
            }
            // On-demand engines are always to be had: somebody else has the duty.
            (OrderOutcome::Conflict, EngineKind::OnDemand) => self.fenced = Some(self.token),
            (OrderOutcome::Taken | OrderOutcome::NotTaken | OrderOutcome::Unknown, _) => {}
        }
    }

    fn is_due(&self, order: &ScaleOrder, runs: u32, scaling: &PoolScaling, now: MonotonicTime) -> bool {
        let Some(said) = self.said.get(&order.subject) else {
            let part = if order.count > runs { MORE_BY } else { FEWER_BY };
            return differs(runs, order.count, part);
        };
        let since = now.since(said.at);
        if since < SAID_EVERY {
            return false;
        }
        if !said.taken {
            return order.count != runs;
        }
        let is_up = differs(said.count, order.count, MORE_BY) && order.count > said.count;
        let is_down = differs(said.count, order.count, FEWER_BY) && order.count < said.count;
        // The list does not show what was ordered: the platform took engines back, or an older order was late.
        let is_off = differs(runs, order.count, MORE_BY) && since >= scaling.startup + LIST_LAGS;
        is_up || (is_down && since >= FEWER_EVERY) || is_off
    }
}

/// Whether two counts differ by more than a part of the first; none differs from any other.
fn differs(one: u32, other: u32, part: f64) -> bool {
    f64::from(one.abs_diff(other)) > f64::from(one) * part
}

/// Whether fewer spot engines run than are wanted in all: no zone gives any up before those of another have come.
fn spot_is_missing(wanted: &[ZoneEngines], running: &[ZoneEngines]) -> bool {
    let wanted: u32 = wanted.iter().map(|zone| zone.spot).sum();
    let running: u32 = running.iter().map(|zone| zone.spot).sum();
    running < wanted
}
