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
    /// The owner is killed; the next node takes over at once, or later if nobody knows that it has ended.
    OwnerKilled {
        silent_millis: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Network {
    loss: f64,
    duplication: f64,
    max_delay_millis: u64,
}

const GOOD: Network = Network {
    loss: 0.0,
    duplication: 0.0,
    max_delay_millis: 2,
};
const BAD: Network = Network {
    loss: 0.2,
    duplication: 0.2,
    max_delay_millis: 3_000,
};

#[derive(Clone, Copy, Debug)]
enum Datagram {
    Wish(LoanWish),
    Lent {
        borrower: usize,
        number: u64,
        units: u32,
    },
    Return(LoanRest),
    Recall {
        borrower: usize,
        number: u64,
    },
    /// A request that is charged again; not a datagram of the network.
    Retry {
        cost: u32,
    },
}

struct Fleet {
    owners: Vec<TenantRateOwner>,
    loans: Vec<TenantRateLoans>,
    killed: Vec<usize>,
    owner: usize,
    owner_from: u64,
    tenant: SubjectHandle,
    rate: TenantRate,
    network: Network,
    under_way: BTreeMap<(u64, u64), Datagram>,
    random: ChaCha8Rng,
    ran: Vec<(u64, f64)>,
    /// Units lent, with the time.
    lent: Vec<(u64, u32)>,
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
        let rate = TenantRate::new(RateUnit::Tokens { undeclared: 1 }, PER_SECOND, burst).unwrap();
        let mut owners = vec![TenantRateOwner::default(); nodes];
        owners[0].note_candidates(handle(0), &[handle(0)], &[], at(0));
        Self {
            owners,
            loans: vec![TenantRateLoans::default(); nodes],
            killed: Vec::new(),
            owner: 0,
            owner_from: 0,
            tenant: SubjectHandle::of_text("tenant", "one"),
            rate,
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
        let copies = 1 + u32::from(self.random.random_bool(self.network.duplication));
        for _ in 0..copies {
            if !self.random.random_bool(self.network.loss) {
                // Most datagrams are fast, some take long.
                let longest = if self.random.random_bool(0.9) {
                    2
                } else {
                    self.network.max_delay_millis
                };
                let delay = self.random.random_range(0..=longest);
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

    fn deliver(&mut self, datagram: Datagram, millis: u64) {
        let now = at(millis);
        match datagram {
            Datagram::Wish(wish) => {
                let units = self.owners[self.owner].lend(&wish, &self.rate, true, now);
                let borrower = (0..self.loans.len())
                    .find(|node| handle(*node) == wish.borrower)
                    .unwrap();
                if units > 0 {
                    self.lent.push((millis, units));
                }
                self.send(
                    Datagram::Lent {
                        borrower,
                        number: wish.number,
                        units,
                    },
                    millis,
                );
            }
            Datagram::Lent {
                borrower,
                number,
                units,
            } => {
                self.loans[borrower].on_answer(number, units, now);
            }
            Datagram::Return(rest) => {
                self.owners[self.owner].take_back(self.tenant, &self.rate, rest.number, rest.unused, now);
            }
            Datagram::Recall { borrower, number } => {
                if self.killed.contains(&borrower) {
                    return;
                }
                if let Some(rest) = self.loans[borrower].on_recall(number, now) {
                    self.send(Datagram::Return(rest), millis);
                }
            }
            Datagram::Retry { cost } => self.charge_at_owner(cost, true, millis),
        }
    }

    fn charge_at_owner(&mut self, cost: u32, is_retry: bool, millis: u64) {
        if millis < self.owner_from {
            // Nobody answers; deputies are not simulated here.
            return;
        }
        let (now, tenant) = (at(millis), self.tenant);
        let owner = &mut self.owners[self.owner];
        match owner.charge(tenant, &self.rate, cost, 1.0, now, &mut self.random) {
            Charge::Granted => self.ran.push((millis, f64::from(cost))),
            Charge::Denied(_) => {
                let recalled = owner.recall(tenant, now);
                if is_retry || recalled.is_empty() {
                    self.denied += 1;
                    return;
                }
                for (borrower, number) in recalled {
                    let borrower = (0..self.loans.len())
                        .find(|node| handle(*node) == borrower)
                        .unwrap();
                    self.send(Datagram::Recall { borrower, number }, millis);
                }
                let retry_at = millis + RECALL_WAIT_MILLIS;
                self.under_way
                    .insert((retry_at, self.random.random()), Datagram::Retry { cost });
            }
        }
    }

    fn ask(&mut self, from: usize, cost: u32, millis: u64) {
        if self.killed.contains(&from) {
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
        let question = LoanQuestion {
            number: self.random.random(),
            own: handle(from),
            owner: handle(self.owner),
            tenant: self.tenant,
            rate: self.rate,
        };
        if let Some(wish) = self.loans[from].wish(&question, at(millis)) {
            self.send(Datagram::Wish(wish), millis);
        }
        self.charge_at_owner(cost, false, millis);
    }

    fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Nothing => {}
            Fault::BorrowerKilled => self.killed.push(1),
            Fault::OwnerKilled { silent_millis } => {
                let ended = if silent_millis == 0 {
                    vec![handle(0)]
                } else {
                    Vec::new()
                };
                self.killed.push(0);
                self.owner = 1;
                self.owner_from = FAULT_AT_MILLIS + silent_millis;
                let owner = &mut self.owners[1];
                let (before, after) = (at(0), at(self.owner_from));
                owner.note_candidates(handle(1), &[handle(0)], &[], before);
                // Looks in between, without which the process would count as suspended.
                for millis in (0..self.owner_from).step_by(1_000) {
                    owner.note_candidates(handle(1), &[handle(0)], &[], at(millis));
                }
                owner.note_candidates(handle(1), &[handle(1)], &ended, after);
            }
        }
    }

    /// Plays requests that ask `before` times the rate, and `after` times from the fault on.
    fn play(&mut self, before: f64, after: f64, fault: Fault) {
        for millis in 0..DURATION_MILLIS {
            if millis == FAULT_AT_MILLIS {
                self.begin_fault(fault);
            }
            if millis % 500 == 0 {
                let owner = self.owner;
                self.owners[owner].note_candidates(
                    handle(owner),
                    &[handle(owner)],
                    &[],
                    at(millis.max(self.owner_from)),
                );
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

const FAULTS: [Fault; 4] = [
    Fault::Nothing,
    Fault::BorrowerKilled,
    Fault::OwnerKilled { silent_millis: 0 },
    Fault::OwnerKilled { silent_millis: 1_800 },
];

/// Guards against loans that come on top of the rate when borrowers or owners are killed or datagrams about loans go astray.
#[test]
fn loans_never_add_to_a_tenants_rate() {
    for nodes in [2, 4, 20] {
        for burst in [500.0, 2_000.0, 8_000.0] {
            for network in [GOOD, BAD] {
                for fault in FAULTS {
                    let mut fleet = Fleet::new(nodes, burst, network, 1);
                    fleet.play(0.35, 7.5, fault);
                    let limit = PER_SECOND * WINDOW_MILLIS as f64 / 1_000.0 + burst;
                    let allowed = limit + ALLOWED_LOANS * burst + f64::from(*COSTS.end());
                    let most = fleet.max_window();
                    assert!(!fleet.lent.is_empty(), "{nodes} nodes, {burst}, {network:?}");
                    assert!(
                        most <= allowed,
                        "{nodes} nodes, {burst}, {network:?}, {fault:?}: {most} of {allowed}"
                    );
                }
            }
        }
    }
}

/// Guards against a question for each request of a tenant that is far below its rate, and against refusals because a part of its
/// bucket is lent or lost.
#[test]
fn a_tenant_far_below_its_rate_is_charged_without_questions_and_never_denied() {
    for fault in [Fault::Nothing, Fault::BorrowerKilled] {
        for network in [GOOD, BAD] {
            let mut fleet = Fleet::new(4, 1_000.0, network, 2);
            fleet.play(0.35, 0.35, fault);
            assert_eq!(fleet.denied, 0, "{network:?}, {fault:?}");
            let most = if network.loss > 0.0 { 0.9 } else { 0.3 };
            let asked = fleet.asked as f64 / fleet.requests as f64;
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
        let late = fleet.lent.iter().filter(|(millis, _)| *millis > 10_000);
        assert_eq!(late.count(), 0, "demand {demand}");
    }
}

/// Guards against a refusal of a burst that the bucket would hold if nothing of it were lent.
#[test]
fn loans_are_recalled_when_a_tenant_needs_its_burst() {
    let mut fleet = Fleet::new(4, 1_000.0, GOOD, 4);
    fleet.play(0.35, 0.35, Fault::Nothing);
    let end = DURATION_MILLIS;
    assert!(
        fleet.lent.iter().any(|(millis, _)| *millis > end - 500),
        "something is lent"
    );
    let (before, denied) = (fleet.ran.len(), fleet.denied);
    for _ in 0..95 {
        fleet.ask(0, 10, end);
    }
    for millis in end..end + 50 {
        fleet.deliver_due(millis);
    }
    assert_eq!((fleet.denied - denied, fleet.ran.len() - before), (0, 95));
}

/// Guards against a use of a loan after its owner takes it for expired, and against a second use of one answer.
#[test]
fn a_loan_ends_with_its_lifetime_however_late_it_arrives() {
    let fleet = Fleet::new(2, 1_000.0, GOOD, 5);
    let (tenant, rate) = (fleet.tenant, fleet.rate);
    let mut loans = TenantRateLoans::default();
    for millis in 0..100 {
        loans.charge(tenant, &rate, 1, at(millis));
    }
    let question = LoanQuestion {
        number: 7,
        own: handle(1),
        owner: handle(0),
        tenant,
        rate,
    };
    let wish = loans.wish(&question, at(100)).unwrap();
    let mut charge = |units: u32, millis| {
        loans.on_answer(wish.number, units, at(millis));
        matches!(
            loans.charge(tenant, &rate, 1, at(millis)),
            LoanCharge::Granted { .. }
        )
    };
    assert!(charge(3, 1_500));
    assert!(charge(3, 1_550), "answered twice");
    assert!(!charge(3, 1_600), "its lifetime is over");
    assert_eq!(loans.end_idle(Duration::ZERO, at(1_600)), Vec::new());
}

/// Guards against units that are given back to a bucket after they were taken for used, or twice.
#[test]
fn a_loan_is_given_back_once_and_in_time() {
    let mut fleet = Fleet::new(2, 1_000.0, GOOD, 6);
    fleet.ask(0, 1, 5_000);
    let wish = |number| LoanWish {
        number,
        tenant: fleet.tenant,
        borrower: handle(1),
        units: 20,
        min_units: 2,
    };
    let (tenant, rate, owner) = (fleet.tenant, fleet.rate, &mut fleet.owners[0]);
    assert_eq!(
        owner.lend(&wish(1), &rate, false, at(5_000)),
        0,
        "does not reach all"
    );
    for number in [1, 2] {
        assert_eq!(owner.lend(&wish(number), &rate, true, at(5_000)), 20);
        assert_eq!(
            owner.lend(&wish(number), &rate, true, at(5_000)),
            0,
            "asked twice"
        );
    }
    assert!(owner.take_back(tenant, &rate, 1, 20, at(6_000)));
    assert!(
        !owner.take_back(tenant, &rate, 1, 20, at(6_000)),
        "given back twice"
    );
    assert!(
        !owner.take_back(tenant, &rate, 2, 20, at(7_000)),
        "given back late"
    );
}
