//! A fleet in virtual time through which one crashing request comes again and again, at any node, and another that only runs
//! beside it.
//!
//! Each node's register, pace and trials are the product's; words between nodes are lost, doubled and late, nodes are killed,
//! stand still and are cut off. The store may be away.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::forwarding::{PoolId, RouteId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::quarantine::config::QuarantineSettings;
use shelfjunction_core::quarantine::notification::{Audience, NotificationSchedule, Role};
use shelfjunction_core::quarantine::report::{ConfirmationReport, SuspectReport, TrialId, TrialReport};
use shelfjunction_core::quarantine::{Asked, Fingerprint, Quarantine, Standing, TrialBoard};
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Length of one step.
const STEP: Duration = Duration::from_millis(10);

/// Steps from a send to the engine's crash.
const CRASHES_AFTER: u64 = 5;

/// Attempts of one request at engines.
const MAX_ATTEMPTS: u32 = 2;

/// Steps until an engine that has crashed is back.
const BACK_AFTER: u64 = 400;

/// Largest fleet without placers, and placers of a larger one.
const ALONE_UP_TO: usize = 16;
const PLACERS: usize = 8;

/// Time within which nodes have to know of the third crash.
pub const CONTACT: Duration = Duration::from_secs(3);

/// The request that crashes engines.
pub const CRASHING: Fingerprint = Fingerprint([7; 16]);

/// A request that engines answer unless they crash meanwhile.
pub const BYSTANDER: Fingerprint = Fingerprint([8; 16]);

pub fn asked() -> Asked {
    Asked {
        route: RouteId("route".to_owned()),
        pool: pool(),
        tenant: None,
    }
}

pub fn pool() -> PoolId {
    PoolId("pool".to_owned())
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub struct Troubles {
    /// Part of the words between nodes that are lost.
    pub lost: f64,
    /// Part of the nodes that are killed in a second; a killed one is back after a second and knows what the store keeps.
    pub killed: f64,
    /// Part of the nodes that stand still for two seconds, in a second.
    pub still: f64,
    /// Whether the store answers.
    pub store: bool,
}

pub const NO_TROUBLES: Troubles = Troubles {
    lost: 0.0,
    killed: 0.0,
    still: 0.0,
    store: true,
};

struct Node {
    register: Quarantine,
    trials: TrialBoard,
    pace: NotificationSchedule,
    /// Step from which it works again.
    works_from: u64,
    /// Steps since which it has worked without a break.
    works_since: u64,
    inbox: Vec<Word>,
}

#[derive(Clone)]
enum Word {
    Suspect(SuspectReport),
    Confirmation(ConfirmationReport),
    Trial(TrialReport),
}

/// A run of a request, which ends with a crash or with an answer.
#[derive(Clone, Copy)]
struct Run {
    fingerprint: Fingerprint,
    node: usize,
    engine: usize,
    ends_at: u64,
    attempt: u32,
    trial: Option<TrialId>,
}

/// A trial that waits for reports of others.
#[derive(Clone, Copy)]
struct WaitingTrial {
    fingerprint: Fingerprint,
    node: usize,
    trial: TrialId,
    goes_on_at: u64,
    /// Whether it confirms or clears a quarantined request, and so needs the store's claim.
    confirms: bool,
}

/// The fleet.
pub struct Fleet {
    nodes: Vec<Node>,
    settings: QuarantineSettings,
    troubles: Troubles,
    random: ChaCha8Rng,
    step: u64,
    /// Step from which each engine is there, and its start.
    engines: Vec<(u64, u64)>,
    runs: Vec<Run>,
    waiting: Vec<WaitingTrial>,
    kept: BTreeMap<Fingerprint, SuspectReport>,
    /// Requests whose confirming run was claimed in the store.
    claimed: BTreeSet<Fingerprint>,
    /// Times that the bystander was answered, and refused.
    pub bystander_answered: usize,
    pub bystander_refused: usize,
    /// Engines that have crashed, and the step of the third.
    pub crashed: usize,
    pub third_at: Option<u64>,
    /// Arrivals at engines sent by nodes in touch later than the contact time after the third crash.
    pub late_arrivals: usize,
    /// Most engines of the pool that were away at once.
    pub most_away: usize,
}

impl Fleet {
    pub fn new(nodes: usize, engines: usize, troubles: Troubles, seed: u64) -> Self {
        let settings = QuarantineSettings::default();
        Self {
            nodes: (0..nodes).map(|_| Node::new(settings, 0)).collect(),
            settings,
            troubles,
            random: ChaCha8Rng::seed_from_u64(seed),
            step: 0,
            engines: vec![(0, 0); engines],
            runs: Vec::new(),
            waiting: Vec::new(),
            kept: BTreeMap::new(),
            claimed: BTreeSet::new(),
            bystander_answered: 0,
            bystander_refused: 0,
            crashed: 0,
            third_at: None,
            late_arrivals: 0,
            most_away: 0,
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::default() + STEP * self.step as u32
    }

    /// Time passes; the request comes to `a_second` nodes a second on average.
    pub fn pass(&mut self, time: Duration, a_second: f64) {
        let steps = time.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.step += 1;
            self.disturb();
            self.deliver();
            if self.random.random_bool((a_second * STEP.as_secs_f64()).min(1.0)) {
                let node = self.random.random_range(0..self.nodes.len());
                self.ask(CRASHING, node);
            }
            self.go_on_with_trials();
            self.end_runs();
            self.tell();
            self.keep();
            let step = self.step;
            let away = self.engines.iter().filter(|(from, _)| *from > step).count();
            self.most_away = self.most_away.max(away);
        }
    }

    /// The request comes to some nodes at once.
    pub fn ask_at_once(&mut self, nodes: std::ops::Range<usize>) {
        nodes.for_each(|node| self.ask(CRASHING, node));
    }

    /// The bystander comes to a node.
    pub fn ask_bystander(&mut self, node: usize) {
        self.ask(BYSTANDER, node);
    }

    /// Both requests begin their last attempts at one engine, sent by a node each.
    pub fn run_together(&mut self, engine: usize, nodes: [usize; 2]) {
        self.begin(CRASHING, nodes[0], engine, MAX_ATTEMPTS, None);
        self.begin(BYSTANDER, nodes[1], engine, MAX_ATTEMPTS, None);
    }

    /// How each node sees the bystander.
    pub fn bystander_standings(&self) -> Vec<Standing> {
        self.standings_of(&BYSTANDER)
    }

    /// Every node is killed at once, and is back after so long.
    pub fn kill_all(&mut self, back_after: Duration) {
        (0..self.nodes.len()).for_each(|node| self.kill(node, back_after));
    }

    /// How each working node sees the request.
    pub fn standings(&self) -> Vec<Standing> {
        self.standings_of(&CRASHING)
    }

    fn standings_of(&self, fingerprint: &Fingerprint) -> Vec<Standing> {
        let working = self.nodes.iter().filter(|node| node.works_from <= self.step);
        working
            .map(|node| node.register.standing(fingerprint, self.now()))
            .collect()
    }

    fn kill(&mut self, number: usize, back_after: Duration) {
        let back = self.step + (back_after.as_millis() / STEP.as_millis()) as u64;
        self.nodes[number] = Node::new(self.settings, back);
        self.runs.retain(|run| run.node != number);
        self.waiting.retain(|waiting| waiting.node != number);
        if self.troubles.store {
            let now = self.now();
            let kept: Vec<SuspectReport> = self.kept.values().cloned().collect();
            for word in &kept {
                self.nodes[number].register.merge(word, now);
            }
        }
    }

    fn disturb(&mut self) {
        for number in 0..self.nodes.len() {
            let in_a_step = STEP.as_secs_f64();
            if self.random.random_bool(self.troubles.killed * in_a_step) {
                self.kill(number, Duration::from_secs(1));
            }
            if self.random.random_bool(self.troubles.still * in_a_step) {
                self.nodes[number].works_from = self.step + 200;
                self.nodes[number].works_since = self.step + 200;
            }
        }
    }

    fn works(&self, node: usize) -> bool {
        self.nodes[node].works_from <= self.step
    }

    fn deliver(&mut self) {
        let (now, step) = (self.now(), self.step);
        for node in self.nodes.iter_mut().filter(|node| node.works_from <= step) {
            for word in std::mem::take(&mut node.inbox) {
                match word {
                    Word::Suspect(word) => {
                        let changed = node.register.merge(&word, now);
                        if changed.is_some_and(|standing| !matches!(standing, Standing::Free { .. })) {
                            node.pace.note_change();
                        }
                    }
                    Word::Confirmation(word) => {
                        node.register.merge_confirmation(&word, now);
                    }
                    Word::Trial(word) => node.trials.merge(&word, now),
                }
            }
        }
    }

    fn ask(&mut self, fingerprint: Fingerprint, node: usize) {
        if !self.works(node) {
            return;
        }
        let now = self.now();
        match self.nodes[node].register.standing(&fingerprint, now) {
            Standing::Free { .. } => return self.run(fingerprint, node, 1, None),
            Standing::Suspected { .. } => self.begin_trial(fingerprint, node, false),
            Standing::Quarantined { .. } if self.may_confirm(&fingerprint, node) => {
                self.begin_trial(fingerprint, node, true);
            }
            Standing::Quarantined { .. } => {}
        }
        if fingerprint == BYSTANDER {
            self.bystander_refused += 1;
        }
    }

    fn may_confirm(&self, fingerprint: &Fingerprint, node: usize) -> bool {
        let register = &self.nodes[node].register;
        self.troubles.store
            && !register.is_confirmed(fingerprint, self.now())
            && register.claimed_elsewhere_at(fingerprint).is_none()
    }

    fn begin_trial(&mut self, fingerprint: Fingerprint, node: usize, confirms: bool) {
        if self.engines_there() < 2 {
            return;
        }
        let now = self.now();
        let trial = TrialId {
            number: self.random.random(),
            node: handle(node),
        };
        let lasts_for = Duration::from_secs(4);
        if self.nodes[node]
            .trials
            .claim(&pool(), trial, now + lasts_for, now)
        {
            self.notify_trial(node, trial, lasts_for);
            let wait = self.settings.trial_wait().as_millis().div_ceil(STEP.as_millis());
            self.waiting.push(WaitingTrial {
                fingerprint,
                node,
                trial,
                goes_on_at: self.step + wait as u64,
                confirms,
            });
        }
    }

    fn go_on_with_trials(&mut self) {
        let (now, step) = (self.now(), self.step);
        let ready: Vec<WaitingTrial> = self
            .waiting
            .extract_if(.., |waiting| waiting.goes_on_at <= step)
            .collect();
        for waiting in ready {
            let stands = self.nodes[waiting.node]
                .trials
                .stands(&pool(), waiting.trial, now);
            if !stands || !self.claim(&waiting) {
                self.end_trial(waiting.node, waiting.trial);
                continue;
            }
            if waiting.fingerprint == BYSTANDER {
                self.bystander_refused -= 1;
            }
            self.run(waiting.fingerprint, waiting.node, 1, Some(waiting.trial));
        }
    }

    /// Whether a trial may go on: one that confirms only with the store's claim, of which there is one.
    fn claim(&mut self, waiting: &WaitingTrial) -> bool {
        if !waiting.confirms || self.claimed.insert(waiting.fingerprint) {
            return true;
        }
        let now = self.now();
        self.nodes[waiting.node]
            .register
            .note_claimed_elsewhere(&waiting.fingerprint, now);
        false
    }

    fn end_trial(&mut self, node: usize, trial: TrialId) {
        self.nodes[node].trials.end(&pool(), trial);
        self.notify_trial(node, trial, Duration::ZERO);
    }

    fn engines_there(&self) -> usize {
        self.engines.iter().filter(|(from, _)| *from <= self.step).count()
    }

    fn run(&mut self, fingerprint: Fingerprint, node: usize, attempt: u32, trial: Option<TrialId>) {
        let there: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].0 <= self.step)
            .collect();
        if there.is_empty() {
            return;
        }
        let engine = there[self.random.random_range(0..there.len())];
        self.begin(fingerprint, node, engine, attempt, trial);
    }

    fn begin(
        &mut self,
        fingerprint: Fingerprint,
        node: usize,
        engine: usize,
        attempt: u32,
        trial: Option<TrialId>,
    ) {
        let is_crashing = fingerprint == CRASHING;
        if is_crashing {
            // Its prompt is read by one engine, its output run by another.
            self.note_arrivals(node, 2);
        }
        // The bystander is still aboard when a crashing request that began with it crashes the engine.
        let lasts = if is_crashing {
            CRASHES_AFTER
        } else {
            2 * CRASHES_AFTER
        };
        self.runs.push(Run {
            fingerprint,
            node,
            engine,
            ends_at: self.step + lasts,
            attempt,
            trial,
        });
    }

    fn note_arrivals(&mut self, node: usize, arrivals: usize) {
        let contact = (CONTACT.as_millis() / STEP.as_millis()) as u64;
        let is_late = self.third_at.is_some_and(|at| self.step > at + contact);
        let in_touch = self.step >= self.nodes[node].works_since + contact;
        if is_late && in_touch {
            self.late_arrivals += arrivals;
        }
    }

    fn end_runs(&mut self) {
        let step = self.step;
        let due: Vec<Run> = self.runs.extract_if(.., |run| run.ends_at <= step).collect();
        for run in &due {
            if run.fingerprint == CRASHING {
                self.crash(run);
            } else {
                self.note_answer(run);
            }
        }
    }

    fn crash(&mut self, run: &Run) {
        let step = self.step;
        let (from, start) = self.engines[run.engine];
        if from <= step {
            self.engines[run.engine] = (step + BACK_AFTER, start + 1);
            self.crashed += 1;
            if self.crashed == 3 {
                self.third_at = Some(step);
            }
        }
        self.see_crash(run);
        let aboard = |other: &mut Run| other.engine == run.engine && other.fingerprint != CRASHING;
        let broken: Vec<Run> = self.runs.extract_if(.., aboard).collect();
        broken.iter().for_each(|run| self.see_crash(run));
    }

    fn note_answer(&mut self, run: &Run) {
        if let Some(trial) = run.trial {
            self.end_trial(run.node, trial);
        }
        if !self.works(run.node) {
            return;
        }
        let now = self.now();
        self.bystander_answered += 1;
        let node = &mut self.nodes[run.node];
        if node.register.clear(&run.fingerprint, now) {
            node.pace.note_change();
            self.claimed.remove(&run.fingerprint);
            self.kept.remove(&run.fingerprint);
        }
    }

    fn see_crash(&mut self, run: &Run) {
        if let Some(trial) = run.trial {
            self.end_trial(run.node, trial);
        }
        if !self.works(run.node) {
            return;
        }
        let now = self.now();
        let name = format!("{}-{}", run.engine, self.engines[run.engine].1);
        let engine = SubjectHandle::of_text("engine", &name);
        let node = &mut self.nodes[run.node];
        if run.trial.is_some() {
            node.register
                .note_trial_crash(run.fingerprint, &asked(), engine, now);
        } else {
            node.register.note_crash(run.fingerprint, &asked(), engine, now);
        }
        node.pace.note_change();
        let standing = node.register.standing(&run.fingerprint, now);
        if matches!(standing, Standing::Free { .. }) && run.attempt < MAX_ATTEMPTS {
            self.run(run.fingerprint, run.node, run.attempt + 1, None);
        }
    }

    fn role(&self, node: usize) -> Role {
        if self.nodes.len() <= ALONE_UP_TO {
            Role::Each
        } else if node < PLACERS {
            Role::Placer
        } else {
            Role::Other
        }
    }

    fn tell(&mut self) {
        let now = self.now();
        for number in 0..self.nodes.len() {
            if !self.works(number) || self.nodes[number].register.is_empty() {
                continue;
            }
            let role = self.role(number);
            let node = &mut self.nodes[number];
            let has_changes = node.register.has_changes(now);
            for notification in node.pace.due(role, has_changes, now) {
                for word in self.nodes[number].register.reports(notification.selection, now) {
                    let confirmation = word.confirmation();
                    self.send(number, notification.to, &Word::Suspect(in_format_1(word)));
                    if let Some(confirmation) = confirmation {
                        self.send(number, notification.to, &Word::Confirmation(confirmation));
                    }
                }
            }
        }
    }

    fn notify_trial(&mut self, node: usize, trial: TrialId, lasts_for: Duration) {
        let word = TrialReport {
            pool: pool(),
            trial,
            lasts_for,
        };
        self.send(node, Audience::AllNodes, &Word::Trial(word));
    }

    fn send(&mut self, from: usize, to: Audience, word: &Word) {
        let last = match to {
            Audience::AllNodes => self.nodes.len(),
            Audience::Placers => self.nodes.len().min(PLACERS),
        };
        for number in (0..last).filter(|number| *number != from) {
            // A word that comes twice is as good as one that comes once.
            let copies = if self.random.random_bool(0.05) { 2 } else { 1 };
            for _ in 0..copies {
                // The system keeps datagrams for one that stands still; for one that was killed there is nobody.
                if !self.random.random_bool(self.troubles.lost) {
                    self.nodes[number].inbox.push(word.clone());
                }
            }
        }
    }

    fn keep(&mut self) {
        if !self.troubles.store || !self.step.is_multiple_of(25) {
            return;
        }
        let now = self.now();
        for number in 0..self.nodes.len() {
            if self.works(number) {
                for word in self.nodes[number].register.not_stored(now) {
                    let evidence = word.evidence();
                    self.nodes[number]
                        .register
                        .note_stored(&word.fingerprint, evidence);
                    self.kept.insert(word.fingerprint, word);
                }
            }
        }
    }
}

impl Node {
    fn new(settings: QuarantineSettings, works_from: u64) -> Self {
        Self {
            register: Quarantine::new(settings),
            trials: TrialBoard::default(),
            pace: NotificationSchedule::default(),
            works_from,
            works_since: works_from,
            inbox: Vec::new(),
        }
    }
}

/// A report as it arrives in a datagram of format 1.
fn in_format_1(mut report: SuspectReport) -> SuspectReport {
    let crashes = report.crashes.iter_mut();
    crashes.for_each(|crash| crash.is_isolated = false);
    report
}

fn handle(node: usize) -> SubjectHandle {
    SubjectHandle::of_text("node", &node.to_string())
}
