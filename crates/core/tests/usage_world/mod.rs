//! A fleet in virtual time that counts usage, tells it over lossy links and reports it, while many nodes are killed at once.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use shelfjunction_core::identity::{FencingToken, NodeId, TenantId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::config::MeteringSettings;
use shelfjunction_core::metering::counter::UsageCounter;
use shelfjunction_core::metering::record::{self, Records};
use shelfjunction_core::metering::replication::{
    DIGEST_INTERVAL, Dispatch, MAX_SUMS_PER_ROUND, REPLICATION_INTERVAL, ReplicationInput, UsageAck,
    UsageDigest, UsageReplicator,
};
use shelfjunction_core::metering::reporter::{SendOutcome, Step, UsageReporter};
use shelfjunction_core::metering::tally::{Incarnation, TenantCounts, UsageTally};
use shelfjunction_core::metering::{UnixTime, WindowNumber};
use shelfjunction_core::table::{Row, RowKey, RowVersion, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const LENGTH: Duration = Duration::from_secs(5);
pub const SETTINGS: MeteringSettings = MeteringSettings {
    window_seconds: 5.0,
    due_after_seconds: 10.0,
};
pub const START: UnixTime = UnixTime(1_000_000_000);
pub const FIRST: WindowNumber = WindowNumber(200);
const STEP: u64 = 20;
/// Bytes of an IP and a UDP header.
const HEADERS: usize = 28;
const PLACERS: usize = 8;
/// Starts of a process are random numbers, of which most take nine bytes.
const FIRST_START: u64 = u64::MAX / 3;
const LATER_START: u64 = u64::MAX / 5;

/// How nodes tell their counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// All placers, ended windows again and again: the only way of earlier builds.
    Placers,
    /// The holder of the lease and replicas.
    Replicas,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub telling: Telling,
    pub seed: u64,
    /// Requests in a second, of all nodes.
    pub rate: f64,
    /// Part of the datagrams that are lost; half as many come twice.
    pub loss: f64,
    pub max_delay_millis: u64,
    /// When nodes are killed, and which.
    pub kill_at: u64,
    pub killed: BTreeSet<usize>,
    /// Time from the kill of a holder until another has the lease.
    pub takeover_millis: u64,
    /// Time after the kill at which killed nodes run again; none do where absent.
    pub restart_after: Option<u64>,
    pub seconds: u64,
    /// Nodes of an earlier build, which tell the placers and drop what they don't know.
    pub earlier: BTreeSet<usize>,
}

impl Scenario {
    pub fn new(nodes: usize, telling: Telling, seed: u64) -> Self {
        Self {
            nodes,
            telling,
            seed,
            rate: 254.0,
            loss: 0.0,
            max_delay_millis: 3,
            kill_at: u64::MAX,
            killed: BTreeSet::new(),
            takeover_millis: 5_500,
            restart_after: None,
            seconds: 40,
            earlier: BTreeSet::new(),
        }
    }

    /// Kills so many nodes at once, the holder of the lease among them unless it is to survive.
    pub fn kill(mut self, count: usize, at: u64, with_holder: bool) -> Self {
        let mut random = StdRng::seed_from_u64(self.seed ^ 0x5eed);
        let first = usize::from(!with_holder);
        self.kill_at = at;
        self.killed = if with_holder {
            BTreeSet::from([0])
        } else {
            BTreeSet::new()
        };
        while self.killed.len() < count {
            self.killed.insert(random.random_range(first..self.nodes));
        }
        self
    }
}

#[derive(Clone)]
enum Message {
    /// A word by the way of earlier builds.
    Told(Incarnation, shelfjunction_core::metering::counter::UsageWord),
    Counts(Dispatch),
    Ack(UsageAck),
    Digest(UsageDigest),
}

struct Node {
    handle: SubjectHandle,
    incarnation: Incarnation,
    counter: UsageCounter,
    tally: UsageTally,
    replicator: UsageReplicator,
    alive: bool,
    digests: u64,
}

impl Node {
    fn new(number: usize, start: u64) -> Self {
        let name = NodeId::new(format!("node-{number}"));
        let handle = SubjectHandle::of_text("node", name.as_str());
        let incarnation = Incarnation { node: name, start };
        Self {
            handle,
            counter: UsageCounter::new(LENGTH),
            tally: UsageTally::new(LENGTH),
            replicator: UsageReplicator::new(handle, incarnation.clone()),
            incarnation,
            alive: true,
            digests: 0,
        }
    }
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub truth: BTreeMap<WindowNumber, TenantCounts>,
    /// Reports, and milliseconds from the window's end.
    pub reports: BTreeMap<WindowNumber, (TenantCounts, u64)>,
    /// Windows that were recorded, and whether as complete.
    pub complete: BTreeMap<WindowNumber, bool>,
    pub bytes: u64,
}

impl Outcome {
    fn sum(counts: &TenantCounts) -> u64 {
        counts.values().sum()
    }

    /// Part by which a window's report is off; absent where there is none in time.
    pub fn error(&self, window: WindowNumber) -> Option<f64> {
        let (reported, after) = self.reports.get(&window)?;
        let truth = Self::sum(&self.truth[&window]);
        (*after <= 10_000).then(|| truth.abs_diff(Self::sum(reported)) as f64 / truth as f64)
    }

    /// Requests that began in a window.
    pub fn counted(&self, window: WindowNumber) -> u64 {
        Self::sum(&self.truth[&window])
    }

    /// Requests that were reported for a window.
    pub fn reported(&self, window: WindowNumber) -> u64 {
        self.reports
            .get(&window)
            .map_or(0, |(counts, _)| Self::sum(counts))
    }

    /// The windows that were due within the run.
    pub fn due(&self, seconds: u64) -> Vec<WindowNumber> {
        let last = FIRST.0 + (seconds - 10) / 5 - 1;
        (FIRST.0..=last).map(WindowNumber).collect()
    }
}

struct World {
    scenario: Scenario,
    random: StdRng,
    nodes: Vec<Node>,
    /// Messages on their way, by the time at which they arrive.
    flying: BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    store: BTreeMap<RowKey, (u64, String)>,
    version: u64,
    holder: usize,
    token: FencingToken,
    held_from: u64,
    reporter: UsageReporter,
    outcome: Outcome,
}

/// Plays a scenario.
pub fn play(scenario: Scenario) -> Outcome {
    let nodes = (0..scenario.nodes)
        .map(|number| Node::new(number, FIRST_START))
        .collect();
    let mut world = World {
        random: StdRng::seed_from_u64(scenario.seed),
        nodes,
        flying: BTreeMap::new(),
        sent: 0,
        store: BTreeMap::new(),
        version: 0,
        holder: 0,
        token: FencingToken(1),
        held_from: 0,
        reporter: UsageReporter::new(SETTINGS),
        outcome: Outcome::default(),
        scenario,
    };
    world.begin_holding(0);
    for now in (0..world.scenario.seconds * 1_000).step_by(STEP as usize) {
        world.step(now);
    }
    world.outcome
}

fn unix(now: u64) -> UnixTime {
    START.later(Duration::from_millis(now))
}

fn clock(now: u64) -> MonotonicTime {
    MonotonicTime::from_millis(60_000 + now)
}

impl World {
    fn step(&mut self, now: u64) {
        if now == self.scenario.kill_at {
            self.kill(now);
        }
        if self
            .scenario
            .restart_after
            .is_some_and(|after| now == self.scenario.kill_at + after)
        {
            for number in self.scenario.killed.clone() {
                self.nodes[number] = Node::new(number, LATER_START);
            }
        }
        self.arrive(now);
        self.deliver(now);
        for number in 0..self.nodes.len() {
            if self.nodes[number].alive {
                self.tell(number, now);
            }
        }
        if now >= self.held_from && now.is_multiple_of(200) && self.nodes[self.holder].alive {
            self.report(now);
        }
    }

    fn kill(&mut self, now: u64) {
        for number in self.scenario.killed.clone() {
            self.nodes[number].alive = false;
        }
        if !self.nodes[self.holder].alive {
            // The lease goes to the first that lives; nodes are numbered by their rank as placers, but a successor is
            // seldom an old placer where most nodes are gone.
            let alive = (0..self.nodes.len())
                .rev()
                .find(|number| self.nodes[*number].alive);
            self.holder = alive.expect("one lives");
            self.token = FencingToken(self.token.0 + 1);
            self.begin_holding(now + self.scenario.takeover_millis);
        }
    }

    fn begin_holding(&mut self, from: u64) {
        self.held_from = from;
        self.reporter = UsageReporter::new(SETTINGS);
        if !self.is_earlier(self.holder) {
            self.nodes[self.holder].tally.begin_gathering(unix(from));
        }
    }

    /// Requests begin at nodes that live.
    fn arrive(&mut self, now: u64) {
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|number| self.nodes[*number].alive)
            .collect();
        let mut expected = self.scenario.rate * STEP as f64 / 1_000.0;
        while expected > 0.0 {
            if self.random.random::<f64>() < expected {
                let node = alive[self.random.random_range(0..alive.len())];
                // A few tenants are large.
                let number = (self.random.random::<f64>().powi(2) * 16.0) as usize;
                let tenant = TenantId::new(format!("chain-{number:02}"));
                self.nodes[node].counter.count(&tenant, unix(now));
                let window = WindowNumber::of(unix(now), LENGTH);
                let truth = self.outcome.truth.entry(window).or_default();
                *truth.entry(tenant).or_default() += 1;
            }
            expected -= 1.0;
        }
    }

    fn tell(&mut self, number: usize, now: u64) {
        let is_earlier = self.is_earlier(number);
        if !is_earlier {
            self.tell_replicas(number, now);
        }
        if is_earlier || !self.nodes[number].replicator.hears_holder(clock(now)) {
            self.tell_placers(number, now);
        }
    }

    fn is_earlier(&self, number: usize) -> bool {
        self.scenario.telling == Telling::Placers || self.scenario.earlier.contains(&number)
    }

    fn tell_placers(&mut self, number: usize, now: u64) {
        let phase = number as u64 * STEP;
        if !(now + phase).is_multiple_of(400) {
            return;
        }
        let again = ((now + phase) / 400).is_multiple_of(3);
        let node = &mut self.nodes[number];
        let from = node.incarnation.clone();
        for word in node.counter.words(unix(now), again, 60) {
            self.nodes[number].tally.take(&from, &word, unix(now));
            for placer in self.placers(now).into_iter().filter(|placer| *placer != number) {
                self.send(
                    placer,
                    Message::Told(from.clone(), word.clone()),
                    &(&from.node, from.start, &word),
                    now,
                );
            }
        }
    }

    /// Placers as the others believe: a killed one is replaced after two seconds.
    fn placers(&self, now: u64) -> Vec<usize> {
        let believed =
            |number: &usize| self.nodes[*number].alive || now < self.scenario.kill_at.saturating_add(2_000);
        let mut placers: Vec<usize> = (0..self.nodes.len()).filter(believed).take(PLACERS).collect();
        if now >= self.held_from && !placers.contains(&self.holder) {
            placers.push(self.holder);
        }
        placers
    }

    fn tell_replicas(&mut self, number: usize, now: u64) {
        let interval = REPLICATION_INTERVAL.as_millis() as u64;
        let phase = number as u64 * STEP;
        // Nodes tell the placers every two seconds that they live; the successor became one before it took the lease.
        if (now + phase).is_multiple_of(2_000)
            && now + 2_000 >= self.held_from
            && self.random.random::<f64>() >= self.scenario.loss
        {
            let name = self.nodes[number].incarnation.node.clone();
            self.nodes[self.holder].tally.note_alive(&name, unix(now));
        }
        if !(now + phase).is_multiple_of(interval) {
            return;
        }
        self.take_own(number, now);
        let handles: Vec<SubjectHandle> = self.nodes.iter().map(|node| node.handle).collect();
        let node = &mut self.nodes[number];
        let input = ReplicationInput {
            candidates: &handles,
            last: false,
            unix: unix(now),
            now: clock(now),
        };
        let dispatches = node.replicator.dispatches(&mut node.counter, &node.tally, &input);
        for dispatch in dispatches {
            let to = handles
                .iter()
                .position(|handle| *handle == dispatch.to)
                .expect("known");
            let bytes = dispatch.batch.clone();
            self.send(to, Message::Counts(dispatch), &bytes, now);
        }
        if number == self.holder && now >= self.held_from {
            self.send_digest(number, now);
        }
    }

    fn take_own(&mut self, number: usize, now: u64) {
        let node = &mut self.nodes[number];
        for total in node.counter.totals(unix(now), false) {
            for word in node.counter.words_for(total, 50) {
                node.tally.take(&node.incarnation, &word, unix(now));
            }
        }
    }

    fn send_digest(&mut self, number: usize, now: u64) {
        let interval = DIGEST_INTERVAL.as_millis() as u64;
        let round = now / interval;
        if self.nodes[number].digests > round {
            return;
        }
        self.nodes[number].digests = round + 1;
        let present = WindowNumber::of(unix(now), LENGTH);
        let open_from = self
            .reporter
            .open_from()
            .unwrap_or(WindowNumber(present.0.saturating_sub(24)));
        let sums = self.nodes[number].tally.digest_sums(open_from, unix(now));
        let mut digest = UsageDigest {
            from: self.nodes[number].handle,
            token: self.token,
            lease_version: Some(RowVersion(7)),
            open_from,
            sums: Vec::new(),
        };
        self.nodes[number]
            .replicator
            .on_digest(&digest, unix(now), clock(now));
        let nodes = self.nodes.len();
        let first = (round as usize * MAX_SUMS_PER_ROUND) % nodes;
        for to in (0..nodes).filter(|to| *to != number) {
            let has_sums = (to + nodes - first) % nodes < MAX_SUMS_PER_ROUND;
            digest.sums = if has_sums { sums.clone() } else { Vec::new() };
            self.send(to, Message::Digest(digest.clone()), &digest, now);
        }
    }

    fn send(&mut self, to: usize, message: Message, content: &impl Serialize, now: u64) {
        let length = bincode::serde::encode_to_vec(content, bincode::config::standard())
            .unwrap()
            .len();
        assert!(length <= 1_400, "a datagram of {length} bytes");
        // A byte for the format and one for the variant.
        self.outcome.bytes += (length + 2 + HEADERS) as u64;
        let copies = if self.random.random::<f64>() < self.scenario.loss {
            0
        } else {
            1 + usize::from(self.random.random::<f64>() < self.scenario.loss / 2.0)
        };
        for _ in 0..copies {
            self.sent += 1;
            let at = now + self.random.random_range(1..=self.scenario.max_delay_millis);
            self.flying.insert((at, self.sent), (to, message.clone()));
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(entry) = self.flying.first_entry()
            && entry.key().0 <= now
        {
            let (to, message) = entry.remove();
            if self.nodes[to].alive {
                self.take(to, message, now);
            }
        }
    }

    fn take(&mut self, number: usize, message: Message, now: u64) {
        let is_earlier = self.is_earlier(number);
        let node = &mut self.nodes[number];
        match message {
            Message::Counts(_) | Message::Ack(_) | Message::Digest(_) if is_earlier => {}
            Message::Told(from, word) => node.tally.take(&from, &word, unix(now)),
            Message::Counts(dispatch) => {
                let from = dispatch.batch.incarnation();
                for word in &dispatch.batch.words {
                    if dispatch.is_copy {
                        node.tally.take_copy(&from, word, unix(now));
                    } else {
                        node.tally.take(&from, word, unix(now));
                    }
                }
                let ack = node
                    .tally
                    .ack(&dispatch.batch, node.handle)
                    .filter(|_| !dispatch.is_copy);
                let sender = self
                    .nodes
                    .iter()
                    .position(|node| node.incarnation.node == from.node);
                if let (Some(ack), Some(sender)) = (ack, sender) {
                    self.send(sender, Message::Ack(ack.clone()), &ack, now);
                }
            }
            Message::Ack(ack) => node.replicator.on_ack(&ack),
            Message::Digest(digest) => {
                if node.replicator.on_digest(&digest, unix(now), clock(now)) {
                    node.tally.take_sums(&node.incarnation, &digest.sums, unix(now));
                }
            }
        }
    }

    fn report(&mut self, now: u64) {
        self.take_own(self.holder, now);
        let token = self.token;
        while let Some(step) =
            self.reporter
                .next(token, &self.nodes[self.holder].tally, unix(now), clock(now))
        {
            match step {
                Step::Load => {
                    let records = self.records();
                    self.reporter.on_loaded(Ok(records), clock(now));
                }
                Step::Claim { transaction, .. } => {
                    let outcome = self.transact(&transaction);
                    self.reporter.on_claimed(&Ok(outcome), clock(now));
                }
                Step::Record {
                    window,
                    counts,
                    transaction,
                    whole,
                } => {
                    let outcome = self.transact(&transaction);
                    if matches!(outcome, TransactionOutcome::Committed { .. }) {
                        self.outcome.complete.insert(window, whole);
                    }
                    self.reporter
                        .on_recorded(window, counts, &Ok(outcome), clock(now));
                }
                Step::Rewrite { window, .. } => panic!("{window} is lost without a restore"),
                Step::Send { window, counts } => {
                    let after = unix(now).since(window.end(LENGTH)).as_millis() as u64;
                    let before = self
                        .outcome
                        .reports
                        .entry(window)
                        .or_insert((counts.clone(), after));
                    assert_eq!(before.0, counts, "two reports of {window}");
                    self.reporter.on_sent(window, SendOutcome::Accepted, clock(now));
                }
                Step::GivenUp(window) => panic!("gave up {window}"),
            }
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for check in &transaction.checks {
            let found = self
                .store
                .get(&check.key)
                .map(|(version, _)| RowVersion(*version));
            if found != check.expected {
                let key = check.key.clone();
                return TransactionOutcome::Conflict { key, found: None };
            }
        }
        self.version += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => self
                    .store
                    .insert(write.key.clone(), (self.version, value.clone())),
                None => self.store.remove(&write.key),
            };
        }
        let version = RowVersion(self.version);
        TransactionOutcome::Committed { version }
    }

    fn records(&self) -> Option<Records> {
        let row = |(key, (version, value)): (&RowKey, &(u64, String))| Row {
            key: key.clone(),
            version: RowVersion(*version),
            value: value.clone(),
        };
        let rows: Vec<Row> = self.store.iter().map(row).collect();
        record::read(&rows).0
    }
}
