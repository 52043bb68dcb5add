//! The order in which waiting requests of one model start.
//!
//! Within a class, tenants share by start-time fair queueing: each request gets a start tag of the later of the
//! class's virtual time and its tenant's last finish tag, and the lowest tag goes first. So a tenant's burst only
//! delays that tenant. Between classes the higher goes first, until a lower one has waited the aging time per step.

use super::query::TicketNumber;
use crate::identity::TenantId;
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One request that begins to wait.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its ticket.
    pub ticket: TicketNumber,
    /// Work it brings, in tokens.
    pub work: f64,
    /// When it begins to wait.
    pub since: MonotonicTime,
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
    length: usize,
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
        let lines = self.classes.iter().filter_map(|class| class.tenants.get(tenant));
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
        let class_line = &mut self.classes[class.index()];
        let virtual_time = class_line.virtual_time;
        let line = class_line.tenants.entry(tenant.clone()).or_default();
        let start_tag = line.finish_tag.max(virtual_time);
        line.finish_tag = start_tag + arrival.work / share;
        line.work += arrival.work;
        class_line.work += arrival.work;
        line.waiting.push_back(Waiting { arrival, start_tag });
        self.length += 1;
    }

    /// Class and ticket that should start next among classes for which `open` says yes.
    pub fn pop_next(
        &mut self,
        aging: Duration,
        now: MonotonicTime,
        open: impl Fn(ServiceClass) -> bool,
    ) -> Option<Arrival> {
        let mut best: Option<(f64, usize, TenantId)> = None;
        for (index, class) in ServiceClass::ALL.into_iter().enumerate() {
            if !open(class) {
                continue;
            }
            let Some((tenant, head)) = self.classes[index].head() else {
                continue;
            };
            let waited = now.since(head.arrival.since).as_secs_f64();
            let rank = index as f64 * aging.as_secs_f64() - waited;
            if best.as_ref().is_none_or(|(lowest, _, _)| rank < *lowest) {
                best = Some((rank, index, tenant.clone()));
            }
        }
        let (_, index, tenant) = best?;
        self.length -= 1;
        self.classes[index].pop(&tenant)
    }

    /// Takes out every request whose start has become pointless.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<Arrival> {
        let mut expired = Vec::new();
        for class in &mut self.classes {
            class.take_matching(|waiting| waiting.start_by < now, &mut expired);
        }
        self.length -= expired.len();
        expired
    }

    /// Takes out one request; whether it was there.
    pub fn remove(&mut self, ticket: TicketNumber) -> bool {
        let mut removed = Vec::new();
        for class in &mut self.classes {
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

    fn pop(&mut self, tenant: &TenantId) -> Option<Arrival> {
        let line = self.tenants.get_mut(tenant)?;
        let waiting = line.waiting.pop_front()?;
        line.work -= waiting.arrival.work;
        self.work -= waiting.arrival.work;
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        self.forget_idle();
        Some(waiting.arrival)
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
