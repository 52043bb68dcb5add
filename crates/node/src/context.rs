//! What the threads of the process share.

use crate::config::NodeConfig;
use crate::duties::DutyNotes;
use crate::engine_contact::Reach;
use crate::engine_signals::Announcements;
use crate::links::{Connection, Links};
use crate::metering::Metering;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::placing::Placements;
use crate::ports::{Call, EngineProtocol};
use crate::quarantine::Suspects;
use crate::rate_limits::RateLimits;
use crate::regions::{UnnamedZones, ZoneUser};
use crate::relay::{Relays, ServedTunnels};
use crate::releasing::Releases;
use crate::repeats::Repeats;
use crate::spill::Spillover;
use crate::streams::StreamOrigins;
use crate::tenant_rates::TenantRates;
use crate::watch::{StoreTrouble, TableWatch};
use shelfjunction_buffers::BufferAccount;
use shelfjunction_core::buffering::BufferLimits;
use shelfjunction_core::connections;
use shelfjunction_core::cordon::CordonSet;
use shelfjunction_core::forwarding::{
    Adoption, CallerWaits, ConfigInForce, ForwardingConfig, PoolId, RouteRule, ShareRotation, stopping,
};
use shelfjunction_core::identity::{EngineId, EngineStart, NodeId, RegionId, SoftwareVersion, ZoneId};
use shelfjunction_core::lease::Authority;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::clock::FleetClock;
use shelfjunction_core::placing::placement_table::PlacementTable;
use shelfjunction_core::roles::region_sums::RegionSums;
use shelfjunction_core::routing::pool::{
    EngineListing, EngineState, ListChange, PoolEngine, PoolRouter, RecentChanges,
};
use shelfjunction_core::table::{RowVersion, StorePosition};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_core::topology::{RoundTrips, Topology, TopologySettings};
use shelfjunction_core::watching::WatchRole;
use shelfjunction_platform::clock::MonotonicClock;
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::{StopSignal, lock};
use std::collections::{BTreeMap, BTreeSet};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Shared state of one process.
pub(crate) struct Context {
    pub(crate) config: NodeConfig,
    pub(crate) clock: MonotonicClock,
    pub(crate) router: Mutex<PoolRouter>,
    pub(crate) links: Links,
    /// Which engines this node reaches.
    pub(crate) engine_reach: Reach,
    /// Nodes that relay for this one.
    pub(crate) relays: Relays,
    /// Tunnels that this node serves for others.
    pub(crate) served_tunnels: ServedTunnels,
    pub(crate) releases: Releases,
    pub(crate) peers: Peers,
    /// Questions of this node to placers.
    pub(crate) placements: Placements,
    /// Measured round trips to nodes of each region.
    pub(crate) round_trips: Mutex<RoundTrips>,
    /// Requests handed to other regions and accepted from them.
    pub(crate) spill: Spillover,
    /// Demand on other regions, as their placers report it.
    pub(crate) region_sums: Mutex<RegionSums>,
    /// When a round trip to each region was last measured.
    pub(crate) round_trips_measured_at: Mutex<BTreeMap<RegionId, MonotonicTime>>,
    /// Zones of engines and nodes that the settings do not name.
    pub(crate) unnamed_zones: UnnamedZones,
    /// What this node has placed for others; locked before `router`.
    pub(crate) placement_table: Mutex<PlacementTable>,
    pub(crate) metrics: Metrics,
    pub(crate) state: Arc<NodeState>,
    pub(crate) stop: Arc<StopSignal>,
    pub(crate) store_trouble: StoreTrouble,
    pub(crate) config_watch: TableWatch,
    pub(crate) list_watch: TableWatch,
    pub(crate) listing: Mutex<EngineListing>,
    /// Held from a change of the list until the router has it too; locked before `listing`.
    list_updates: Mutex<()>,
    /// Changes of the list that the store has told this node; locked after `listing`.
    pub(crate) recent_changes: Mutex<RecentChanges>,
    /// Engines that operators leave alone.
    pub(crate) cordons: Mutex<CordonSet>,
    /// The store's tables.
    pub(crate) table: Arc<dyn TableService>,
    /// Requests under which engines crashed.
    pub(crate) suspects: Suspects,
    /// Random number of this start of the process.
    pub(crate) start: u64,
    /// True time, as the nodes' clocks tell it.
    pub(crate) fleet_clock: Mutex<FleetClock>,
    /// Usage of tenants; absent where it is not counted.
    pub(crate) metering: Option<Metering>,
    /// Loads that the operators expect, in engines, until demand is seen.
    pub(crate) expected_loads: Mutex<BTreeMap<PoolId, f64>>,
    /// What the duties' thread leaves for those who ask.
    pub(crate) duty_notes: Mutex<DutyNotes>,
    authority: Mutex<Option<Authority>>,
    /// Version of the lease's row at this node's last confirmed renewal.
    lease_version: Mutex<Option<RowVersion>>,
    /// Until when no other node can hold the lease, as far as this node's own renewals prove it.
    lease_exclusive_until: Mutex<Option<MonotonicTime>>,
    /// Version that the holder of the lease told last, and when it was first heard.
    heard_lease: Mutex<Option<(RowVersion, MonotonicTime)>>,
    duties_from: Mutex<MonotonicTime>,
    in_force: Mutex<ConfigInForce>,
    rotation: Mutex<ShareRotation>,
    pub(crate) repeats: Repeats,
    /// Fields of engines' answers that nothing reads, as far as they were logged.
    pub(crate) unknown_fields: Mutex<BTreeSet<String>>,
    /// Drains of engines that this node announces to others.
    pub(crate) announcements: Announcements,
    /// Rate limits of engines, and the slots that this node keeps.
    pub(crate) rate_limits: RateLimits,
    /// Tenants' rates, and the buckets that this node owns.
    pub(crate) tenant_rates: TenantRates,
    /// Streams that callers may take up again.
    pub(crate) stream_origins: StreamOrigins,
    /// Bytes that this process holds for others.
    pub(crate) buffers: Arc<BufferAccount>,
    waits: Mutex<CallerWaits>,
    /// When settings were last read again.
    reloaded_at: Mutex<Option<MonotonicTime>>,
    list_changed_at: Mutex<MonotonicTime>,
    /// Since when engines are kept that a restored store does not have.
    unconfirmed_since: Mutex<Option<MonotonicTime>>,
}

/// Time in which engines write themselves into a store again that was restored: two seconds, and a message.
const REWRITE_TIME: Duration = Duration::from_millis(2_500);

/// What others may ask about the process.
#[derive(Debug, Default)]
pub struct NodeState {
    stopping: AtomicBool,
    stop_began: Mutex<Option<MonotonicTime>>,
    closing: AtomicBool,
    configured: AtomicBool,
    listed: AtomicBool,
    nodes_listed: AtomicBool,
    busy: AtomicUsize,
}

impl NodeState {
    /// Whether callers should be sent here: it knows what to forward where and is not about to stop.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.configured.load(Ordering::Relaxed) && self.listed.load(Ordering::Relaxed)
    }

    /// Whether the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_stop(&self, now: MonotonicTime) {
        *lock(&self.stop_began) = Some(now);
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Resting connections are being closed from this side, so one that looks closed tells nothing of its caller.
    pub(crate) fn begin_closing(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    pub(crate) fn note_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Whether the store has listed the nodes that share the budgets for repeats: without the list none is granted out of
    /// the slack.
    pub fn knows_nodes(&self) -> bool {
        self.nodes_listed.load(Ordering::Relaxed)
    }

    pub(crate) fn note_nodes_listed(&self) {
        self.nodes_listed.store(true, Ordering::Relaxed);
    }

    /// Requests under way.
    pub fn requests_under_way(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    pub(crate) fn request_begins(&self) {
        self.busy.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn request_ends(&self) {
        self.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Context {
    pub(crate) fn new(
        config: NodeConfig,
        engines: Arc<dyn EngineProtocol>,
        table: Arc<dyn TableService>,
        socket: Arc<UdpSocket>,
    ) -> Self {
        let mut router = PoolRouter::new(config.routing.clone());
        router.set_topology(Topology::new(&config.zone, &config.topology));
        let start = rand::random();
        Self {
            clock: MonotonicClock::start(),
            router: Mutex::new(router),
            links: Links::new(engines),
            engine_reach: Reach::default(),
            relays: Relays::default(),
            served_tunnels: ServedTunnels::default(),
            releases: Releases::default(),
            peers: Peers::new(&config, socket),
            placements: Placements::default(),
            round_trips: Mutex::default(),
            spill: Spillover::default(),
            region_sums: Mutex::default(),
            round_trips_measured_at: Mutex::default(),
            unnamed_zones: UnnamedZones::default(),
            placement_table: Mutex::default(),
            metrics: Metrics::new(),
            state: Arc::new(NodeState::default()),
            stop: Arc::new(StopSignal::default()),
            store_trouble: StoreTrouble::default(),
            config_watch: TableWatch::new("configuration", config.config_watch, WatchRole::AsksLast),
            list_watch: TableWatch::new("engines", config.list_watch, WatchRole::Relies),
            listing: Mutex::new(EngineListing::default()),
            list_updates: Mutex::default(),
            recent_changes: Mutex::new(RecentChanges::default()),
            cordons: Mutex::default(),
            table,
            suspects: Suspects::new(&config),
            start,
            fleet_clock: Mutex::default(),
            metering: Metering::of(&config, start),
            expected_loads: Mutex::default(),
            duty_notes: Mutex::default(),
            authority: Mutex::default(),
            lease_version: Mutex::default(),
            lease_exclusive_until: Mutex::default(),
            heard_lease: Mutex::default(),
            duties_from: Mutex::default(),
            in_force: Mutex::new(ConfigInForce::default()),
            rotation: Mutex::new(ShareRotation::default()),
            repeats: Repeats::new(&config),
            unknown_fields: Mutex::default(),
            announcements: Announcements::default(),
            rate_limits: RateLimits::default(),
            tenant_rates: TenantRates::default(),
            stream_origins: StreamOrigins::new(config.first_start),
            buffers: BufferAccount::new(BufferLimits::of_memory(config.memory_megabytes)),
            waits: Mutex::new(CallerWaits::default()),
            reloaded_at: Mutex::default(),
            list_changed_at: Mutex::new(MonotonicTime::default()),
            unconfirmed_since: Mutex::default(),
            config,
        }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Takes the zones and regions of new settings. Settings that do not fit this node change nothing.
    pub(crate) fn set_topology(&self, settings: &TopologySettings) {
        *lock(&self.reloaded_at) = Some(self.now());
        let faults = settings.validate(&self.config.zone);
        if let Some(fault) = faults.first() {
            return log::warn!(field = fault.field.as_str(), value = fault.value.as_str(); "topology_refused");
        }
        let topology = Topology::new(&self.config.zone, settings);
        if topology == *self.peers.topology() {
            return;
        }
        log::info!(regions = topology.region_count(), zones = settings.zones.len(); "topology_changed");
        lock(&self.router).set_topology(topology.clone());
        self.peers.set_topology(topology);
        // Others must know at once by which regions this node chooses owners of request slots.
        self.rate_limits.note_news(self);
        self.unnamed_zones.clear();
        self.note_zones();
    }

    /// Notes the zone of another node, which the settings may not name.
    pub(crate) fn note_node_zone(&self, node: &NodeId, zone: &ZoneId) {
        let topology = self.peers.topology();
        self.unnamed_zones
            .note(&topology, zone, ZoneUser::Node, node.as_str());
    }

    /// Notes the zones of all engines in use, since the settings have changed; those of nodes follow with their next message.
    fn note_zones(&self) {
        let topology = self.peers.topology();
        let router = lock(&self.router);
        for state in router.engines() {
            let engine = &state.engine;
            self.unnamed_zones
                .note(&topology, &engine.zone, ZoneUser::Engine, engine.id.as_str());
        }
    }

    /// Records the round trip of a question that a node answered.
    pub(crate) fn note_round_trip(&self, node: SubjectHandle, round_trip: Duration) {
        let Some(region) = self.peers.region_of(node) else {
            return;
        };
        let mean = {
            let mut round_trips = lock(&self.round_trips);
            round_trips.on_answer(&region, round_trip);
            round_trips.mean(&region)
        };
        lock(&self.round_trips_measured_at).insert(region.clone(), self.now());
        if let Some(mean) = mean {
            lock(&self.router).on_region_round_trip(&region, mean);
        }
    }

    /// Records a question that a node of another region did not answer in time.
    pub(crate) fn note_silence(&self, region: &RegionId) {
        lock(&self.round_trips).on_timeout(region);
    }

    /// Time to wait for an answer from a placer of another region.
    pub(crate) fn region_answer_wait(&self, region: &RegionId) -> Duration {
        lock(&self.round_trips).answer_wait(region, self.config.placing.answer_wait())
    }

    /// Records how a question to a node ended: the round trip of its answer, or the time for which none came.
    pub(crate) fn note_question(&self, node: SubjectHandle, is_answered: bool, took: Duration) {
        if is_answered {
            return self.note_round_trip(node, took);
        }
        if let Some(region) = self.peers.region_of(node) {
            self.note_silence(&region);
        }
    }

    /// Time to wait for a node's answer to a question: that of its region, or the configured one in a deployment that is not
    /// regional.
    pub(crate) fn answer_wait(&self, node: SubjectHandle) -> Duration {
        let configured = self.config.placing.answer_wait();
        if !self.peers.topology().is_regional() {
            return configured;
        }
        let region = self.peers.region_of(node);
        lock(&self.round_trips).answer_wait_of(region.as_ref(), configured)
    }

    /// Time within which nodes of all regions have heard of something that `configured` allows for within one region.
    pub(crate) fn wait_for_all_regions(&self, configured: Duration) -> Duration {
        let topology = self.peers.topology();
        let distant = topology
            .regions()
            .filter(|region| topology.own_region() != Some(region));
        lock(&self.round_trips).longest_wait(distant, configured)
    }

    /// What the lease allows, while this node holds it.
    pub(crate) fn authority(&self, now: MonotonicTime) -> Option<Authority> {
        lock(&self.authority).filter(|authority| now < authority.not_after)
    }

    /// The right to call the platform; absent without the lease, or too soon after another gave it up.
    pub(crate) fn duty_authority(&self, now: MonotonicTime) -> Option<Authority> {
        self.authority(now).filter(|_| now >= *lock(&self.duties_from))
    }

    pub(crate) fn set_authority(&self, authority: Option<Authority>, duties_from: MonotonicTime) {
        *lock(&self.duties_from) = duties_from;
        *lock(&self.authority) = authority;
    }

    /// Version of the lease's row at this node's last renewal; absent while it is not confirmed.
    pub(crate) fn lease_version(&self) -> Option<RowVersion> {
        *lock(&self.lease_version)
    }

    pub(crate) fn set_lease_version(&self, version: Option<RowVersion>) {
        *lock(&self.lease_version) = version;
    }

    /// Until when no other node can hold the lease, as proved by this node's last confirmed renewal; stays known after the lease is lost,
    /// see [`LeaseKeeper::exclusive_until`](shelfjunction_core::lease::LeaseKeeper::exclusive_until).
    pub(crate) fn lease_exclusive_until(&self) -> Option<MonotonicTime> {
        *lock(&self.lease_exclusive_until)
    }

    pub(crate) fn set_lease_exclusive_until(&self, until: Option<MonotonicTime>) {
        *lock(&self.lease_exclusive_until) = until;
    }

    /// Notes that the holder of the lease told this version of its row.
    pub(crate) fn note_lease_heard(&self, version: RowVersion) {
        let mut heard = lock(&self.heard_lease);
        if heard.is_none_or(|(known, _)| known < version) {
            *heard = Some((version, self.now()));
        }
    }

    /// The version that the holder told last, and when it was first heard.
    pub(crate) fn heard_lease(&self) -> Option<(RowVersion, MonotonicTime)> {
        *lock(&self.heard_lease)
    }

    /// Whether the store answers this node.
    pub(crate) fn in_contact_with_store(&self) -> bool {
        self.config_watch.in_contact() && self.list_watch.in_contact()
    }

    /// Whether this node may take over what one node does for all: the store answers it, and it reaches engines that others reach.
    pub(crate) fn takes_duties(&self) -> bool {
        self.in_contact_with_store() && !lock(&self.engine_reach).should_yield()
    }

    /// The configuration in force.
    pub(crate) fn forwarding(&self) -> Option<Arc<ForwardingConfig>> {
        lock(&self.in_force).current().cloned()
    }

    /// Offers a configuration from the store or a peer.
    pub(crate) fn offer(&self, offered: ForwardingConfig, source: &str) -> Adoption {
        let version = offered.version;
        let adoption = lock(&self.in_force).offer(offered, self.now());
        match &adoption {
            Adoption::Adopted { before } => {
                if let Some(config) = self.forwarding() {
                    lock(&self.router).on_config(&config);
                    lock(&self.rotation).retain(&config.routes);
                }
                self.state.configured.store(true, Ordering::Relaxed);
                log::info!(version, before:? = before, source; "configuration_taken");
            }
            Adoption::NotNewer => log::debug!(version; "configuration_not_newer"),
            Adoption::Refused(faults) => {
                for fault in faults {
                    log::warn!(version, fault:% = fault; "configuration_refused");
                }
            }
        }
        adoption
    }

    /// Updates the list of engines from the store or a peer, which `source` names; whether anything has changed. Several
    /// threads do, and the router must have the changes in the order in which the list took them.
    pub(crate) fn update_list(
        &self,
        source: &str,
        update: impl FnOnce(&mut EngineListing) -> Vec<ListChange>,
    ) -> bool {
        let _in_order = lock(&self.list_updates);
        let (changes, has_unconfirmed) = {
            let mut listing = lock(&self.listing);
            let before = listing.applied_version();
            let changes = update(&mut listing);
            let (era_before, era) = (
                StorePosition::era_of(before),
                StorePosition::era_of(listing.applied_version()),
            );
            if before > 0 && era > era_before {
                log::warn!(era_before, era, changes = changes.len(), source; "list_of_restored_store");
            }
            (changes, listing.has_unconfirmed())
        };
        let mut unconfirmed_since = lock(&self.unconfirmed_since);
        *unconfirmed_since = has_unconfirmed.then(|| unconfirmed_since.unwrap_or(self.now()));
        drop(unconfirmed_since);
        let has_changed = !changes.is_empty();
        if has_changed {
            self.apply_list_changes(changes, source);
        }
        has_changed
    }

    /// Era of the store that the list of engines reflects; zero where it names none.
    pub(crate) fn store_era(&self) -> u64 {
        StorePosition::era_of(lock(&self.listing).applied_version())
    }

    /// Drops engines that a restored store has lacked for longer than they need to write themselves again.
    pub(crate) fn drop_unconfirmed_engines(&self) {
        let since = *lock(&self.unconfirmed_since);
        if since.is_some_and(|since| self.now().since(since) >= REWRITE_TIME) {
            self.update_list("restored store", EngineListing::drop_unconfirmed);
        }
    }

    fn apply_list_changes(&self, changes: Vec<ListChange>, source: &str) {
        let now = self.now();
        *lock(&self.list_changed_at) = now;
        let listed = changes.len();
        let mut reserved = 0;
        for change in changes {
            match change {
                ListChange::Listed(engine) => reserved += usize::from(!self.engine_listed(engine, source)),
                ListChange::Unreadable(entry) => {
                    log::info!(engine = entry.as_str(), source; "engine_unusable");
                    let starts = lock(&self.router).on_entry_unreadable(&entry, now);
                    starts.iter().for_each(|start| self.links.forget(start));
                }
                ListChange::Gone(engine) => {
                    let doubtful = self.store_trouble.was_recent(now);
                    if doubtful {
                        lock(&self.listing).forget_removal(&engine);
                    }
                    if self.is_in_use(&engine) {
                        log::info!(engine = engine.as_str(), start:% = engine.start(), doubtful, source; "engine_gone");
                        self.links.forget(&engine);
                    }
                    lock(&self.router).on_engine_delisted(&engine, doubtful, now);
                }
            }
        }
        // Of a reserve of thousands each engine is not worth a line.
        if reserved > 0 {
            log::info!(changes = listed, reserved, source; "engines_reserved");
        }
        self.update_reclaimed_zones(source);
        self.state.note_listed();
    }

    /// Looks whether a zone takes its spot engines back, after engines began to drain.
    pub(crate) fn update_reclaimed_zones(&self, source: &str) {
        if lock(&self.router).update_reclaimed_zones(self.now()) {
            log::info!(source; "spot_engines_taken_back");
        }
    }

    /// Lets a connection rest if it can be used again: not one to a start of an engine that is listed no longer.
    pub(crate) fn rest_link(&self, engine: &EngineId, link: Connection, now: MonotonicTime) {
        if self.knows_so(engine, EngineState::is_listed) {
            self.links
                .give_back(engine, link, self.resting_allowed(engine), now);
        }
    }

    /// Connections to an engine that may rest here: this node's share of what the engine takes.
    fn resting_allowed(&self, engine: &EngineId) -> usize {
        let (handle, pool) = {
            let router = lock(&self.router);
            let pool = router.engine(engine).map(|state| state.engine.pool.clone());
            (router.handle_of(engine), pool)
        };
        let config = self.forwarding();
        let pool = pool.and_then(|pool| config.as_ref()?.pool(&pool).map(|pool| pool.connection_limit));
        let nodes = self.peers.nodes().unwrap_or(1);
        // What is not configured yet is not worth a connection.
        pool.map_or(0, |limit| {
            connections::resting_allowed(limit, nodes, self.peers.own_handle(), handle)
        })
    }

    /// Whether what is meant for this start of an engine would not reach a later start instead.
    pub(crate) fn may_be_reached(&self, engine: &EngineId) -> bool {
        self.knows_so(engine, |state| !state.has_later_start())
    }

    /// Whether something holds of a start of an engine; taken to hold where the platform doesn't tell starts, since names
    /// don't come back there.
    fn knows_so(&self, engine: &EngineId, holds: fn(&EngineState) -> bool) -> bool {
        engine.start() == EngineStart::default() || lock(&self.router).engine(engine).is_some_and(holds)
    }

    /// Whether a call that may last so long is still taken.
    pub(crate) fn takes_call(&self, longest: Duration) -> bool {
        let began = *lock(&self.state.stop_began);
        let end = self.config.end_after_stop();
        began.is_none_or(|began| stopping::takes(self.now().since(began), end, longest))
    }

    /// When requests that are under way end with an answer because the process stops; absent until it is told to.
    pub(crate) fn requests_end_at(&self) -> Option<MonotonicTime> {
        if !self.state.is_stopping() {
            return None;
        }
        let began = *lock(&self.state.stop_began);
        Some(began? + stopping::answered_after(self.config.end_after_stop()))
    }

    /// Time since the signal to stop; absent before it.
    pub(crate) fn stop_age(&self) -> Option<Duration> {
        let began = *lock(&self.state.stop_began);
        began.map(|began| self.now().since(began))
    }

    /// Time since settings were last read again; absent where they were not.
    pub(crate) fn reload_age(&self) -> Option<Duration> {
        let reloaded_at = *lock(&self.reloaded_at);
        reloaded_at.map(|at| self.now().since(at))
    }

    /// Time since the list of engines last changed.
    pub(crate) fn list_unchanged_for(&self) -> Duration {
        self.now().since(*lock(&self.list_changed_at))
    }

    /// Takes an engine's listing; whether requests may go there.
    fn engine_listed(&self, engine: PoolEngine, source: &str) -> bool {
        if engine.leaving {
            self.links.forget(&engine.id);
        }
        let topology = self.peers.topology();
        self.unnamed_zones
            .note(&topology, &engine.zone, ZoneUser::Engine, engine.id.as_str());
        lock(&self.router).on_engine_listed(engine.clone());
        let in_use = self.is_in_use(&engine.id);
        if in_use {
            log::info!(
                engine = engine.id.as_str(),
                start:% = engine.id.start(),
                pool:% = engine.pool,
                address:% = engine.address,
                zone = engine.zone.as_str(),
                stage:? = engine.stage,
                software_version = engine.software_version.as_ref().map_or("unknown", SoftwareVersion::as_str),
                leaving = engine.leaving,
                source;
                "engine_listed"
            );
        }
        in_use
    }

    /// Whether an engine is one of those that requests may go to.
    fn is_in_use(&self, engine: &EngineId) -> bool {
        lock(&self.router).engine(engine).is_some()
    }

    /// The pool that takes the next request of a route.
    pub(crate) fn next_pool(&self, route: &RouteRule) -> Option<PoolId> {
        lock(&self.rotation).next(route)
    }

    /// Whether a caller has much less time left than others on the route have at first, so that this is not its first
    /// attempt.
    pub(crate) fn has_returned(&self, call: &Call, route: &RouteRule) -> bool {
        call.time_left
            .is_some_and(|left| lock(&self.waits).has_returned(&route.id, left))
    }

    /// Version of the configuration in force, and for how long it has been.
    pub(crate) fn config_age(&self) -> Option<(u64, Duration)> {
        let in_force = lock(&self.in_force);
        let version = in_force.current()?.version;
        Some((version, self.now().since(in_force.since())))
    }
}
