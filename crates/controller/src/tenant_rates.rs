//! The buckets of tenants' rates over all gateways, of which one controller owns each
//! ([`shelfjunction_core::tenancy::rate_owner`]). Gateways ask the owner before a call runs; there is no reserve, so a call is refused
//! while neither the owner nor a successor that knows it to have ended answers.

use crate::context::Context;
use crate::fleet;
use shelfjunction_core::membership::record::{Liveness, RecordBody, RecordKey};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::slot_owner::owner_and_successors;
use shelfjunction_core::tenancy::rate::TenantRate;
use shelfjunction_core::tenancy::rate_contacts::{ProbeOutcome, RateContacts};
use shelfjunction_core::tenancy::rate_owner::{Charge, TenantRateOwner, rate_share};
use shelfjunction_core::tenancy::rate_succession::{RateRole, role_of};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::peer::TenantRateCharge;
use shelfjunction_protocol::tenant_rate_messages::ChargeOutcome;
use shelfjunction_threads::lock;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Time between two looks at the nodes; an owner that does not look for longer counts as suspended.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start in which nothing is granted: a controller that has not heard the others yet would grant the whole rate.
const STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Time for which a look at membership holds; it walks every record.
const LOOK_LIFETIME: Duration = Duration::from_millis(50);

/// Longest wait for a probed node to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(20);

/// Probes that run at the same time: looks must not take as long as a suspension.
const MAX_CONCURRENT_PROBES: usize = 8;

/// What a controller knows of tenants' rates.
#[derive(Default)]
pub struct TenantRates {
    owner: Mutex<TenantRateOwner>,
    contacts: Mutex<RateContacts>,
    /// The last look, and when it was taken.
    looked: Mutex<Option<(MonotonicTime, Nodes)>>,
    /// When the first look was taken.
    started_at: Mutex<Option<MonotonicTime>>,
}

/// The nodes as membership describes them.
#[derive(Clone, Default)]
struct Nodes {
    /// Nodes that may own buckets.
    candidates: Vec<SubjectHandle>,
    /// Nodes that are known to have ended.
    ended: Vec<SubjectHandle>,
    /// Nodes that are missed, with their peer addresses.
    missed: Vec<(SubjectHandle, SocketAddr)>,
    /// Other candidates, with their peer addresses.
    others: Vec<(SubjectHandle, SocketAddr)>,
    /// Nodes that are reached, this one included.
    reached: u32,
    /// All nodes that have not ended.
    all: u32,
}

/// Looks at the nodes as long as the process runs.
pub fn run(context: &Context) {
    while !context.stop.wait(LOOK_INTERVAL) {
        let now = context.now();
        lock(&context.tenant_rates.started_at).get_or_insert(now);
        let nodes = look(context, now);
        probe(context, &nodes.missed);
    }
}

/// The nodes as of a moment ago.
fn recent_look(context: &Context, now: MonotonicTime) -> Nodes {
    let last = lock(&context.tenant_rates.looked).clone();
    match last.filter(|(at, _)| now.since(*at) < LOOK_LIFETIME) {
        Some((_, nodes)) => nodes,
        None => look(context, now),
    }
}

/// Reads membership, and notes who may own buckets.
fn look(context: &Context, now: MonotonicTime) -> Nodes {
    let own = SubjectHandle::of_text("node", context.config.node.as_str());
    let rates = &context.tenant_rates;
    let mut nodes = Nodes::default();
    for record in context.gossip.records() {
        let (RecordKey::Node(node), RecordBody::Node(body)) = (record.key, record.body) else {
            continue;
        };
        let handle = SubjectHandle::of_text("node", node.as_str());
        let heard_at = now - Duration::from_millis(u64::from(record.age_millis));
        let address = fleet::controller_address(body.service);
        if handle != own && lock(&rates.contacts).has_ended(handle, heard_at) {
            nodes.ended.push(handle);
            continue;
        }
        let missed = matches!(body.liveness, Liveness::Suspect | Liveness::Dead) && handle != own;
        nodes
            .missed
            .extend(address.filter(|_| missed).map(|at| (handle, at)));
        if body.liveness == Liveness::Leaving {
            continue;
        }
        nodes.all += 1;
        if body.liveness == Liveness::Dead {
            continue;
        }
        nodes.reached += 1;
        nodes.candidates.push(handle);
        nodes
            .others
            .extend(address.filter(|_| handle != own).map(|at| (handle, at)));
    }
    lock(&rates.owner).note_candidates(own, &nodes.candidates, &nodes.ended, now);
    *lock(&rates.looked) = Some((now, nodes.clone()));
    nodes
}

/// Finds out which of some nodes have ended.
fn probe(context: &Context, nodes: &[(SubjectHandle, SocketAddr)]) {
    let handles: Vec<SubjectHandle> = nodes.iter().map(|(node, _)| *node).collect();
    let due = lock(&context.tenant_rates.contacts).begin(&handles, context.now());
    let due: Vec<_> = nodes.iter().filter(|(node, _)| due.contains(node)).collect();
    for part in due.chunks(MAX_CONCURRENT_PROBES) {
        thread::scope(|scope| {
            for (node, address) in part {
                let probe = || probe_one(context, *node, *address);
                if let Err(error) = thread::Builder::new().spawn_scoped(scope, probe) {
                    log::warn!(error:% = error; "probe_thread_not_started");
                }
            }
        });
    }
}

fn probe_one(context: &Context, node: SubjectHandle, address: SocketAddr) {
    let outcome = match TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
        Ok(_) => ProbeOutcome::Reached,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Err(_) => ProbeOutcome::NoAnswer,
    };
    if lock(&context.tenant_rates.contacts).note(node, outcome) {
        log::info!(node:% = address; "tenant_rate_node_ended");
    }
}

/// The candidates that come before this node for a tenant, with their peer addresses.
fn before(own: SubjectHandle, tenant: SubjectHandle, nodes: &Nodes) -> Vec<(SubjectHandle, SocketAddr)> {
    let ranked = owner_and_successors(tenant, &nodes.candidates, nodes.candidates.len());
    let first: Vec<SubjectHandle> = ranked.into_iter().take_while(|node| *node != own).collect();
    let before = nodes.others.iter().filter(|(node, _)| first.contains(node));
    before.copied().collect()
}

/// Charges a tenant with a call if this controller owns its bucket.
pub fn charge(context: &Context, charge: &TenantRateCharge) -> ChargeOutcome {
    let now = context.now();
    let tenant = SubjectHandle::of_text("tenant", charge.tenant.as_str());
    let own = SubjectHandle::of_text("node", context.config.node.as_str());
    let mut nodes = recent_look(context, now);
    let mut role = role_of(own, tenant, &nodes.candidates);
    if charge.as_deputy && role != RateRole::Owner {
        probe(context, &before(own, tenant, &nodes));
        nodes = look(context, context.now());
        role = role_of(own, tenant, &nodes.candidates);
    }
    let outcome = match role {
        RateRole::Owner => charge_bucket(context, charge, tenant, rate_share(nodes.reached, nodes.all)),
        RateRole::Deputy { owner } | RateRole::Other { owner } => ChargeOutcome::NotOwner { owner },
    };
    log::debug!(tenant = charge.tenant.as_str(), cost = charge.cost, outcome:? = outcome; "tenant_rate_answered");
    outcome
}

fn charge_bucket(
    context: &Context,
    charge: &TenantRateCharge,
    tenant: SubjectHandle,
    share: f64,
) -> ChargeOutcome {
    let now = context.now();
    let started_at = *lock(&context.tenant_rates.started_at);
    if started_at.is_none_or(|at| now.since(at) < STARTUP_WAIT) {
        return ChargeOutcome::ReserveUsedUp;
    }
    let rate = newest_rate(context, charge);
    let random = &mut rand::rng();
    let charged = lock(&context.tenant_rates.owner).charge(tenant, &rate, charge.cost, share, now, random);
    match charged {
        Charge::Granted => ChargeOutcome::Granted,
        Charge::Denied(wait) => ChargeOutcome::Denied {
            retry_after_millis: u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX),
        },
    }
}

/// Gives back what was charged for a call that was refused for another cause.
pub fn refund(context: &Context, charge: &TenantRateCharge) {
    let tenant = SubjectHandle::of_text("tenant", charge.tenant.as_str());
    lock(&context.tenant_rates.owner).refund(tenant, &charge.rate, charge.cost);
}

/// The tenant's rate of the newer bundle: this controller's or the asker's.
fn newest_rate(context: &Context, charge: &TenantRateCharge) -> TenantRate {
    let in_force = context.bundle.in_force();
    let newer = in_force.filter(|bundle| bundle.head.generation > charge.generation);
    newer
        .and_then(|bundle| bundle.tenant(&charge.tenant)?.rate?.rate())
        .unwrap_or(charge.rate)
}
