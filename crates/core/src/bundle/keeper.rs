//! Keeps one process's bundle: takes in heads and contents, and only ever moves to a higher generation.
//!
//! The keeper does no I/O. Its caller reads the table row or asks peers and hands in what they say
//! ([`BundleKeeper::on_head`]), fetches what [`BundleKeeper::wanted`] names from anywhere and hands that in too
//! ([`BundleKeeper::on_contents`]). Nothing that arrives is trusted before digest, signatures and content are checked.

use super::assemble;
use super::chain::{self, Anchor, Progress};
use super::confirmation::{Confirmation, HeadSource};
use super::contents::{ContentStore, MAXIMUM_CONTENT_BYTES};
use super::digest::Digest;
use super::error::BundleError;
use super::in_force::{BundleInForce, Head};
use super::signature::SigningAuthority;
use crate::identity::{Generation, ZoneId};
use crate::time::MonotonicTime;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Heads that are followed up at once; more push out the oldest that a peer offered.
pub const MAXIMUM_CANDIDATES: usize = 4;

/// Refused heads that are remembered, so that they are not fetched again each time they are offered.
pub const MAXIMUM_REFUSED: usize = 64;

/// What changed through an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperEvent {
    /// A bundle came into force.
    InForce(Head),
    /// An offered bundle was refused.
    Refused {
        /// The offer.
        head: Head,
        /// The cause.
        error: BundleError,
    },
    /// The store names another bundle for the generation in force: the history itself was tampered with.
    Forked {
        /// What is in force.
        held: Head,
        /// What the store says.
        offered: Head,
    },
}

#[derive(Clone, Debug)]
struct Candidate {
    head: Head,
    from_store: bool,
    vouched: Option<MonotonicTime>,
}

/// Keeps one process's bundle.
#[derive(Clone, Debug)]
pub struct BundleKeeper {
    roots: SigningAuthority,
    zone: ZoneId,
    contents: ContentStore,
    in_force: Option<Arc<BundleInForce>>,
    candidates: VecDeque<Candidate>,
    refused: VecDeque<Head>,
    confirmation: Confirmation,
}

impl BundleKeeper {
    /// A keeper without a bundle, for a process of `zone` that trusts the root keys.
    pub fn new(roots: SigningAuthority, zone: ZoneId) -> Self {
        Self {
            roots,
            zone,
            contents: ContentStore::default(),
            in_force: None,
            candidates: VecDeque::new(),
            refused: VecDeque::new(),
            confirmation: Confirmation::default(),
        }
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<&Arc<BundleInForce>> {
        self.in_force.as_ref()
    }

    /// Place and digest of the bundle in force.
    pub fn head(&self) -> Option<Head> {
        self.in_force.as_ref().map(|bundle| bundle.head)
    }

    /// The root keys.
    pub fn roots(&self) -> &SigningAuthority {
        &self.roots
    }

    /// Takes in what the store or a peer says is current; absent: it knows of no bundle.
    pub fn on_head(
        &mut self,
        head: Option<Head>,
        source: &HeadSource,
        now: MonotonicTime,
    ) -> Vec<KeeperEvent> {
        let held = self.head();
        let held_generation = held.map(|held| held.generation).unwrap_or_default();
        let vouched = Confirmation::vouched(source, &self.zone, now);
        let offered = head.map(|head| head.generation);
        let confirms = Confirmation::confirms(source, &self.zone, offered, held_generation);
        let Some(head) = head else {
            if held.is_some() && confirms {
                self.confirmation.note(vouched);
            }
            return Vec::new();
        };
        let from_store = matches!(source, HeadSource::Store);
        if let Some(held) = held
            && held.generation == head.generation
            && held.digest != head.digest
        {
            return forked(held, head, from_store);
        }
        if confirms {
            self.confirmation.note(vouched);
        }
        if head.generation > held_generation && !self.refused.contains(&head) {
            self.add_candidate(Candidate {
                head,
                from_store,
                vouched,
            });
        }
        self.advance()
    }

    /// Takes in contents that were asked for; any others are dropped.
    pub fn on_contents<B: AsRef<[u8]>>(&mut self, contents: impl IntoIterator<Item = B>) -> Vec<KeeperEvent> {
        let wanted: BTreeSet<Digest> = self.wanted().into_iter().collect();
        for bytes in contents {
            let bytes = bytes.as_ref();
            if bytes.len() <= MAXIMUM_CONTENT_BYTES && wanted.contains(&Digest::of(bytes)) {
                self.contents.insert(bytes);
            }
        }
        self.advance()
    }

    /// Contents to fetch next, from whoever holds them; empty when nothing is under way.
    pub fn wanted(&self) -> Vec<Digest> {
        let mut wanted = BTreeSet::new();
        for candidate in &self.candidates {
            if let Ok(Progress::Missing(missing)) =
                chain::trace(candidate.head, &self.anchor(), &self.contents)
            {
                wanted.extend(missing);
            }
        }
        wanted.into_iter().collect()
    }

    /// A content for a peer.
    pub fn content(&self, digest: Digest) -> Option<Arc<[u8]>> {
        self.contents.get(digest)
    }

    /// Time since it was last known that the bundle in force is current; absent before the first confirmation.
    pub fn confirmed_ago(&self, now: MonotonicTime) -> Option<Duration> {
        self.confirmation.age(now)
    }

    /// Whether new work must be refused because nobody can say that the bundle in force is current.
    ///
    /// True without a bundle. A fleet of one zone has nobody in another zone to ask and no other place to serve
    /// wrongly in: it is never isolated.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        let Some(bundle) = &self.in_force else {
            return true;
        };
        let limit = Duration::from_millis(bundle.fleet.isolation_limit_millis);
        bundle.zones.len() > 1 && self.confirmed_ago(now).is_none_or(|age| age > limit)
    }

    fn anchor(&self) -> Anchor<'_> {
        Anchor {
            in_force: self.in_force.as_deref(),
            roots: &self.roots,
        }
    }

    fn add_candidate(&mut self, candidate: Candidate) {
        let known = self
            .candidates
            .iter_mut()
            .find(|known| known.head == candidate.head);
        if let Some(known) = known {
            known.from_store |= candidate.from_store;
            known.vouched = known.vouched.max(candidate.vouched);
            return;
        }
        self.candidates.push_back(candidate);
        if self.candidates.len() > MAXIMUM_CANDIDATES {
            let oldest_of_peer = self
                .candidates
                .iter()
                .position(|known| !known.from_store)
                .unwrap_or(0);
            self.candidates.remove(oldest_of_peer);
        }
    }

    /// Takes in every candidate that is complete, the highest last.
    fn advance(&mut self) -> Vec<KeeperEvent> {
        let mut events = Vec::new();
        self.candidates
            .make_contiguous()
            .sort_by_key(|candidate| candidate.head);
        for candidate in self.candidates.clone() {
            match self.judge(candidate.head) {
                Ok(None) => {}
                Ok(Some(bundle)) => {
                    self.in_force = Some(Arc::new(bundle));
                    self.confirmation.note(candidate.vouched);
                    events.push(KeeperEvent::InForce(candidate.head));
                }
                Err(error) => {
                    self.refuse(candidate.head);
                    events.push(KeeperEvent::Refused {
                        head: candidate.head,
                        error,
                    });
                }
            }
        }
        if !events.is_empty() {
            self.drop_obsolete();
        }
        events
    }

    fn judge(&self, head: Head) -> Result<Option<BundleInForce>, BundleError> {
        let anchor = self.anchor();
        let lineage = match chain::trace(head, &anchor, &self.contents)? {
            Progress::Missing(_) => return Ok(None),
            Progress::Ready(lineage) => *lineage,
        };
        let signed_by = chain::verify(&lineage, &anchor, &self.contents)?;
        let next = chain::next_authority(&lineage, head, signed_by, &self.contents)?;
        assemble::assemble(head, lineage, next, anchor.in_force, &self.contents).map(Some)
    }

    fn refuse(&mut self, head: Head) {
        self.refused.push_back(head);
        if self.refused.len() > MAXIMUM_REFUSED {
            self.refused.pop_front();
        }
    }

    fn drop_obsolete(&mut self) {
        let held = self.head().map(|head| head.generation).unwrap_or_default();
        let refused = &self.refused;
        self.candidates
            .retain(|candidate| candidate.head.generation > held && !refused.contains(&candidate.head));
        let mut kept: BTreeSet<Digest> = self
            .in_force
            .iter()
            .flat_map(|bundle| bundle.contents())
            .collect();
        for candidate in &self.candidates {
            kept.extend(chain::reachable(candidate.head, &self.contents));
        }
        self.contents.retain(&kept);
    }

    /// Generation in force; zero without a bundle.
    pub fn generation(&self) -> Generation {
        self.head().map(|head| head.generation).unwrap_or_default()
    }
}

fn forked(held: Head, offered: Head, from_store: bool) -> Vec<KeeperEvent> {
    if from_store {
        vec![KeeperEvent::Forked { held, offered }]
    } else {
        Vec::new()
    }
}
