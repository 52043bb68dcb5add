//! The order in which waiting requests of one model start.
//!
//! Within a class, tenants share by start-time fair queueing: each request gets a start tag of the later of the
//! class's virtual time and its tenant's last finish tag, and the lowest tag goes first. So a tenant's burst only
//! delays that tenant. Between classes the higher goes first. A request that can't begin to answer in time any more
//! goes behind all that still can, so that a backlog makes some late and not all. Nothing starves: one start in
//! [`AGED_TURN`] goes to whoever has waited longest, once that is over the aging time.

use super::query::TicketNumber;
use crate::identity::TenantId;
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Every so many starts, the one that has waited longest goes first.
const AGED_TURN: u64 = 10;

/// One request that begins to wait.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its ticket.
    pub ticket: TicketNumber,
    /// Work it brings, in tokens.
    pub work: f64,
    /// When it begins to wait.
    pub since: MonotonicTime,
    /// Latest moment at which its start still gives a first token in time.
    pub good_until: MonotonicTime,
    /// Latest moment at which its start still makes sense.
    pub start_by: MonotonicTime,
}

#[derive(Clone, Debug)]
struct Waiting {
    arrival: Arrival,
    start_tag: f64,
}

#[derive(Clone, Debug, Default)]
struct TenantLine {
    waiting: VecDeque<Waiting>,
    finish_tag: f64,
    work: f64,
}

#[derive(Clone, Debug, Default)]
struct ClassLine {
    tenants: BTreeMap<TenantId, TenantLine>,
    virtual_time: f64,
    work: f64,
}

/// Requests that wait for one model.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    classes: [ClassLine; 3],
    /// Requests whose first token can't be in time any more.
    overdue: ClassLine,
    length: usize,
    starts: u64,
}

impl FairQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Requests of one tenant that wait, over all classes.
    pub fn tenant_len(&self, tenant: &TenantId) -> usize {
        let lines = self.lines().filter_map(|class| class.tenants.get(tenant));
        lines.map(|line| line.waiting.len()).sum()
    }

    /// Work that would start before a new request of the tenant, in tokens: all that waits in its class and
    /// above, or what its own line holds when that, scaled by the share of other tenants, is less.
    pub fn work_ahead(&self, tenant: &TenantId, class: ServiceClass) -> f64 {
        let index = class.index();
        let above: f64 = self.classes[..index].iter().map(|line| line.work).sum();
        let line = &self.classes[index];
        let own = line.tenants.get(tenant).map_or(0.0, |tenant| tenant.work);
        let busy = line
            .tenants
            .values()
            .filter(|tenant| !tenant.waiting.is_empty())
            .count();
        let fair = own * busy.max(1) as f64;
        above + line.work.min(fair)
    }

    /// Appends a request; `share` is the tenant's weight.
    pub fn push(&mut self, tenant: &TenantId, class: ServiceClass, share: f64, arrival: Arrival) {
        self.classes[class.index()].push(tenant, share, arrival);
        self.length += 1;
    }

    /// The request that should start next among classes for which `open` says yes; overdue ones count as batch.
    pub fn pop_next(
        &mut self,
        aging: Duration,
        now: MonotonicTime,
        open: impl Fn(ServiceClass) -> bool,
    ) -> Option<Arrival> {
        self.set_overdue_apart(now);
        let aged = if self.starts % AGED_TURN == AGED_TURN - 1 {
            self.longest_waiting(aging, now, &open)
        } else {
            None
        };
        let line = match aged {
            Some(line) => line,
            None => self.first_open(&open)?,
        };
        let started = self.line_mut(line).pop();
        if started.is_some() {
            self.starts += 1;
            self.length -= 1;
        }
        started
    }

    fn set_overdue_apart(&mut self, now: MonotonicTime) {
        for class in &mut self.classes {
            for (tenant, waiting) in class.take_overdue_heads(now) {
                self.overdue.push(&tenant, 1.0, waiting);
            }
        }
    }

    /// Line whose next request has waited longest, and longer than the aging time.
    fn longest_waiting(
        &self,
        aging: Duration,
        now: MonotonicTime,
        open: &impl Fn(ServiceClass) -> bool,
    ) -> Option<usize> {
        let heads = self
            .lines()
            .enumerate()
            .filter(|(index, _)| open(line_class(*index)));
        heads
            .filter_map(|(index, line)| Some((line.head()?.1.arrival.since, index)))
            .filter(|(since, _)| now.since(*since) > aging)
            .min()
            .map(|(_, index)| index)
    }

    fn first_open(&self, open: &impl Fn(ServiceClass) -> bool) -> Option<usize> {
        self.lines()
            .enumerate()
            .find(|(index, line)| open(line_class(*index)) && line.head().is_some())
            .map(|(index, _)| index)
    }

    fn lines(&self) -> impl Iterator<Item = &ClassLine> {
        self.classes.iter().chain(std::iter::once(&self.overdue))
    }

    fn line_mut(&mut self, index: usize) -> &mut ClassLine {
        match self.classes.get_mut(index) {
            Some(line) => line,
            None => &mut self.overdue,
        }
    }

    /// Takes out every request whose start has become pointless.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<Arrival> {
        let mut expired = Vec::new();
        for class in self.classes.iter_mut().chain(std::iter::once(&mut self.overdue)) {
            class.take_matching(|waiting| waiting.start_by < now, &mut expired);
        }
        self.length -= expired.len();
        expired
    }

    /// Takes out one request; whether it was there.
    pub fn remove(&mut self, ticket: TicketNumber) -> bool {
        let mut removed = Vec::new();
        for class in self.classes.iter_mut().chain(std::iter::once(&mut self.overdue)) {
            class.take_matching(|waiting| waiting.ticket == ticket, &mut removed);
        }
        self.length -= removed.len();
        !removed.is_empty()
    }
}

impl ClassLine {
    fn head(&self) -> Option<(&TenantId, &Waiting)> {
        self.tenants
            .iter()
            .filter_map(|(tenant, line)| line.waiting.front().map(|waiting| (tenant, waiting)))
            .min_by(|left, right| left.1.start_tag.total_cmp(&right.1.start_tag))
    }

    fn push(&mut self, tenant: &TenantId, share: f64, arrival: Arrival) {
        let line = self.tenants.entry(tenant.clone()).or_default();
        let start_tag = line.finish_tag.max(self.virtual_time);
        line.finish_tag = start_tag + arrival.work / share;
        line.work += arrival.work;
        self.work += arrival.work;
        line.waiting.push_back(Waiting { arrival, start_tag });
    }

    fn pop(&mut self) -> Option<Arrival> {
        let tenant = self.head()?.0.clone();
        let line = self.tenants.get_mut(&tenant)?;
        let waiting = line.waiting.pop_front()?;
        line.work -= waiting.arrival.work;
        self.work -= waiting.arrival.work;
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        self.forget_idle();
        Some(waiting.arrival)
    }

    /// Takes the requests at the heads of tenants' lines that can't be in time any more.
    fn take_overdue_heads(&mut self, now: MonotonicTime) -> Vec<(TenantId, Arrival)> {
        let mut taken = Vec::new();
        for (tenant, line) in &mut self.tenants {
            while line
                .waiting
                .front()
                .is_some_and(|waiting| waiting.arrival.good_until < now)
            {
                let Some(waiting) = line.waiting.pop_front() else {
                    break;
                };
                line.work -= waiting.arrival.work;
                self.work -= waiting.arrival.work;
                taken.push((tenant.clone(), waiting.arrival));
            }
        }
        taken
    }

    fn take_matching(&mut self, matches: impl Fn(&Arrival) -> bool, taken: &mut Vec<Arrival>) {
        for line in self.tenants.values_mut() {
            let before = taken.len();
            line.waiting.retain(|waiting| {
                let leaves = matches(&waiting.arrival);
                if leaves {
                    taken.push(waiting.arrival.clone());
                }
                !leaves
            });
            let work: f64 = taken[before..].iter().map(|waiting| waiting.work).sum();
            line.work -= work;
            self.work -= work;
        }
    }

    /// Drops tenants whose past no longer matters, so that memory is bounded by the busy ones.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.tenants
            .retain(|_, line| !line.waiting.is_empty() || line.finish_tag > virtual_time);
        if self.tenants.is_empty() {
            self.work = 0.0;
        }
    }
}

/// Class whose openness decides on a line; the overdue ones stand behind batch.
fn line_class(index: usize) -> ServiceClass {
    ServiceClass::ALL
        .get(index)
        .copied()
        .unwrap_or(ServiceClass::Batch)
}
