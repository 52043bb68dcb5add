//! Tenants' rates in simulated fleets of 1 to 300 nodes: what runs must not exceed the rate in any window, and must use most of it,
//! also while owners fail, the fleet is partitioned or all processes are killed.

#![allow(clippy::unwrap_used)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::slot_owner::owner_and_successors;
use shelfjunction_core::tenancy::rate::{RateUnit, TenantRate};
use shelfjunction_core::tenancy::rate_contacts::{ProbeOutcome, RateContacts};
use shelfjunction_core::tenancy::rate_owner::{Charge, TenantRateOwner, rate_share};
use shelfjunction_core::tenancy::rate_reserve::{TenantRateReserves, TenantRateSettings};
use shelfjunction_core::tenancy::rate_succession::{MAX_ASKED, RateRole, ask_order, role_of};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;

const FLEET_SIZES: [usize; 4] = [1, 4, 82, 300];

/// Window over which a tenant's rate is checked.
const WINDOW_MILLIS: u64 = 8_000;

/// Part of the limit of a window by which it may be exceeded.
const ALLOWED_OVERSHOOT: f64 = 0.1;

/// Part of its rate that a tenant must get where it asks more.
const MIN_USE: f64 = 0.95;

const PER_SECOND: f64 = 137_760.0;
const BURST: f64 = 137_760.0;

/// What deputies may grant beyond the rate.
const RESERVE: TenantRateSettings = TenantRateSettings {
    reserve_units: 190_000.0,
    window_seconds: 8.0,
};

/// Tokens of a request.
const TOKENS: std::ops::Range<u32> = 1_200..17_100;
const MAX_TOKENS: f64 = 17_100.0;

/// Time after a failure at which nodes detect it.
const DETECTION_DELAY_MILLIS: std::ops::Range<u64> = 1_800..3_900;

/// Time for which a node is not asked again that gave no answer.
const PASSED_OVER_MILLIS: u64 = 2_000;

/// Time between two looks of a node at who may own buckets.
const LOOK_INTERVAL_MILLIS: u64 = 1_000;

/// Time before the first request, in which buckets fill.
const STARTED_MILLIS: u64 = 2_000;

const FAULT_AT_MILLIS: u64 = 20_000;
const DURATION_MILLIS: u64 = 45_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// The processes of the owner and of so many successors are killed.
    Killed(usize),
    /// The processes of every second node are killed.
    HalfKilled,
    /// The owner's machine is lost, so that nothing refuses connections to it.
    OwnerLost,
    /// The owner is suspended for five seconds; others take over and hand back.
    OwnerSuspended,
    /// The fleet is partitioned in two; the first part has this percentage of the nodes.
    Split(u32),
    /// No node can reach any other.
    AllIsolated,
    /// All processes are killed and restarted.
    AllKilled,
}

const SUSPENSION_MILLIS: u64 = 5_000;

struct Node {
    handle: SubjectHandle,
    owner: TenantRateOwner,
    reserves: TenantRateReserves,
    contacts: RateContacts,
    /// Nodes that gave no answer, and until when they are not asked again.
    passed_over: BTreeMap<usize, u64>,
    detects_at: u64,
    detects_return_at: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    tenant: SubjectHandle,
    rate: TenantRate,
    fault: Fault,
    lost: Vec<usize>,
    random: ChaCha8Rng,
    /// Time and tokens of each request that ran.
    ran: Vec<(u64, f64)>,
    denied: usize,
    /// Most questions without an answer before one request.
    max_silent: usize,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(100_000 + millis)
}

impl Fleet {
    fn new(nodes: usize, fault: Fault, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let rate = TenantRate::new(RateUnit::Tokens { undeclared: 200 }, PER_SECOND, BURST).unwrap();
        let nodes: Vec<Node> = (0..nodes)
            .map(|number| {
                let detection = random.random_range(DETECTION_DELAY_MILLIS);
                Node {
                    handle: SubjectHandle::of_text("node", &format!("node-{number}-{seed}")),
                    owner: TenantRateOwner::default(),
                    reserves: TenantRateReserves::default(),
                    contacts: RateContacts::default(),
                    passed_over: BTreeMap::new(),
                    detects_at: FAULT_AT_MILLIS + detection,
                    detects_return_at: FAULT_AT_MILLIS + SUSPENSION_MILLIS + detection / 4,
                }
            })
            .collect();
        let mut fleet = Self {
            nodes,
            tenant: SubjectHandle::of_text("tenant", "one"),
            rate,
            fault,
            lost: Vec::new(),
            random,
            ran: Vec::new(),
            denied: 0,
            max_silent: 0,
        };
        let handles: Vec<SubjectHandle> = fleet.nodes.iter().map(|node| node.handle).collect();
        for node in &mut fleet.nodes {
            node.owner.note_candidates(node.handle, &handles, &[], at(0));
        }
        fleet
    }

    fn side(&self, percent: u32, number: usize) -> bool {
        number * 100 < percent as usize * self.nodes.len()
    }

    /// Whether a message between two nodes arrives.
    fn reaches(&self, one: usize, other: usize, millis: u64) -> bool {
        if one == other || millis < FAULT_AT_MILLIS {
            return true;
        }
        match self.fault {
            Fault::Nothing | Fault::AllKilled => true,
            Fault::OwnerLost | Fault::Killed(_) | Fault::HalfKilled => !self.lost.contains(&other),
            Fault::OwnerSuspended => !self.is_suspended(other, millis),
            Fault::Split(percent) => self.side(percent, one) == self.side(percent, other),
            Fault::AllIsolated => false,
        }
    }

    fn is_suspended(&self, node: usize, millis: u64) -> bool {
        let during = FAULT_AT_MILLIS..FAULT_AT_MILLIS + SUSPENSION_MILLIS;
        self.fault == Fault::OwnerSuspended && self.lost.contains(&node) && during.contains(&millis)
    }

    fn is_gone(&self, node: usize) -> bool {
        self.fault != Fault::OwnerSuspended && self.lost.contains(&node)
    }

    fn considers_alive(&self, one: usize, other: usize, millis: u64) -> bool {
        let node = &self.nodes[one];
        if millis < node.detects_at {
            return true;
        }
        if self.fault == Fault::OwnerSuspended && millis >= node.detects_return_at {
            return true;
        }
        // Whoever was suspended has heard nobody else's silence.
        let was_suspended = self.fault == Fault::OwnerSuspended && self.lost.contains(&one);
        was_suspended || self.reaches(one, other, FAULT_AT_MILLIS)
    }

    /// The nodes that have not been silent for long, as one sees it.
    fn heard_by(&self, one: usize, millis: u64) -> Vec<SubjectHandle> {
        let numbers = (0..self.nodes.len()).filter(|other| self.considers_alive(one, *other, millis));
        numbers.map(|number| self.nodes[number].handle).collect()
    }

    /// The same without those that have ended.
    fn alive_for(&self, one: usize, millis: u64) -> Vec<SubjectHandle> {
        let mut nodes = self.heard_by(one, millis);
        nodes.retain(|node| !self.has_ended(one, *node, millis));
        nodes
    }

    fn has_ended(&self, one: usize, other: SubjectHandle, millis: u64) -> bool {
        let heard_at = at(millis.min(FAULT_AT_MILLIS));
        self.nodes[one].contacts.has_ended(other, heard_at)
    }

    fn ended_for(&self, one: usize, millis: u64) -> Vec<SubjectHandle> {
        let all = self.nodes.iter().map(|node| node.handle);
        all.filter(|node| self.has_ended(one, *node, millis)).collect()
    }

    fn number_of(&self, handle: SubjectHandle) -> usize {
        self.nodes.iter().position(|node| node.handle == handle).unwrap()
    }

    /// Probes others as the node does whose questions are not answered, or that is asked as a deputy.
    fn probe(&mut self, one: usize, others: &[SubjectHandle], millis: u64) {
        let due = self.nodes[one].contacts.begin(others, at(millis));
        for handle in due {
            let other = self.number_of(handle);
            let is_refused =
                matches!(self.fault, Fault::Killed(_) | Fault::HalfKilled) && self.is_gone(other);
            let outcome = match self.reaches(one, other, millis) || self.is_suspended(other, millis) {
                true => ProbeOutcome::Reached,
                false if is_refused => ProbeOutcome::Refused,
                false => ProbeOutcome::NoAnswer,
            };
            self.nodes[one].contacts.note(handle, outcome);
        }
    }

    fn begin_fault(&mut self) {
        let all: Vec<SubjectHandle> = self.nodes.iter().map(|node| node.handle).collect();
        let ranked = owner_and_successors(self.tenant, &all, all.len());
        let killed = match self.fault {
            Fault::OwnerLost | Fault::OwnerSuspended => 1,
            Fault::Killed(successors) => successors + 1,
            _ => 0,
        };
        // One node is left to ask.
        let killed = killed.min(all.len() - 1);
        self.lost = ranked[..killed]
            .iter()
            .map(|node| self.number_of(*node))
            .collect();
        if self.fault == Fault::HalfKilled {
            self.lost = (0..all.len() / 2).map(|number| 2 * number + 1).collect();
        }
        if self.fault == Fault::AllKilled {
            for node in &mut self.nodes {
                node.owner = TenantRateOwner::default();
                node.reserves = TenantRateReserves::default();
                node.owner
                    .note_candidates(node.handle, &[], &[], at(FAULT_AT_MILLIS));
            }
        }
    }

    fn look_at_candidates(&mut self, millis: u64) {
        for number in 0..self.nodes.len() {
            if self.is_suspended(number, millis) || self.is_gone(number) {
                continue;
            }
            if millis > FAULT_AT_MILLIS {
                let reached = |other: &usize| self.reaches(number, *other, millis);
                let silent = (0..self.nodes.len()).filter(|other| !reached(other));
                let silent: Vec<SubjectHandle> = silent.map(|other| self.nodes[other].handle).collect();
                self.probe(number, &silent, millis);
            }
            self.note_candidates(number, millis);
        }
    }

    fn note_candidates(&mut self, number: usize, millis: u64) -> Vec<SubjectHandle> {
        let alive = self.alive_for(number, millis);
        let ended = self.ended_for(number, millis);
        let node = &mut self.nodes[number];
        node.owner
            .note_candidates(node.handle, &alive, &ended, at(millis));
        alive
    }

    /// A request at a node; denied where neither the owner nor a deputy grants it.
    fn ask(&mut self, from: usize, millis: u64) {
        if self.is_suspended(from, millis) || self.is_gone(from) {
            return;
        }
        let cost = self.random.random_range(TOKENS);
        if self.is_granted(from, cost, millis) {
            self.ran.push((millis, f64::from(cost)));
        } else {
            self.denied += 1;
        }
    }

    fn is_granted(&mut self, from: usize, cost: u32, millis: u64) -> bool {
        let heard = self.heard_by(from, millis);
        for silent in 0..MAX_ASKED {
            let order = ask_order(self.tenant, &heard, |node| self.has_ended(from, node, millis));
            let next = order.into_iter().find(|asked| {
                let until = self.nodes[from].passed_over.get(&self.number_of(asked.node));
                until.is_none_or(|until| *until <= millis)
            });
            let Some(next) = next else { return false };
            let node = self.number_of(next.node);
            if self.reaches(from, node, millis) {
                return self.answer(node, next.as_deputy, cost, millis);
            }
            self.nodes[from]
                .passed_over
                .insert(node, millis + PASSED_OVER_MILLIS);
            self.max_silent = self.max_silent.max(silent + 1);
            self.probe(from, &heard, millis);
        }
        false
    }

    fn answer(&mut self, node: usize, as_deputy: bool, cost: u32, millis: u64) -> bool {
        let own = self.nodes[node].handle;
        if as_deputy {
            let mut heard = self.heard_by(node, millis);
            heard.retain(|other| *other != own);
            self.probe(node, &heard, millis);
        }
        let alive = self.note_candidates(node, millis);
        match role_of(own, self.tenant, &alive) {
            RateRole::Owner => {
                let is_settling = self.nodes[node].owner.is_settling(self.tenant, at(millis));
                let share = self.share(node, millis);
                self.charge(node, cost, millis) == Charge::Granted
                    || (is_settling && self.charge_reserve(node, cost, share, millis))
            }
            RateRole::Deputy { owner } if as_deputy => {
                let others: Vec<SubjectHandle> = alive.into_iter().filter(|other| *other != own).collect();
                let part = self.nodes[node].contacts.reserve_part(owner, &others, at(millis));
                self.charge_reserve(node, cost, part, millis)
            }
            RateRole::Deputy { .. } | RateRole::Other { .. } => false,
        }
    }

    fn charge_reserve(&mut self, deputy: usize, cost: u32, part: f64, millis: u64) -> bool {
        let reserves = &mut self.nodes[deputy].reserves;
        reserves.charge(self.tenant, cost, part, &RESERVE, at(millis))
    }

    fn share(&self, owner: usize, millis: u64) -> f64 {
        let ended = self.ended_for(owner, millis).len();
        let reached = self.alive_for(owner, millis).len();
        rate_share(reached as u32, (self.nodes.len() - ended) as u32)
    }

    fn charge(&mut self, owner: usize, cost: u32, millis: u64) -> Charge {
        self.note_candidates(owner, millis);
        let share = self.share(owner, millis);
        let node = &mut self.nodes[owner];
        node.owner
            .charge(self.tenant, &self.rate, cost, share, at(millis), &mut self.random)
    }

    /// Plays requests at random nodes that ask `demand` times the rate.
    fn play(&mut self, demand: f64) {
        let mean_tokens = f64::from(TOKENS.start + TOKENS.end) / 2.0;
        let per_milli = demand * PER_SECOND / mean_tokens / 1_000.0;
        for millis in 0..DURATION_MILLIS {
            if millis == FAULT_AT_MILLIS {
                self.begin_fault();
            }
            if millis % LOOK_INTERVAL_MILLIS == 0 {
                self.look_at_candidates(millis);
            }
            if millis < STARTED_MILLIS {
                continue;
            }
            let count = per_milli as u32 + u32::from(self.random.random_bool(per_milli.fract()));
            for _ in 0..count {
                let from = self.random.random_range(0..self.nodes.len());
                self.ask(from, millis);
            }
        }
    }

    /// Most tokens that ran in a window.
    fn max_window(&self) -> f64 {
        let mut most = 0.0_f64;
        let mut sum = 0.0;
        let mut first = 0;
        for (millis, tokens) in &self.ran {
            sum += tokens;
            while self.ran[first].0 + WINDOW_MILLIS <= *millis {
                sum -= self.ran[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    fn used_between(&self, from: u64, until: u64) -> f64 {
        let within = self
            .ran
            .iter()
            .filter(|(millis, _)| (from..until).contains(millis));
        let tokens: f64 = within.map(|(_, tokens)| tokens).sum();
        tokens / (PER_SECOND * (until - from) as f64 / 1_000.0)
    }
}

fn allowed() -> f64 {
    let limit = PER_SECOND * WINDOW_MILLIS as f64 / 1_000.0 + BURST;
    // One request is charged as a debt.
    limit * (1.0 + ALLOWED_OVERSHOOT) + RESERVE.reserve_units + MAX_TOKENS
}

/// Guards against a tenant that gets more than its rate since its requests come to many nodes.
#[test]
fn all_nodes_together_keep_a_tenants_rate_in_every_window_whatever_fails() {
    let faults = [
        Fault::Nothing,
        Fault::Killed(0),
        Fault::Killed(4),
        Fault::HalfKilled,
        Fault::OwnerLost,
        Fault::OwnerSuspended,
        Fault::Split(50),
        Fault::Split(30),
        Fault::Split(8),
        Fault::AllIsolated,
        Fault::AllKilled,
    ];
    for nodes in FLEET_SIZES {
        for fault in faults {
            let mut fleet = Fleet::new(nodes, fault, 1);
            fleet.play(7.5);
            let most = fleet.max_window();
            assert!(
                most <= allowed(),
                "{nodes} nodes, {fault:?}: {most} of {}",
                allowed()
            );
        }
    }
}

#[test]
fn a_tenant_that_asks_more_than_its_rate_gets_nearly_all_of_it() {
    for nodes in FLEET_SIZES {
        for (demand, fault) in [
            (1.2, Fault::Nothing),
            (7.5, Fault::Nothing),
            (7.5, Fault::Killed(0)),
            (7.5, Fault::Killed(4)),
            (7.5, Fault::HalfKilled),
            (7.5, Fault::OwnerLost),
        ] {
            let mut fleet = Fleet::new(nodes, fault, 2);
            fleet.play(demand);
            let before = fleet.used_between(5_000, FAULT_AT_MILLIS);
            let after = fleet.used_between(FAULT_AT_MILLIS + 5_000, DURATION_MILLIS);
            // The share of a lost node is not used until the node is forgotten.
            let share = match fault {
                Fault::OwnerLost if nodes > 1 => rate_share(nodes as u32 - 1, nodes as u32),
                _ => 1.0,
            };
            assert!(
                before >= MIN_USE && after >= MIN_USE * share,
                "{nodes} nodes, {demand}, {fault:?}: {before}, {after}"
            );
        }
    }
}

#[test]
fn a_tenant_below_its_rate_is_hardly_denied_while_its_owner_is_lost() {
    for nodes in [4, 82, 300] {
        for fault in [Fault::OwnerLost, Fault::OwnerSuspended] {
            let mut fleet = Fleet::new(nodes, fault, 3);
            fleet.play(0.5);
            let asked = fleet.ran.len() + fleet.denied;
            assert!(
                fleet.denied * 50 <= asked,
                "{} of {asked}, {nodes} nodes, {fault:?}",
                fleet.denied
            );
        }
    }
}

#[test]
fn a_tenant_below_its_rate_is_never_denied() {
    for nodes in FLEET_SIZES {
        let mut fleet = Fleet::new(nodes, Fault::Nothing, 3);
        fleet.play(0.5);
        assert_eq!(fleet.denied, 0, "{nodes} nodes");
    }
}

#[test]
fn what_reached_no_engine_is_given_back() {
    let mut fleet = Fleet::new(1, Fault::Nothing, 4);
    let tenant = fleet.tenant;
    for millis in 5_000..7_000 {
        assert_eq!(fleet.charge(0, 17_000, millis), Charge::Granted);
        let rate = fleet.rate;
        fleet.nodes[0].owner.refund(tenant, &rate, 17_000);
    }
}

#[test]
fn a_request_costs_what_its_tenants_rate_counts() {
    let tokens = RateUnit::Tokens { undeclared: 200 };
    let cost = |unit, declared| TenantRate::new(unit, 1.0, 0.0).unwrap().cost(declared);
    assert_eq!(cost(tokens, Some((1_460, 80))), 1_540);
    assert_eq!(cost(tokens, None), 200);
    assert_eq!(cost(RateUnit::Requests, Some((1_460, 80))), 1);
    assert_eq!(TenantRate::new(tokens, 0.0, 10.0), None, "no limit");
    assert_eq!(TenantRate::new(tokens, f64::NAN, 10.0), None);
}

/// Guards against refusals until others notice that the owner and those that would take its bucket over have been killed, and against
/// a fleet that keeps only a part of each rate after nodes are gone for good.
#[test]
fn a_tenant_below_its_rate_is_not_denied_while_nodes_are_killed() {
    for nodes in [2, 4, 82, 300] {
        for (fault, seed) in [
            (Fault::Killed(0), 5),
            (Fault::Killed(4), 5),
            (Fault::HalfKilled, 5),
            (Fault::HalfKilled, 6),
        ] {
            let mut fleet = Fleet::new(nodes, fault, seed);
            fleet.play(0.5);
            assert_eq!(fleet.denied, 0, "{nodes} nodes, {fault:?}");
            assert!(
                fleet.max_silent <= 2,
                "{nodes} nodes, {fault:?}: {}",
                fleet.max_silent
            );
        }
    }
}
