//! How contents travel between nodes, and from the object store.

use super::super::network::{Fate, Place};
use super::{BundleFleet, Event};
use shelfjunction_core::bundle::Digest;
use shelfjunction_lab::platform::state::{PlatformAnswer, PlatformCall};

impl BundleFleet {
    /// Asks a peer, or the object store, for what a node lacks.
    pub(super) fn fetch(&mut self, node: usize, peer: Option<usize>) {
        let wanted = self.nodes[node].keeper.wanted();
        if wanted.is_empty() {
            return;
        }
        let from = Place::Zone(self.nodes[node].zone);
        let to = peer.map_or(Place::Platform, |peer| Place::Zone(self.nodes[peer].zone));
        let start = self.nodes[node].start;
        if let Fate::Arrives(delay) = self.network.request(from, to) {
            let asked = Event::ContentsAsked {
                node,
                start,
                peer,
                wanted,
            };
            self.schedule.add(self.now + delay, asked);
        }
    }

    /// Answers what was asked for, as far as it is held.
    pub(super) fn contents_asked(&mut self, node: usize, start: u64, peer: Option<usize>, wanted: &[Digest]) {
        let contents: Vec<Vec<u8>> = match peer {
            Some(peer) if !self.nodes[peer].up => return,
            Some(peer) => {
                let keeper = &self.nodes[peer].keeper;
                wanted
                    .iter()
                    .filter_map(|digest| Some(keeper.content(*digest)?.to_vec()))
                    .collect()
            }
            None => wanted
                .iter()
                .filter_map(|digest| self.read_object(*digest))
                .collect(),
        };
        let to = Place::Zone(self.nodes[node].zone);
        let from = peer.map_or(Place::Platform, |peer| Place::Zone(self.nodes[peer].zone));
        if let Fate::Arrives(delay) = self.network.answer(from, to) {
            self.schedule.add(
                self.now + delay,
                Event::Contents {
                    node,
                    start,
                    contents,
                },
            );
        }
    }

    fn read_object(&mut self, digest: Digest) -> Option<Vec<u8>> {
        match self
            .platform
            .handle(PlatformCall::GetObject(digest.to_hex()), self.now)
            .result
        {
            Ok(PlatformAnswer::Object(bytes)) => bytes,
            _ => None,
        }
    }
}
