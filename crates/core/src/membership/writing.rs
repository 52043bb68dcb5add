//! Facts that this node writes, and which of them wait to be passed on.

use super::beat::Reach;
use super::gossiper::{Gossiper, HURRIED_DIGEST};
use super::record::{NodeRecord, Record, RecordBody, RecordKey, RecordVersion};
use super::store::Merged;
use super::subject::SubjectHandle;
use super::wire::Fact;
use crate::time::MonotonicTime;

/// Most facts that wait to be passed on.
const MOST_HOT_FACTS: usize = 24;

/// Waiting facts from which on each is passed on fewer times: in a storm comparison by digest costs less.
const CROWDED_FACTS: usize = 8;

/// Times that a fact is passed on in a storm.
const SENDS_WHEN_CROWDED: u8 = 2;

impl Gossiper {
    /// Writes a fact and passes it on.
    pub(super) fn write(&mut self, record: Record, now: MonotonicTime) {
        self.write_as(record, self.own, now);
    }

    /// Writes a fact that leaves the judgement of life with the node that made it.
    ///
    /// A suspicion that changed its witness with an unrelated change could be confirmed by the one who raised it.
    pub(super) fn write_as(&mut self, record: Record, observer: SubjectHandle, now: MonotonicTime) {
        let handle = SubjectHandle::of(&record.key);
        let fact = Fact { record, observer };
        if self.store.merge(fact, now) == Merged::Newer {
            self.push_fact(handle, self.config.fact_sends, now);
        }
    }

    /// Passes a fact on. Where too many wait already, the oldest is left to comparison by digest, which then hurries.
    pub(super) fn push_fact(&mut self, handle: SubjectHandle, sends: u8, now: MonotonicTime) {
        let crowded = self.facts.len() >= CROWDED_FACTS;
        let sends = if crowded {
            sends.min(SENDS_WHEN_CROWDED)
        } else {
            sends
        };
        self.facts.push(handle, sends, Reach::Everywhere);
        if self.facts.drop_oldest_beyond(MOST_HOT_FACTS) {
            self.next_digest = self.next_digest.min(now + HURRIED_DIGEST);
        }
    }

    /// Writes this node's own fact with the next sequence.
    pub(super) fn publish_own(&mut self, now: MonotonicTime) {
        self.own_sequence += 1;
        let body = RecordBody::Node(NodeRecord {
            zone: self.identity.zone.clone(),
            service: self.identity.service,
            liveness: self.own_liveness,
            generation: self.generation(),
        });
        let record = Record {
            key: RecordKey::Node(self.identity.node.clone()),
            version: RecordVersion {
                incarnation: self.identity.incarnation,
                sequence: self.own_sequence,
            },
            age_millis: 0,
            body,
        };
        self.write(record, now);
    }
}
