//! Loans from the bucket of a tenant's rate, in simulated fleets whose datagrams about loans are lost, delayed and duplicated, while
//! borrowers and owners are killed. Questions to the owner always arrive; see `tenant_rates.rs` for their failures.

#![allow(clippy::unwrap_used)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate::{RateUnit, TenantRate};
use shelfjunction_core::tenancy::rate_lending::LoanWish;
use shelfjunction_core::tenancy::rate_loans::{LoanCharge, LoanQuestion, LoanRest, TenantRateLoans};
use shelfjunction_core::tenancy::rate_owner::{Charge, TenantRateOwner};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

const PER_SECOND: f64 = 1_000.0;
const WINDOW_MILLIS: u64 = 8_000;

/// Part of the burst that may be on loan when a window begins.
const ALLOWED_LOANS: f64 = 0.1;

const DURATION_MILLIS: u64 = 40_000;
const FAULT_AT_MILLIS: u64 = 20_000;
const COSTS: std::ops::RangeInclusive<u32> = 1..=9;
const MEAN_COST: f64 = 5.0;

/// Time after which a request is charged again for which loans were recalled.
const RECALL_WAIT_MILLIS: u64 = 15;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    BorrowerKilled,
    /// The owner is killed; the next node takes over after this time, at once if it knows that the owner has ended.
    OwnerKilled(u64),
}

/// Parts of the datagrams that are lost and duplicated; one in ten is delayed by up to 3 s where any is lost.
#[derive(Clone, Copy, Debug)]
struct Network(f64);

const GOOD: Network = Network(0.0);
const BAD: Network = Network(0.2);

#[derive(Clone, Copy, Debug)]
enum Datagram {
    Wish(LoanWish),
    Lent(SubjectHandle, u64, u32),
    Return(LoanRest),
    Recall(SubjectHandle, u64),
    /// A request that is charged again; not a datagram of the network.
    Retry(u32),
}

struct Fleet {
    owners: Vec<TenantRateOwner>,
    loans: Vec<TenantRateLoans>,
    killed: Option<usize>,
    owner: usize,
    owner_from: u64,
    tenant: SubjectHandle,
    rate: TenantRate,
    network: Network,
    under_way: BTreeMap<(u64, u64), Datagram>,
    random: ChaCha8Rng,
    ran: Vec<(u64, f64)>,
    /// Times at which something was lent.
    lent: Vec<u64>,
    denied: usize,
    asked: usize,
    requests: usize,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(100_000 + millis)
}

fn handle(number: usize) -> SubjectHandle {
    SubjectHandle::of_text("node", &format!("node-{number}"))
}

impl Fleet {
    fn new(nodes: usize, burst: f64, network: Network, seed: u64) -> Self {
        let mut owners = vec![TenantRateOwner::default(); nodes];
        owners[0].note_candidates(handle(0), &[handle(0)], &[], at(0));
        Self {
            owners,
            loans: vec![TenantRateLoans::default(); nodes],
            killed: None,
            owner: 0,
            owner_from: 0,
            tenant: SubjectHandle::of_text("tenant", "one"),
            rate: TenantRate::new(RateUnit::Tokens { undeclared: 1 }, PER_SECOND, burst).unwrap(),
            network,
            under_way: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            ran: Vec::new(),
            lent: Vec::new(),
            denied: 0,
            asked: 0,
            requests: 0,
        }
    }

    fn send(&mut self, datagram: Datagram, millis: u64) {
        let Network(part) = self.network;
        for _ in 0..1 + u32::from(self.random.random_bool(part)) {
            if !self.random.random_bool(part) {
                let is_slow = part > 0.0 && self.random.random_bool(0.1);
                let delay = self.random.random_range(0..=if is_slow { 3_000 } else { 2 });
                self.under_way
                    .insert((millis + delay, self.random.random()), datagram);
            }
        }
    }

    fn deliver_due(&mut self, millis: u64) {
        while let Some(entry) = self
            .under_way
            .first_entry()
            .filter(|entry| entry.key().0 <= millis)
        {
            let datagram = entry.remove();
            self.deliver(datagram, millis);
        }
    }

    fn node(&self, wanted: SubjectHandle) -> usize {
        (0..self.loans.len())
            .find(|node| handle(*node) == wanted)
            .unwrap()
    }

    fn deliver(&mut self, datagram: Datagram, millis: u64) {
        let now = at(millis);
        match datagram {
            Datagram::Wish(wish) => {
                let units = self.owners[self.owner].lend(&wish, &self.rate, true, now);
                self.lent.extend((units > 0).then_some(millis));
                self.send(Datagram::Lent(wish.borrower, wish.number, units), millis);
            }
            Datagram::Lent(borrower, number, units) => {
                let node = self.node(borrower);
                self.loans[node].on_answer(number, units, now);
            }
            Datagram::Return(rest) => {
                let owner = &mut self.owners[self.owner];
                owner.take_back(self.tenant, &self.rate, rest.number, rest.unused, now);
            }
            Datagram::Recall(borrower, number) => {
                let node = self.node(borrower);
                let rest = self.loans[node].on_recall(number, now);
                if let Some(rest) = rest.filter(|_| self.killed != Some(node)) {
                    self.send(Datagram::Return(rest), millis);
                }
            }
            Datagram::Retry(cost) => self.charge_at_owner(cost, true, millis),
        }
    }

    fn charge_at_owner(&mut self, cost: u32, is_retry: bool, millis: u64) {
        if millis < self.owner_from {
            // Nobody answers; deputies are not simulated here.
            return;
        }
        let (now, tenant) = (at(millis), self.tenant);
        let owner = &mut self.owners[self.owner];
        if owner.charge(tenant, &self.rate, cost, 1.0, now, &mut self.random) == Charge::Granted {
            return self.ran.push((millis, f64::from(cost)));
        }
        let recalled = owner.recall(tenant, now);
        if is_retry || recalled.is_empty() {
            self.denied += 1;
            return;
        }
        for (borrower, number) in recalled {
            self.send(Datagram::Recall(borrower, number), millis);
        }
        let retry = (millis + RECALL_WAIT_MILLIS, self.random.random());
        self.under_way.insert(retry, Datagram::Retry(cost));
    }

    fn ask(&mut self, from: usize, cost: u32, millis: u64) {
        if self.killed == Some(from) {
            return;
        }
        self.requests += 1;
        if from == self.owner {
            return self.charge_at_owner(cost, false, millis);
        }
        let (ended, is_granted) = match self.loans[from].charge(self.tenant, &self.rate, cost, at(millis)) {
            LoanCharge::Granted { ended, .. } => (ended, true),
            LoanCharge::Ask { ended } => (ended, false),
        };
        if let Some(rest) = ended {
            self.send(Datagram::Return(rest), millis);
        }
        if is_granted {
            return self.ran.push((millis, f64::from(cost)));
        }
        self.asked += 1;
        let question = self.question(from);
        if let Some(wish) = self.loans[from].wish(&question, at(millis)) {
            self.send(Datagram::Wish(wish), millis);
        }
        self.charge_at_owner(cost, false, millis);
    }

    fn question(&mut self, from: usize) -> LoanQuestion {
        LoanQuestion {
            number: self.random.random(),
            own: handle(from),
            owner: handle(self.owner),
            tenant: self.tenant,
            rate: self.rate,
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        let Fault::OwnerKilled(silent_millis) = fault else {
            self.killed = (fault == Fault::BorrowerKilled).then_some(1);
            return;
        };
        let ended = if silent_millis == 0 {
            vec![handle(0)]
        } else {
            Vec::new()
        };
        self.killed = Some(0);
        self.owner = 1;
        self.owner_from = FAULT_AT_MILLIS + silent_millis;
        // Looks in between, without which the process would count as suspended.
        for millis in (0..self.owner_from).step_by(1_000) {
            self.owners[1].note_candidates(handle(1), &[handle(0)], &[], at(millis));
        }
        self.owners[1].note_candidates(handle(1), &[handle(1)], &ended, at(self.owner_from));
    }

    /// Plays requests that ask `before` times the rate, and `after` times from the fault on.
    fn play(&mut self, before: f64, after: f64, fault: Fault) {
        for millis in 0..DURATION_MILLIS {
            if millis == FAULT_AT_MILLIS {
                self.begin_fault(fault);
            }
            if millis % 500 == 0 {
                let (owner, own) = (self.owner, handle(self.owner));
                self.owners[owner].note_candidates(own, &[own], &[], at(millis.max(self.owner_from)));
            }
            self.deliver_due(millis);
            let demand = if millis < FAULT_AT_MILLIS { before } else { after };
            let per_milli = demand * PER_SECOND / MEAN_COST / 1_000.0;
            let count = per_milli as u32 + u32::from(self.random.random_bool(per_milli.fract()));
            for _ in 0..if millis < 5_000 { 0 } else { count } {
                let from = self.random.random_range(0..self.loans.len());
                let cost = self.random.random_range(COSTS);
                self.ask(from, cost, millis);
            }
        }
    }

    /// Most units that ran in a window.
    fn max_window(&self) -> f64 {
        let mut ran = self.ran.clone();
        ran.sort_by_key(|(millis, _)| *millis);
        let (mut most, mut sum, mut first) = (0.0_f64, 0.0, 0);
        for (millis, units) in &ran {
            sum += units;
            while ran[first].0 + WINDOW_MILLIS <= *millis {
                sum -= ran[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

/// Guards against loans that come on top of the rate when borrowers or owners are killed or datagrams about loans go astray.
#[test]
fn loans_never_add_to_a_tenants_rate() {
    let owners = [Fault::OwnerKilled(0), Fault::OwnerKilled(1_800)];
    for fault in [Fault::Nothing, Fault::BorrowerKilled].into_iter().chain(owners) {
        for (nodes, burst) in [2, 4, 20]
            .map(|nodes| [500.0, 2_000.0, 8_000.0].map(|burst| (nodes, burst)))
            .concat()
        {
            for network in [GOOD, BAD] {
                let mut fleet = Fleet::new(nodes, burst, network, 1);
                fleet.play(0.35, 7.5, fault);
                let limit = PER_SECOND * WINDOW_MILLIS as f64 / 1_000.0 + burst;
                let allowed = limit + ALLOWED_LOANS * burst + f64::from(*COSTS.end());
                let most = fleet.max_window();
                let case = format!("{nodes} nodes, {burst}, {network:?}, {fault:?}: {most} of {allowed}");
                assert!(most <= allowed && !fleet.lent.is_empty(), "{case}");
            }
        }
    }
}

/// Guards against a question for each request of a tenant that is far below its rate, and against refusals because a part of its
/// bucket is lent or lost.
#[test]
fn a_tenant_far_below_its_rate_is_charged_without_questions_and_never_denied() {
    for fault in [Fault::Nothing, Fault::BorrowerKilled] {
        for (network, most) in [(GOOD, 0.3), (BAD, 0.9)] {
            let mut fleet = Fleet::new(4, 1_000.0, network, 2);
            fleet.play(0.35, 0.35, fault);
            let asked = fleet.asked as f64 / fleet.requests as f64;
            assert_eq!(fleet.denied, 0, "{network:?}, {fault:?}");
            assert!(asked < most, "{network:?}, {fault:?}: {asked}");
        }
    }
}

/// Guards against loans to a tenant that needs its whole bucket.
#[test]
fn nothing_is_lent_to_a_tenant_near_its_rate() {
    for demand in [0.9, 7.5] {
        let mut fleet = Fleet::new(4, 1_000.0, GOOD, 3);
        fleet.play(demand, demand, Fault::Nothing);
        assert!(
            fleet.lent.iter().all(|millis| *millis <= 10_000),
            "demand {demand}"
        );
    }
}

/// Guards against a refusal of a burst that the bucket would hold if nothing of it were lent.
#[test]
fn loans_are_recalled_when_a_tenant_needs_its_burst() {
    let mut fleet = Fleet::new(4, 1_000.0, GOOD, 4);
    fleet.play(0.35, 0.35, Fault::Nothing);
    let end = DURATION_MILLIS;
    assert!(
        fleet.lent.iter().any(|millis| *millis > end - 500),
        "something is lent"
    );
    let (before, denied) = (fleet.ran.len(), fleet.denied);
    (0..95).for_each(|_| fleet.ask(0, 10, end));
    (end..end + 50).for_each(|millis| fleet.deliver_due(millis));
    assert_eq!((fleet.denied - denied, fleet.ran.len() - before), (0, 95));
}

/// Guards against a use of a loan after its owner takes it for expired, and against a second use of one answer.
#[test]
fn a_loan_ends_with_its_lifetime_however_late_it_arrives() {
    let mut fleet = Fleet::new(2, 1_000.0, GOOD, 5);
    let (question, mut loans) = (fleet.question(1), TenantRateLoans::default());
    let (tenant, rate) = (fleet.tenant, fleet.rate);
    for millis in 0..100 {
        loans.charge(tenant, &rate, 1, at(millis));
    }
    let wish = loans.wish(&question, at(100)).unwrap();
    let mut charge = |units: u32, millis| {
        loans.on_answer(wish.number, units, at(millis));
        matches!(
            loans.charge(tenant, &rate, 1, at(millis)),
            LoanCharge::Granted { .. }
        )
    };
    assert!(charge(2, 1_500));
    assert!(charge(2, 1_550));
    assert!(!charge(2, 1_560), "answered again, but used up");
    let mut late = TenantRateLoans::default();
    for millis in 0..100 {
        late.charge(tenant, &rate, 1, at(millis));
    }
    let wish = late.wish(&question, at(100)).unwrap();
    late.on_answer(wish.number, 9, at(1_000));
    assert_eq!(
        late.charge(tenant, &rate, 1, at(1_600)),
        LoanCharge::Ask { ended: None }
    );
    assert_eq!(late.end_idle(Duration::ZERO, at(1_600)), Vec::new());
}

/// Guards against units that are given back to a bucket after they were taken for used, or twice.
#[test]
fn a_loan_is_given_back_once_and_in_time() {
    let mut fleet = Fleet::new(2, 1_000.0, GOOD, 6);
    fleet.ask(0, 1, 5_000);
    let (tenant, rate, owner) = (fleet.tenant, fleet.rate, &mut fleet.owners[0]);
    let mut lend = |number, reaches_all| {
        let borrower = handle(1);
        let wish = LoanWish {
            number,
            tenant,
            borrower,
            units: 20,
            min_units: 2,
        };
        owner.lend(&wish, &rate, reaches_all, at(5_000))
    };
    assert_eq!(lend(1, false), 0, "does not reach all");
    assert_eq!(
        [lend(1, true), lend(1, true), lend(2, true)],
        [20, 0, 20],
        "the second is asked twice"
    );
    let mut take_back = |number, millis| owner.take_back(tenant, &rate, number, 20, at(millis));
    assert!(take_back(1, 6_000));
    assert!(!take_back(1, 6_000), "given back twice");
    assert!(!take_back(2, 7_000), "given back late");
}
