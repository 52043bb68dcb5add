//! A fleet in virtual time to which requests come that share parts of their prompts; one part crashes the engines that run it.
//!
//! Registers, answers, schedules and trials are the product's; datagrams are lost, nodes are killed all at once.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::forwarding::{PoolId, RouteId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::quarantine::config::QuarantineSettings;
use shelfjunction_core::quarantine::notification::{Audience, NotificationSchedule, Role};
use shelfjunction_core::quarantine::report::{ConfirmationReport, SuspectReport, TrialId, TrialReport};
use shelfjunction_core::quarantine::{
    Asked, Fingerprint, Quarantine, RecentlyAnswered, RequestSubjects, Standing, TrialBoard, TrialSubjects,
    Verdict,
};
use shelfjunction_core::routing::pool::{PromptPart, PromptShape};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);

/// Steps from a send to a crash, to a whole answer, and from a crash until the engine is back.
const CRASHES_AFTER: u64 = 10;
const ANSWERED_AFTER: u64 = 30;
const BACK_AFTER: u64 = 400;

/// Attempts at engines of one request.
const MAX_ATTEMPTS: u32 = 2;

/// Largest fleet without placers, and placers of a larger one.
const ALONE_UP_TO: usize = 16;
const PLACERS: usize = 8;

/// First parts of sound requests, and rarer parts behind them.
const FIRST_PARTS: u64 = 3;
const RARE_PARTS: u64 = 60;

/// The part that crashes engines; its requests have the first of the first parts.
const CAUSE: u64 = 0xbad;

/// Time within which nodes have to know.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Crashes after which requests with the part must not go on.
const CRASHES: usize = 5;

/// How the parts aboard at crashes are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// As the product does.
    Attribution,
    /// Each part by its own crashes since its last answer, whatever else was aboard.
    Elimination,
}

/// What a run is about.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub nodes: usize,
    pub engines: usize,
    pub sound_per_second: f64,
    pub guilty_per_second: f64,
    /// Part of the datagrams that are lost.
    pub lost: f64,
    /// Whether the part was answered before it began to crash engines.
    pub cause_was_sound: bool,
    pub rule: Rule,
}

/// What became of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub crashes: usize,
    /// Reaches of the part at engines later than the contact time after the fifth crash.
    pub late_reaches: usize,
    /// Sound requests with the same first part, and those of them that were withheld for what they hold: from twice the contact time
    /// after the fifth crash, or the last if there are fewer, and before.
    pub late_sound: usize,
    pub late_withheld: usize,
    pub early_sound: usize,
    pub early_withheld: usize,
    pub datagrams: usize,
}

enum Word {
    Suspect(SuspectReport),
    Confirmation(ConfirmationReport),
    Trial(TrialReport),
}

struct Node {
    register: Quarantine,
    answered: RecentlyAnswered,
    trials: TrialBoard,
    schedule: NotificationSchedule,
    inbox: Vec<Word>,
}

impl Node {
    fn new() -> Self {
        Self {
            register: Quarantine::new(QuarantineSettings::default()),
            answered: RecentlyAnswered::default(),
            trials: TrialBoard::default(),
            schedule: NotificationSchedule::default(),
            inbox: Vec::new(),
        }
    }
}

struct Run {
    node: usize,
    engine: usize,
    subjects: RequestSubjects,
    is_guilty: bool,
    sent_at: MonotonicTime,
    ends_at: u64,
    attempt: u32,
    trial: Option<(TrialId, Option<Fingerprint>)>,
}

struct Waiting {
    node: usize,
    subjects: RequestSubjects,
    is_guilty: bool,
    about: TrialSubjects,
    trial: TrialId,
    goes_on_at: u64,
}

/// The fleet.
pub struct Fleet {
    scene: Scene,
    nodes: Vec<Node>,
    random: ChaCha8Rng,
    step: u64,
    /// Step from which each engine is there, and its start.
    engines: Vec<(u64, u64)>,
    runs: Vec<Run>,
    waiting: Vec<Waiting>,
    claimed: BTreeSet<Fingerprint>,
    requests: u64,
    crash_steps: Vec<u64>,
    /// When sound requests with the first part came, and whether they were withheld.
    sound: Vec<(u64, bool)>,
    late_reaches: usize,
    datagrams: usize,
}

fn part(name: u64) -> Fingerprint {
    Fingerprint::of_part("m", &PromptPart { name, tokens: 1 })
}

fn pool() -> PoolId {
    PoolId("pool".to_owned())
}

fn asked() -> Asked {
    Asked {
        route: RouteId("route".to_owned()),
        pool: pool(),
        tenant: None,
    }
}

impl Fleet {
    pub fn new(scene: Scene, seed: u64) -> Self {
        let mut fleet = Self {
            scene,
            nodes: (0..scene.nodes).map(|_| Node::new()).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            step: 1_000,
            engines: vec![(0, 0); scene.engines],
            runs: Vec::new(),
            waiting: Vec::new(),
            claimed: BTreeSet::new(),
            requests: 0,
            crash_steps: Vec::new(),
            sound: Vec::new(),
            late_reaches: 0,
            datagrams: 0,
        };
        if scene.cause_was_sound {
            let now = fleet.now();
            fleet
                .nodes
                .iter_mut()
                .for_each(|node| node.answered.note(part(CAUSE), now));
        }
        fleet
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::default() + STEP * self.step as u32
    }

    /// Sound requests alone for so long, then those with the part as well.
    pub fn run(mut self, calm: Duration, trouble: Duration) -> Outcome {
        self.pass(calm, 0.0);
        self.pass(trouble, self.scene.guilty_per_second);
        self.outcome()
    }

    /// The same, with all nodes killed at the first crash: nothing is known of answers.
    pub fn run_with_kill_of_all(mut self, calm: Duration, trouble: Duration) -> Outcome {
        self.pass(calm, 0.0);
        while self.crash_steps.len() < 2 {
            self.pass(STEP, self.scene.guilty_per_second);
        }
        self.nodes = (0..self.scene.nodes).map(|_| Node::new()).collect();
        self.runs.clear();
        self.waiting.clear();
        self.crash_steps.clear();
        self.sound.clear();
        self.pass(trouble, self.scene.guilty_per_second);
        self.outcome()
    }

    fn outcome(&self) -> Outcome {
        let judged_from = self
            .crash_steps
            .get(CRASHES - 1)
            .or(self.crash_steps.last())
            .map_or(u64::MAX, |step| step + 2 * steps(CONTACT));
        let first = self.crash_steps.first().copied().unwrap_or(u64::MAX);
        let late = self.sound.iter().filter(|(at, _)| *at >= judged_from);
        let early = self
            .sound
            .iter()
            .filter(|(at, _)| (first..judged_from).contains(at));
        Outcome {
            crashes: self.crash_steps.len(),
            late_reaches: self.late_reaches,
            late_sound: late.clone().count(),
            late_withheld: late.filter(|(_, withheld)| *withheld).count(),
            early_sound: early.clone().count(),
            early_withheld: early.filter(|(_, withheld)| *withheld).count(),
            datagrams: self.datagrams,
        }
    }

    fn pass(&mut self, time: Duration, guilty_per_second: f64) {
        for _ in 0..steps(time) {
            self.step += 1;
            self.deliver();
            self.arrive(self.scene.sound_per_second, false);
            self.arrive(guilty_per_second, true);
            self.go_on_with_trials();
            self.end_runs();
            self.notify();
        }
    }

    fn arrive(&mut self, per_second: f64, is_guilty: bool) {
        let mut expected = per_second * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                let node = self.random.random_range(0..self.nodes.len());
                self.ask(node, is_guilty);
            }
            expected -= 1.0;
        }
    }

    fn draw(&mut self, is_guilty: bool) -> RequestSubjects {
        self.requests += 1;
        let first = if is_guilty {
            0
        } else {
            self.random.random_range(0..FIRST_PARTS)
        };
        let behind = if is_guilty {
            CAUSE
        } else {
            0x100 + self.random.random_range(0..RARE_PARTS)
        };
        let mut name = [0xee; 16];
        name[..8].copy_from_slice(&self.requests.to_be_bytes());
        let names = [first, behind, self.requests << 32];
        let prompt = PromptShape {
            model: "m".to_owned(),
            parts: names.map(|name| PromptPart { name, tokens: 1 }).to_vec(),
            ..PromptShape::default()
        };
        RequestSubjects::of(Fingerprint(name), Some(&prompt))
    }

    fn verdict(&self, node: usize, subjects: &RequestSubjects) -> Verdict {
        let (register, now) = (&self.nodes[node].register, self.now());
        if self.scene.rule == Rule::Attribution {
            return register.verdict(subjects, now);
        }
        let entries = register.entries(now);
        let crashes = |subject: &Fingerprint| {
            let entry = entries.iter().find(|entry| entry.fingerprint == *subject);
            entry.map_or(0, |entry| entry.standing.crashes())
        };
        let suspects: Vec<Fingerprint> = subjects
            .iter()
            .filter(|subject| crashes(subject) >= 2)
            .copied()
            .collect();
        let Some(subject) = suspects
            .iter()
            .max_by_key(|subject| crashes(subject).min(3))
            .copied()
        else {
            return Verdict::Free;
        };
        let standing = match crashes(&subject) {
            crashes @ 0..=2 => Standing::Suspected { crashes },
            crashes => Standing::Quarantined {
                crashes,
                remaining: Duration::from_secs(600),
            },
        };
        Verdict::OnTrial(TrialSubjects {
            subject,
            standing,
            suspects,
        })
    }

    fn ask(&mut self, node: usize, is_guilty: bool) {
        let subjects = self.draw(is_guilty);
        let is_with_first = subjects.parts[0] == part(0);
        let withheld = match self.verdict(node, &subjects) {
            Verdict::Free => {
                self.begin(node, subjects, is_guilty, 1, None);
                false
            }
            Verdict::Refused { subject, .. } => {
                let now = self.now();
                self.nodes[node].register.note_refused(&subject, now);
                true
            }
            Verdict::OnTrial(about) => !self.begin_trial(node, subjects, is_guilty, about),
        };
        if !is_guilty && is_with_first {
            self.sound.push((self.step, withheld));
        }
    }

    fn begin_trial(
        &mut self,
        node: usize,
        subjects: RequestSubjects,
        is_guilty: bool,
        about: TrialSubjects,
    ) -> bool {
        let now = self.now();
        let is_claimed =
            matches!(about.standing, Standing::Quarantined { .. }) && self.claimed.contains(&about.subject);
        if is_claimed || self.engines_there().len() < 2 {
            return false;
        }
        let trial = TrialId {
            number: self.random.random(),
            node: handle(node),
        };
        let lasts_for = Duration::from_secs(4);
        let board = &mut self.nodes[node].trials;
        if !board.claim(&pool(), trial, now + lasts_for, now) {
            return false;
        }
        self.notify_trial(node, trial, lasts_for);
        let wait = QuarantineSettings::default().trial_wait();
        self.waiting.push(Waiting {
            node,
            subjects,
            is_guilty,
            about,
            trial,
            goes_on_at: self.step + steps(wait),
        });
        true
    }

    fn go_on_with_trials(&mut self) {
        let (now, step) = (self.now(), self.step);
        let ready: Vec<Waiting> = self
            .waiting
            .extract_if(.., |waiting| waiting.goes_on_at <= step)
            .collect();
        for waiting in ready {
            let board = &mut self.nodes[waiting.node].trials;
            let stands = board.stands(&pool(), waiting.trial, now);
            let needs_claim = matches!(waiting.about.standing, Standing::Quarantined { .. });
            if !stands || (needs_claim && !self.claimed.insert(waiting.about.subject)) {
                self.end_trial(waiting.node, waiting.trial);
                continue;
            }
            let trial = Some((waiting.trial, waiting.about.isolated()));
            self.begin(waiting.node, waiting.subjects, waiting.is_guilty, 1, trial);
        }
    }

    fn engines_there(&self) -> Vec<usize> {
        let engines = 0..self.engines.len();
        engines
            .filter(|engine| self.engines[*engine].0 <= self.step)
            .collect()
    }

    fn begin(
        &mut self,
        node: usize,
        subjects: RequestSubjects,
        is_guilty: bool,
        attempt: u32,
        trial: Option<(TrialId, Option<Fingerprint>)>,
    ) {
        let there = self.engines_there();
        if there.is_empty() {
            if let Some((trial, _)) = trial {
                self.end_trial(node, trial);
            }
            return;
        }
        let fifth = self.crash_steps.get(CRASHES - 1);
        if is_guilty && fifth.is_some_and(|fifth| self.step > fifth + steps(CONTACT)) {
            // Its prompt is read by one engine, its output run by another.
            self.late_reaches += 2;
        }
        let lasts = if is_guilty { CRASHES_AFTER } else { ANSWERED_AFTER };
        let engine = there[self.random.random_range(0..there.len())];
        self.runs.push(Run {
            node,
            engine,
            subjects,
            is_guilty,
            sent_at: self.now(),
            ends_at: self.step + lasts,
            attempt,
            trial,
        });
    }

    fn end_runs(&mut self) {
        let step = self.step;
        let due: Vec<Run> = self.runs.extract_if(.., |run| run.ends_at <= step).collect();
        for run in due {
            if !run.is_guilty {
                self.answer(run);
                continue;
            }
            let engine = run.engine;
            let (from, start) = self.engines[engine];
            if from > step {
                self.see_crash(run, start - 1);
                continue;
            }
            self.engines[engine] = (step + BACK_AFTER, start + 1);
            self.crash_steps.push(step);
            self.see_crash(run, start);
            let aboard: Vec<Run> = self.runs.extract_if(.., |other| other.engine == engine).collect();
            aboard.into_iter().for_each(|other| self.see_crash(other, start));
        }
    }

    fn answer(&mut self, run: Run) {
        if let Some((trial, _)) = run.trial {
            self.end_trial(run.node, trial);
        }
        let now = self.now();
        let node = &mut self.nodes[run.node];
        let mut cleared = false;
        for subject in run.subjects.iter() {
            node.answered.note(*subject, now);
            if node.register.note_answered(subject, run.sent_at, now) {
                cleared = true;
                self.claimed.remove(subject);
            }
        }
        if cleared {
            node.schedule.note_change();
        }
    }

    fn see_crash(&mut self, run: Run, start: u64) {
        let isolated = run.trial.and_then(|(_, isolated)| isolated);
        if let Some((trial, _)) = run.trial {
            self.end_trial(run.node, trial);
        }
        let now = self.now();
        let engine = SubjectHandle::of_text("engine", &format!("{}-{start}", run.engine));
        let node = &mut self.nodes[run.node];
        for subject in run.subjects.iter() {
            if isolated == Some(*subject) {
                node.register.note_trial_crash(*subject, &asked(), engine, now);
            } else {
                node.register.note_crash(*subject, &asked(), engine, now);
            }
            if let Some(answered_at) = node.answered.last(subject) {
                node.register.note_answered_before(subject, answered_at, now);
            }
        }
        node.schedule.note_change();
        if run.attempt < MAX_ATTEMPTS && self.verdict(run.node, &run.subjects) == Verdict::Free {
            self.begin(run.node, run.subjects, run.is_guilty, run.attempt + 1, None);
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        for node in &mut self.nodes {
            for word in std::mem::take(&mut node.inbox) {
                match word {
                    Word::Suspect(report) => {
                        if node.register.merge(&report, now).is_none() {
                            continue;
                        }
                        let subject = &report.fingerprint;
                        if let Some(answered_at) = node.answered.last(subject).filter(|_| subject.is_part()) {
                            node.register.note_answered_before(subject, answered_at, now);
                        }
                        if !matches!(node.register.standing(subject, now), Standing::Free { .. }) {
                            node.schedule.note_change();
                        }
                    }
                    Word::Confirmation(report) => {
                        if node.register.merge_confirmation(&report, now) {
                            node.schedule.note_change();
                        }
                    }
                    Word::Trial(report) => node.trials.merge(&report, now),
                }
            }
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

    fn notify(&mut self) {
        let now = self.now();
        for number in 0..self.nodes.len() {
            if self.nodes[number].register.is_empty() {
                continue;
            }
            let role = self.role(number);
            let node = &mut self.nodes[number];
            let has_changes = node.register.has_changes(now);
            for notification in node.schedule.due(role, has_changes, now) {
                for mut report in self.nodes[number].register.reports(notification.selection, now) {
                    let confirmation = report.confirmation();
                    report
                        .crashes
                        .iter_mut()
                        .for_each(|crash| crash.is_isolated = false);
                    self.send(number, notification.to, || Word::Suspect(report.clone()));
                    if let Some(confirmation) = confirmation {
                        self.send(number, notification.to, || {
                            Word::Confirmation(confirmation.clone())
                        });
                    }
                }
            }
        }
    }

    fn end_trial(&mut self, node: usize, trial: TrialId) {
        self.nodes[node].trials.end(&pool(), trial);
        self.notify_trial(node, trial, Duration::ZERO);
    }

    fn notify_trial(&mut self, node: usize, trial: TrialId, lasts_for: Duration) {
        self.send(node, Audience::AllNodes, || {
            Word::Trial(TrialReport {
                pool: pool(),
                trial,
                lasts_for,
            })
        });
    }

    fn send(&mut self, from: usize, to: Audience, word: impl Fn() -> Word) {
        let last = match to {
            Audience::AllNodes => self.nodes.len(),
            Audience::Placers => self.nodes.len().min(PLACERS),
        };
        for number in (0..last).filter(|number| *number != from) {
            self.datagrams += 1;
            if !self.random.random_bool(self.scene.lost) {
                self.nodes[number].inbox.push(word());
            }
        }
    }
}

fn steps(time: Duration) -> u64 {
    (time.as_millis() / STEP.as_millis()) as u64
}

fn handle(node: usize) -> SubjectHandle {
    SubjectHandle::of_text("node", &node.to_string())
}
