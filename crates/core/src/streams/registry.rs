//! Origins of streams that callers may take up again.

use super::{ContentAnswer, ContentStreams, FoundStream, StreamOrigin};
use crate::forwarding::PoolId;
use crate::identity::{RequestId, TenantId};
use crate::quarantine::Fingerprint;
use crate::routing::pool::PromptShape;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Bytes of a key.
const KEY_BYTES: usize = 16;

/// Maximum number of keys in a registry; the oldest are removed. Each stream has two, of about 150 bytes.
const MAX_KEYS: usize = 40_000;

/// Identifies a stream, by the request whose answer brought its first event or by what that request asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey([u8; KEY_BYTES]);

impl StreamKey {
    /// The key of a request's stream; `tenant` is absent if callers need no key. A tenant that names another one's request gets a
    /// different key.
    pub fn of(tenant: Option<&TenantId>, request: &RequestId) -> Self {
        let tenant = tenant.map_or("", TenantId::as_str);
        let mut hasher = Sha256::new();
        hasher.update("request");
        hasher.update((tenant.len() as u64).to_be_bytes());
        hasher.update(tenant);
        hasher.update(request.as_str());
        Self::of_digest(hasher)
    }

    /// The key of the streams of all requests with the same content, for callers that do not name the request that began theirs.
    pub fn of_content(fingerprint: &Fingerprint, prompt: Option<&PromptShape>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update("content");
        hasher.update(fingerprint.0);
        for part in prompt.into_iter().flat_map(|prompt| &prompt.parts) {
            hasher.update(part.name.to_be_bytes());
            hasher.update(part.tokens.to_be_bytes());
        }
        Self::of_digest(hasher)
    }

    fn of_digest(hasher: Sha256) -> Self {
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hasher.finalize()[..KEY_BYTES]);
        Self(key)
    }

    /// The key as a number, for rendezvous hashing.
    pub fn number(self) -> u64 {
        self.0
            .iter()
            .take(8)
            .fold(0, |number, byte| (number << 8) | u64::from(*byte))
    }
}

/// What is known of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Pool whose engine began it.
    pub pool: PoolId,
    /// Where it began.
    pub origin: StreamOrigin,
}

impl StreamRecord {
    /// Whether a stream with either record may be continued at the same engines.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let versions = (&self.origin.software_version, &other.origin.software_version);
        let is_same_version = matches!(versions, (Some(one), Some(two)) if one == two);
        self.pool == other.pool && (is_same_version || self.origin == other.origin)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    /// Absent if streams that began at different versions have the key.
    record: Option<StreamRecord>,
    began_at: MonotonicTime,
    expires_at: MonotonicTime,
}

/// A key in the order in which they were added; one that was added again stands there twice.
#[derive(Clone, Copy, Debug)]
struct Added {
    key: StreamKey,
    added_at: MonotonicTime,
    expires_at: MonotonicTime,
}

/// Streams that began a short time ago, at this node or at others that reported them.
#[derive(Clone, Debug, Default)]
pub struct StreamRegistry {
    entries: BTreeMap<StreamKey, Entry>,
    order: VecDeque<Added>,
    /// Since when no report was missed; absent if there were none before.
    complete_since: Option<MonotonicTime>,
}

impl StreamRegistry {
    /// An empty registry that has missed every report before the given time.
    pub fn complete_since(time: MonotonicTime) -> Self {
        Self {
            complete_since: Some(time),
            ..Self::default()
        }
    }

    /// Notes that reports before the given time may have been missed.
    pub fn note_missed_before(&mut self, time: MonotonicTime) {
        self.complete_since = self.complete_since.max(Some(time));
    }

    /// Adds a stream that has just begun and may be taken up for `lifetime`.
    pub fn add(&mut self, key: StreamKey, record: StreamRecord, lifetime: Duration, now: MonotonicTime) {
        self.remove_expired(now);
        let expires_at = now + lifetime;
        match self.entries.get_mut(&key) {
            Some(known) => {
                if !known
                    .record
                    .as_ref()
                    .is_some_and(|known| known.is_equivalent(&record))
                {
                    known.record = None;
                }
                known.expires_at = known.expires_at.max(expires_at);
            }
            None => {
                let entry = Entry {
                    record: Some(record),
                    began_at: now,
                    expires_at,
                };
                self.entries.insert(key, entry);
            }
        }
        self.order.push_back(Added {
            key,
            added_at: now,
            expires_at,
        });
        while self.order.len() > MAX_KEYS {
            if let Some(removed) = self.remove_oldest() {
                self.note_missed_before(removed.added_at);
            }
        }
    }

    /// What is known of a stream, and the time since it began; absent if it is unknown or ambiguous.
    pub fn get(&self, key: StreamKey, now: MonotonicTime) -> Option<(&StreamRecord, Duration)> {
        let entry = self.entries.get(&key).filter(|entry| entry.expires_at > now)?;
        Some((entry.record.as_ref()?, now.since(entry.began_at)))
    }

    /// What is known of the streams of a content, and whether that is all.
    pub fn streams_of_content(&self, key: StreamKey, now: MonotonicTime) -> ContentAnswer {
        let entry = self.entries.get(&key).filter(|entry| entry.expires_at > now);
        let streams = match entry {
            None => ContentStreams::None,
            Some(Entry { record: None, .. }) => ContentStreams::OfSeveral,
            Some(Entry {
                record: Some(record),
                began_at,
                ..
            }) => ContentStreams::OfOneOrigin(FoundStream {
                record: record.clone(),
                age: now.since(*began_at),
            }),
        };
        ContentAnswer {
            streams,
            complete_for: self
                .complete_since
                .map_or(Duration::MAX, |since| now.since(since)),
        }
    }

    /// Number of keys, expired ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it holds no streams.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes expired keys in the order in which they were added; one behind a key with a longer lifetime stays until that expires.
    fn remove_expired(&mut self, now: MonotonicTime) {
        while self.order.front().is_some_and(|added| added.expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) -> Option<Added> {
        let added = self.order.pop_front()?;
        // A key that was added again stays until its last entry in the order.
        if self
            .entries
            .get(&added.key)
            .is_some_and(|entry| entry.expires_at <= added.expires_at)
        {
            self.entries.remove(&added.key);
        }
        Some(added)
    }
}
