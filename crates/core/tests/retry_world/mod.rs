//! Nodes in virtual time that grant repeats, tell each other of themselves, are killed and start again; and a judge who
//! sees what callers sent and what engines received.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shelfjunction_core::retry::census::{self, KnownPeer, OwnWord, SharingWord, Silences};
use shelfjunction_core::retry::sharing::{BudgetShare, Sharers};
use shelfjunction_core::retry::window::{WindowBudget, WindowBudgetSettings};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two words of a node that tells everybody, and between two of a placer in a large fleet.
const WORD_EVERY: Duration = Duration::from_millis(700);

/// Time between two words of a node of a large fleet that is no placer.
const OTHERS_WORD_EVERY: Duration = Duration::from_secs(2);

/// Least time between two words of a node.
const WORD_PAUSE: Duration = Duration::from_millis(20);

/// Nodes up to which each tells all others.
const ALONE_UP_TO: usize = 16;

/// Nodes of a large fleet that hear everybody and tell everybody.
const PLACERS: usize = 8;

/// Time after its start at which a node has read the list of nodes.
const LIST_READ_AFTER: Duration = Duration::from_millis(300);

/// Repeats that a request asks for while engines refuse.
const MOST_REPEATS: usize = 2;

/// What a judge outside counts: requests of callers, and repeats that reached engines.
#[derive(Default)]
pub struct Seen {
    requests: Vec<MonotonicTime>,
    pub repeats: Vec<MonotonicTime>,
}

impl Seen {
    /// A window with more repeats than its requests, those of the window before or those of the one between allow.
    pub fn breach(&self, settings: &WindowBudgetSettings) -> Option<String> {
        self.repeats
            .iter()
            .find_map(|begin| self.breach_of_window(*begin, settings))
    }

    fn breach_of_window(&self, begin: MonotonicTime, settings: &WindowBudgetSettings) -> Option<String> {
        let repeats = within(&self.repeats, begin, settings.window);
        let backs = [Duration::ZERO, settings.window / 2, settings.window];
        let counts = backs.map(|back| within(&self.requests, begin - back, settings.window));
        let requests = counts.into_iter().max().unwrap_or_default();
        let allowed = settings.ratio * requests as f64 + settings.slack;
        (repeats as f64 > allowed).then(|| {
            format!("{repeats} repeats from {begin:?} on, {allowed} allowed for {requests} requests")
        })
    }
}

fn within(times: &[MonotonicTime], begin: MonotonicTime, length: Duration) -> usize {
    let until = |end: MonotonicTime| times.partition_point(|at| *at < end);
    until(begin + length) - until(begin)
}

struct Node {
    /// Number of this start.
    start: u64,
    started: MonotonicTime,
    /// Whether it was among the first to start, before anything was granted.
    is_first_start: bool,
    /// From when on it runs again.
    runs_from: MonotonicTime,
    budget: WindowBudget,
    peers: BTreeMap<usize, KnownPeer>,
    list_readable: bool,
    told_at: Option<MonotonicTime>,
    told_hundredths: u32,
    /// Whether it has granted more than it told.
    owes_word: bool,
    hears_all_since: Option<MonotonicTime>,
}

impl Node {
    fn new(settings: WindowBudgetSettings, started: MonotonicTime, is_first_start: bool) -> Self {
        Self {
            start: started.0,
            started,
            is_first_start,
            runs_from: started,
            budget: WindowBudget::new(settings),
            peers: BTreeMap::new(),
            list_readable: true,
            told_at: None,
            told_hundredths: 0,
            owes_word: false,
            hears_all_since: None,
        }
    }

    fn settled_for(&self, window: Duration, now: MonotonicTime) -> Duration {
        let up = now.since(self.started);
        if self.is_first_start { up.max(window) } else { up }
    }
}

/// A fleet whose engines refuse everything from some time on.
pub struct Fleet {
    settings: WindowBudgetSettings,
    nodes: Vec<Node>,
    random: StdRng,
    pub now: MonotonicTime,
    pub seen: Seen,
    /// Repeats that were asked for.
    pub asked: usize,
    /// Part of the words that are lost on their way.
    pub words_lost: f64,
}

impl Fleet {
    /// So many nodes that start for the first time.
    pub fn new(nodes: usize, settings: WindowBudgetSettings, seed: u64) -> Self {
        let start = MonotonicTime::from_millis(60_000);
        Self {
            settings,
            nodes: (0..nodes).map(|_| Node::new(settings, start, true)).collect(),
            random: StdRng::seed_from_u64(seed),
            now: start,
            seen: Seen::default(),
            asked: 0,
            words_lost: 0.0,
        }
    }

    /// Kills nodes; each starts again after the given time, with or without a list of nodes to read.
    pub fn kill(&mut self, killed: impl IntoIterator<Item = usize>, down: Duration, list_readable: bool) {
        for number in killed {
            let mut node = Node::new(self.settings, self.now + down, false);
            node.list_readable = list_readable;
            self.nodes[number] = node;
        }
    }

    /// Stops nodes for a while; they keep what they know.
    pub fn freeze(&mut self, frozen: impl IntoIterator<Item = usize>, length: Duration) {
        for number in frozen {
            self.nodes[number].runs_from = self.now + length;
        }
    }

    /// Lets time pass, with requests every millisecond that go to nodes that run.
    pub fn pass(&mut self, length: Duration, requests_per_milli: usize, engines_refuse: bool) {
        let until = self.now + length;
        while self.now < until {
            self.tell();
            for _ in 0..requests_per_milli {
                self.request(engines_refuse);
            }
            self.now = self.now + Duration::from_millis(1);
        }
    }

    fn request(&mut self, engines_refuse: bool) {
        self.seen.requests.push(self.now);
        let running: Vec<usize> = self.running().collect();
        if running.is_empty() {
            return;
        }
        let number = running[self.random.random_range(0..running.len())];
        let share = self.share(number);
        let budget = &mut self.nodes[number].budget;
        budget.on_request(self.now);
        for _ in 0..MOST_REPEATS {
            if !engines_refuse {
                break;
            }
            self.asked += 1;
            if !budget.take(&share, self.now) {
                break;
            }
            self.seen.repeats.push(self.now);
        }
        let node = &mut self.nodes[number];
        if node.budget.granted_hundredths(&share, self.now) > node.told_hundredths {
            node.owes_word = true;
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        let numbered = self.nodes.iter().enumerate();
        let running = numbered.filter(|(_, node)| node.runs_from <= self.now);
        running.map(|(number, _)| number)
    }

    fn is_large(&self) -> bool {
        self.nodes.len() > ALONE_UP_TO
    }

    /// Everybody who is due tells those who listen.
    fn tell(&mut self) {
        let running: Vec<usize> = self.running().collect();
        for from in &running {
            let is_placer = !self.is_large() || running.iter().take(PLACERS).any(|placer| placer == from);
            let every = match (self.nodes[*from].owes_word, is_placer) {
                (true, _) => WORD_PAUSE,
                (false, true) => WORD_EVERY,
                (false, false) => OTHERS_WORD_EVERY,
            };
            let told_at = self.nodes[*from].told_at;
            if told_at.is_some_and(|at| self.now.since(at) < every) {
                continue;
            }
            self.nodes[*from].told_at = Some(self.now);
            self.nodes[*from].owes_word = false;
            let since = self.nodes[*from].hears_all_since.unwrap_or(self.now);
            self.nodes[*from].hears_all_since = is_placer.then_some(since);
            let word = self.word(*from);
            let hears = if is_placer { running.len() } else { PLACERS };
            for to in running.iter().take(hears).filter(|to| *to != from) {
                if self.random.random_bool(self.words_lost) {
                    continue;
                }
                let start = self.nodes[*from].start;
                let now = self.now;
                let heard = self.nodes[*to].peers.entry(*from);
                heard
                    .or_insert_with(|| KnownPeer::listed(now))
                    .hear(start, word, now);
            }
        }
    }

    fn word(&mut self, number: usize) -> SharingWord {
        let share = self.share(number);
        let own = self.own_word(number);
        let peers = self.peers_of(number);
        let silences = self.silences();
        let node = &mut self.nodes[number];
        let settled_for = node.settled_for(self.settings.window, self.now);
        node.told_hundredths = node.budget.granted_hundredths(&share, self.now);
        SharingWord {
            settles_in_millis: self.settings.window.saturating_sub(settled_for).as_millis() as u32,
            granted_hundredths: node.told_hundredths,
            sharers: census::heard(own, &references(&peers), &silences, self.now),
        }
    }

    fn own_word(&self, number: usize) -> OwnWord {
        let node = &self.nodes[number];
        let listed = node.list_readable && self.now.since(node.started) >= LIST_READ_AFTER;
        OwnWord {
            nodes: listed.then_some(self.nodes.len() as u32),
            hears_all_since: node.hears_all_since,
            is_settled: node.settled_for(self.settings.window, self.now) >= self.settings.window,
        }
    }

    /// Those it has heard, and where it has read the list those that it has not.
    fn peers_of(&self, number: usize) -> Vec<KnownPeer> {
        let node = &self.nodes[number];
        let mut peers: Vec<KnownPeer> = node.peers.values().cloned().collect();
        if self.own_word(number).nodes.is_some() {
            let unheard = self.nodes.len() - 1 - peers.len();
            let listed = KnownPeer::listed(node.started + LIST_READ_AFTER);
            peers.extend(std::iter::repeat_n(listed, unheard));
        }
        peers
    }

    fn silences(&self) -> Silences {
        let alive = if self.is_large() { 4_500 } else { 3_500 };
        Silences {
            alive: Duration::from_millis(alive),
            told: Duration::from_millis(3_500),
            window: self.settings.window,
        }
    }

    /// What a node takes for its part of the budget now.
    pub fn share(&self, number: usize) -> BudgetShare {
        let sharers: Option<Sharers> = census::believed(
            self.own_word(number),
            &references(&self.peers_of(number)),
            &self.silences(),
            self.now,
        );
        BudgetShare {
            sharers,
            settled_for: self.nodes[number].settled_for(self.settings.window, self.now),
        }
    }
}

fn references(peers: &[KnownPeer]) -> Vec<&KnownPeer> {
    peers.iter().collect()
}
