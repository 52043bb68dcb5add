//! Everything that one node knows about nodes and engines, merged by version.

use super::aged::{Aged, merge_beat, millis};
use super::beat::{LoadBeat, NodeBeat};
use super::record::{Liveness, Record, RecordBody, RecordKey, RecordVersion};
use super::subject::SubjectHandle;
use super::view::{content_hash, liveness, same_membership, strip_load};
use super::wire::{DIGEST_GROUPS, Fact, SummaryEntry};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// What became of something that was merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It was newer and is held now.
    Newer,
    /// It was known.
    Known,
    /// What is held is newer.
    Older,
    /// It names a subject that is not known, or whose handle another subject has.
    Refused,
}

/// Changes after a position in one node's own order of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Every record that changed, once, with its present age.
    pub records: Vec<Record>,
    /// Position to ask from next time.
    pub position: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    fact: Aged<Fact>,
    content: u32,
    load: Option<Aged<LoadBeat>>,
    beat: Option<Aged<NodeBeat>>,
    position: u64,
}

impl Aged<Fact> {
    fn version(&self) -> RecordVersion {
        self.value.record.version
    }
}

/// Records by subject. Versions of a subject never go back while it is held.
#[derive(Clone, Debug)]
pub struct RecordStore {
    entries: BTreeMap<SubjectHandle, Entry>,
    changes: BTreeMap<u64, SubjectHandle>,
    position: u64,
    groups: [u32; DIGEST_GROUPS],
    collisions: u64,
    members_position: u64,
    facts_position: u64,
}

impl Default for RecordStore {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            changes: BTreeMap::new(),
            position: 0,
            groups: [0; DIGEST_GROUPS],
            collisions: 0,
            members_position: 0,
            facts_position: 0,
        }
    }
}

impl RecordStore {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a fact. Of two contents with one version the one whose hash is higher stays, at every node alike.
    pub fn merge(&mut self, mut fact: Fact, now: MonotonicTime) -> Merged {
        strip_load(&mut fact.record);
        let age = Duration::from_millis(u64::from(fact.record.age_millis));
        fact.record.age_millis = 0;
        let handle = SubjectHandle::of(&fact.record.key);
        let content = content_hash(&fact);
        let held = self.entries.get(&handle);
        if held.is_some_and(|entry| entry.fact.value.record.key != fact.record.key) {
            self.collisions += 1;
            return Merged::Refused;
        }
        if let Some(entry) = held {
            let held_rank = (entry.fact.version(), entry.content);
            let rank = (fact.record.version, content);
            if rank == held_rank {
                return Merged::Known;
            }
            if rank < held_rank {
                return Merged::Older;
            }
        }
        self.hold(
            handle,
            Aged {
                value: fact,
                age,
                held_since: now,
            },
            content,
        );
        Merged::Newer
    }

    fn hold(&mut self, handle: SubjectHandle, fact: Aged<Fact>, content: u32) {
        let is_node = matches!(fact.value.record.key, RecordKey::Node(_));
        let previous = self.entries.remove(&handle);
        self.toggle_group(handle, fact.version(), content);
        let mut entry = Entry {
            content,
            load: None,
            beat: None,
            position: 0,
            fact,
        };
        let mut members_changed = true;
        if let Some(previous) = previous {
            self.toggle_group(handle, previous.fact.version(), previous.content);
            self.changes.remove(&previous.position);
            let restarted = previous.fact.version().incarnation != entry.fact.version().incarnation;
            members_changed = restarted || !same_membership(&previous.fact.value, &entry.fact.value);
            entry.beat = previous.beat;
            entry.load = previous.load;
        }
        self.entries.insert(handle, entry);
        self.mark_changed(handle);
        self.facts_position = self.position;
        if is_node && members_changed {
            self.members_position = self.position;
        }
    }

    /// Merges a load beat by its position.
    pub fn merge_load(&mut self, beat: LoadBeat, now: MonotonicTime) -> Merged {
        let engine = beat.engine;
        let Some(entry) = self.entries.get_mut(&engine) else {
            return Merged::Refused;
        };
        let merged = merge_beat(&mut entry.load, beat, now);
        self.mark_if_newer(engine, merged)
    }

    /// Merges a node beat by its position.
    pub fn merge_node_beat(&mut self, beat: NodeBeat, now: MonotonicTime) -> Merged {
        let node = beat.node;
        let Some(entry) = self.entries.get_mut(&node) else {
            return Merged::Refused;
        };
        let merged = merge_beat(&mut entry.beat, beat, now);
        self.mark_if_newer(node, merged)
    }

    fn mark_if_newer(&mut self, subject: SubjectHandle, merged: Merged) -> Merged {
        if merged == Merged::Newer {
            self.mark_changed(subject);
        }
        merged
    }

    /// Forgets dead subjects that were written longer ago than `retention`.
    pub fn forget(&mut self, retention: Duration, now: MonotonicTime) -> Vec<RecordKey> {
        let old: Vec<SubjectHandle> = self
            .entries
            .iter()
            .filter(|(_, entry)| liveness(&entry.fact.value.record) == Liveness::Dead)
            .filter(|(_, entry)| entry.fact.age(now) >= retention)
            .map(|(handle, _)| *handle)
            .collect();
        let mut forgotten = Vec::new();
        for handle in old {
            if let Some(entry) = self.entries.remove(&handle) {
                self.toggle_group(handle, entry.fact.version(), entry.content);
                self.changes.remove(&entry.position);
                self.position += 1;
                self.members_position = self.position;
                self.facts_position = self.position;
                forgotten.push(entry.fact.value.record.key);
            }
        }
        forgotten
    }

    /// The fact on a subject, with its present age.
    pub fn fact(&self, handle: SubjectHandle, now: MonotonicTime) -> Option<Fact> {
        let entry = self.entries.get(&handle)?;
        let mut fact = entry.fact.value.clone();
        fact.record.age_millis = millis(entry.fact.age(now));
        Some(fact)
    }

    /// The fact as it was merged, its age left out.
    pub fn held(&self, handle: SubjectHandle) -> Option<&Fact> {
        self.entries.get(&handle).map(|entry| &entry.fact.value)
    }

    /// When this node came to hold the present version.
    pub fn held_since(&self, handle: SubjectHandle) -> Option<MonotonicTime> {
        self.entries.get(&handle).map(|entry| entry.fact.held_since)
    }

    /// The newest load beat of an engine, with its present age.
    pub fn load_beat(&self, handle: SubjectHandle, now: MonotonicTime) -> Option<LoadBeat> {
        let load = self.entries.get(&handle)?.load.as_ref()?;
        Some(LoadBeat {
            age_tenths: load.age_tenths(now),
            ..load.value
        })
    }

    /// The newest node beat, with its present age.
    pub fn node_beat(&self, handle: SubjectHandle, now: MonotonicTime) -> Option<NodeBeat> {
        let beat = self.entries.get(&handle)?.beat.as_ref()?;
        Some(NodeBeat {
            age_tenths: beat.age_tenths(now),
            ..beat.value
        })
    }

    /// The record on a subject as readers see it: fact and beats joined, with the age of the newest observation.
    pub fn record(&self, handle: SubjectHandle, now: MonotonicTime) -> Option<Record> {
        self.entries.get(&handle).map(|entry| entry.joined(now))
    }

    /// Every record, sorted by handle.
    pub fn records(&self, now: MonotonicTime) -> Vec<Record> {
        self.entries.values().map(|entry| entry.joined(now)).collect()
    }

    /// Records that changed after a position; from zero on, all of them.
    pub fn changes_since(&self, position: u64, now: MonotonicTime) -> Changes {
        let handles = self.changes.range(position + 1..).map(|(_, handle)| *handle);
        let records = handles.filter_map(|handle| self.record(handle, now)).collect();
        Changes {
            records,
            position: self.position,
        }
    }

    /// Position of the last change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Position of the last change of which nodes there are, where, and whether they live.
    pub fn members_position(&self) -> u64 {
        self.members_position
    }

    /// Position of the last change of any fact; beats do not count.
    pub fn facts_position(&self) -> u64 {
        self.facts_position
    }

    /// Every fact, sorted by handle, ages left out.
    pub fn facts(&self) -> impl Iterator<Item = (SubjectHandle, &Fact)> {
        self.entries
            .iter()
            .map(|(handle, entry)| (*handle, &entry.fact.value))
    }

    /// Hashes of the facts by group; equal in two stores that hold the same facts.
    pub fn digest(&self) -> Vec<[u8; 4]> {
        self.groups.iter().map(|hash| hash.to_be_bytes()).collect()
    }

    /// Versions of the facts in a group.
    pub fn summary(&self, group: u8) -> Vec<SummaryEntry> {
        let members = self
            .entries
            .iter()
            .filter(|(handle, _)| group_of(**handle) == usize::from(group));
        members
            .map(|(handle, entry)| SummaryEntry {
                handle: *handle,
                version: entry.fact.version(),
                content: entry.content,
            })
            .collect()
    }

    /// Version and content of one fact.
    pub fn summary_entry(&self, handle: SubjectHandle) -> Option<SummaryEntry> {
        let entry = self.entries.get(&handle)?;
        Some(SummaryEntry {
            handle,
            version: entry.fact.version(),
            content: entry.content,
        })
    }

    /// Facts refused because another subject has their handle.
    pub fn collisions(&self) -> u64 {
        self.collisions
    }

    fn mark_changed(&mut self, handle: SubjectHandle) {
        self.position += 1;
        let position = self.position;
        if let Some(entry) = self.entries.get_mut(&handle) {
            self.changes.remove(&entry.position);
            entry.position = position;
            self.changes.insert(position, handle);
        }
    }

    fn toggle_group(&mut self, handle: SubjectHandle, version: RecordVersion, content: u32) {
        let mixed = super::subject::mix(
            handle.number() ^ super::subject::mix(version.incarnation ^ version.sequence.rotate_left(32)),
        );
        let hash = u32::try_from(mixed >> 32).unwrap_or_default() ^ content;
        self.groups[group_of(handle)] ^= hash;
    }
}

impl Entry {
    fn joined(&self, now: MonotonicTime) -> Record {
        let mut record = self.fact.value.record.clone();
        let mut age = self.fact.age(now);
        match &mut record.body {
            RecordBody::Engine(engine) => {
                if let (Some(status), Some(load)) = (&mut engine.status, &self.load) {
                    status.load = load.value.load.report(status.load.cache_tokens_capacity);
                    age = age.min(load.age(now));
                }
            }
            RecordBody::Node(node) => {
                if let Some(beat) = &self.beat {
                    node.generation = node.generation.max(beat.value.generation);
                    age = age.min(beat.age(now));
                }
            }
        }
        record.age_millis = millis(age);
        record
    }
}

/// Group of a subject in a digest.
pub fn group_of(handle: SubjectHandle) -> usize {
    usize::from(handle.0[0]) % DIGEST_GROUPS
}
