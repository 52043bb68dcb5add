//! Reading and changing single aspects of a record.

use super::beat::CompactLoad;
use super::record::{Liveness, Record, RecordBody};
use super::wire::{Fact, encode};
use crate::engine::LoadReport;
use sha2::{Digest, Sha256};

/// Whether the subject is thought to live.
pub fn liveness(record: &Record) -> Liveness {
    match &record.body {
        RecordBody::Node(node) => node.liveness,
        RecordBody::Engine(engine) => engine.liveness,
    }
}

/// Changes what is thought of the subject's life.
pub fn set_liveness(record: &mut Record, liveness: Liveness) {
    match &mut record.body {
        RecordBody::Node(node) => node.liveness = liveness,
        RecordBody::Engine(engine) => engine.liveness = liveness,
    }
}

/// Takes out of a record what travels in beats, except the capacity of the cache.
pub fn strip_load(record: &mut Record) {
    if let RecordBody::Engine(engine) = &mut record.body
        && let Some(status) = &mut engine.status
    {
        let cache_tokens_capacity = status.load.cache_tokens_capacity;
        status.load = LoadReport {
            cache_tokens_capacity,
            ..LoadReport::default()
        };
    }
}

/// The rounded load of an engine's record, when it has one.
pub fn compact_load(record: &Record) -> Option<CompactLoad> {
    match &record.body {
        RecordBody::Engine(engine) => engine.status.as_ref().map(|status| CompactLoad::of(&status.load)),
        RecordBody::Node(_) => None,
    }
}

/// Whether two facts on a node agree on its zone, addresses and life.
pub(super) fn same_membership(left: &Fact, right: &Fact) -> bool {
    match (&left.record.body, &right.record.body) {
        (RecordBody::Node(left), RecordBody::Node(right)) => {
            left.zone == right.zone && left.service == right.service && left.liveness == right.liveness
        }
        _ => false,
    }
}

/// Hash that orders two contents of one version.
pub(super) fn content_hash(fact: &Fact) -> u32 {
    let hash = Sha256::digest(encode(fact));
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]])
}
