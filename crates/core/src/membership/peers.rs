//! Which nodes a node sends to: mostly its own zone, a few of the region, fewer beyond.

use super::beat::Reach;
use super::record::{Liveness, RecordBody};
use super::store::RecordStore;
use super::subject::SubjectHandle;
use crate::identity::{RegionId, ZoneId};
use crate::machine::MachineService;
use rand::{Rng, RngCore};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Sends in a hundred that go to another zone of the region.
const REGION_PERCENT: u32 = 15;

/// Sends in a hundred that go to another region.
const FAR_PERCENT: u32 = 7;

/// Neighbours from which on a node prefers its own zone.
const SMALL_ZONE: usize = 8;

/// One node that can be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub handle: SubjectHandle,
    /// Its controller.
    pub address: SocketAddr,
    /// How far away it is.
    pub distance: Reach,
}

/// Zones and the regions that hold them, as the settings and the machine list tell.
pub type Regions = BTreeMap<ZoneId, RegionId>;

/// Nodes by distance, worked out anew only when the members changed.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    built_at: Option<u64>,
    zone: Vec<Peer>,
    region: Vec<Peer>,
    far: Vec<Peer>,
    dead: Vec<Peer>,
}

impl PeerTable {
    /// Brings the table up to the store. Reports whether anything was worked out anew.
    pub fn refresh(
        &mut self,
        own: SubjectHandle,
        zone: &ZoneId,
        regions: &Regions,
        store: &RecordStore,
    ) -> bool {
        if self.built_at == Some(store.members_position()) {
            return false;
        }
        *self = Self {
            built_at: Some(store.members_position()),
            ..Self::default()
        };
        for (handle, fact) in store.facts().filter(|(handle, _)| *handle != own) {
            let RecordBody::Node(node) = &fact.record.body else {
                continue;
            };
            let MachineService::Node { controller, .. } = node.service else {
                continue;
            };
            let distance = distance(zone, &node.zone, regions);
            let peer = Peer {
                handle,
                address: controller,
                distance,
            };
            match (node.liveness, distance) {
                (Liveness::Dead, _) => self.dead.push(peer),
                (_, Reach::Zone) => self.zone.push(peer),
                (_, Reach::Region) => self.region.push(peer),
                (_, Reach::Everywhere) => self.far.push(peer),
            }
        }
        true
    }

    /// Forgets what was worked out, as after the regions changed.
    pub fn invalidate(&mut self) {
        self.built_at = None;
    }

    /// A peer by chance; nearer ones are likelier.
    pub fn choose(&self, random: &mut dyn RngCore) -> Option<Peer> {
        let living = self.zone.len() + self.region.len() + self.far.len();
        if self.zone.len() < SMALL_ZONE && living > 0 {
            // Too few neighbours to pass anything on for this node: every node is as good as another.
            let position = random.random_range(0..living);
            return self
                .zone
                .iter()
                .chain(&self.region)
                .chain(&self.far)
                .nth(position)
                .copied();
        }
        let percent = random.random_range(0..100);
        let lists = if percent < FAR_PERCENT {
            [&self.far, &self.region, &self.zone]
        } else if percent < FAR_PERCENT + REGION_PERCENT {
            [&self.region, &self.far, &self.zone]
        } else {
            [&self.zone, &self.region, &self.far]
        };
        lists.into_iter().find_map(|list| pick(list, random))
    }

    /// A node of the own zone by chance.
    pub fn choose_near(&self, random: &mut dyn RngCore) -> Option<Peer> {
        pick(&self.zone, random)
    }

    /// A node that counts as dead by chance, to find out that a cut has healed.
    pub fn choose_dead(&self, random: &mut dyn RngCore) -> Option<Peer> {
        pick(&self.dead, random)
    }

    /// Living nodes of the own zone, without this one.
    pub fn zone_peers(&self) -> &[Peer] {
        &self.zone
    }

    /// Every other node, dead ones too.
    pub fn all(&self) -> Vec<Peer> {
        let all = self
            .zone
            .iter()
            .chain(&self.region)
            .chain(&self.far)
            .chain(&self.dead);
        all.copied().collect()
    }

    /// A node by its handle, dead ones too.
    pub fn find(&self, handle: SubjectHandle) -> Option<Peer> {
        let mut all = self
            .zone
            .iter()
            .chain(&self.region)
            .chain(&self.far)
            .chain(&self.dead);
        all.find(|peer| peer.handle == handle).copied()
    }

    /// Nodes in the table.
    pub fn len(&self) -> usize {
        self.zone.len() + self.region.len() + self.far.len() + self.dead.len()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// How far one zone is from another.
pub fn distance(own: &ZoneId, other: &ZoneId, regions: &Regions) -> Reach {
    if own == other {
        return Reach::Zone;
    }
    match (regions.get(own), regions.get(other)) {
        (Some(own_region), Some(other_region)) if own_region == other_region => Reach::Region,
        _ => Reach::Everywhere,
    }
}

fn pick(list: &[Peer], random: &mut dyn RngCore) -> Option<Peer> {
    if list.is_empty() {
        return None;
    }
    Some(list[random.random_range(0..list.len())])
}
