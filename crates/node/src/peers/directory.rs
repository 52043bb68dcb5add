//! Enters this node into the store's list and learns of the others from it.

use super::Peer;
use crate::context::Context;
use crate::ports::{NodeDirectory, NodeEntry, NodePage};
use shelfjunction_core::identity::{NodeId, ZoneId};
use shelfjunction_core::placing::list_parts::join_parts;
use shelfjunction_core::table::PlatformError;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Pause after the store gave no answer.
const PAUSE: Duration = Duration::from_millis(700);

/// Most times that the pause doubles: in a large fleet the store refuses many at once, and again if they come back alike.
const MOST_DOUBLINGS: u32 = 3;

/// Part of the time over which nodes that all start at once enter themselves, after which they read the list.
const READ_AFTER: f64 = 1.2;

/// Nodes of the list that are read at first. The whole of a small fleet; of a large one, enough to tell whether this node
/// comes early in the line of placers, who alone have to know all: a thousand nodes that each read a thousand names would
/// have the store hand out a hundred megabytes.
const FIRST_PAGE: u16 = 64;

/// Time between two looks at whether placers are heard by a node that knows only some nodes.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Time after the start until which placers should have been heard.
const HEARD_WITHIN: Duration = Duration::from_millis(3_500);

/// Follows the list as long as the process runs.
pub(crate) fn follow(context: &Context, directory: &dyn NodeDirectory) {
    let mut follower = Follower::new(context, directory);
    if context.stop.wait(random_part(context.config.entering_spread())) {
        return;
    }
    loop {
        if !follower.is_entered() {
            follower.enter();
        }
        if context.now() >= follower.read_at {
            follower.read();
        }
        let wait = follower.next_at().since(context.now());
        if context.stop.wait(wait) {
            return;
        }
        follower.look_for_placers();
    }
}

/// How far this node is with the list.
struct Follower<'a> {
    context: &'a Context,
    directory: &'a dyn NodeDirectory,
    entered: bool,
    /// Zone of the entry.
    entered_zone: Option<ZoneId>,
    failures: u32,
    read_at: MonotonicTime,
    /// Whether the whole list is to be read, however far behind this node comes.
    whole: bool,
}

impl<'a> Follower<'a> {
    fn new(context: &'a Context, directory: &'a dyn NodeDirectory) -> Self {
        Self {
            context,
            directory,
            entered: false,
            entered_zone: None,
            failures: 0,
            read_at: context.now() + context.config.entering_spread().mul_f64(READ_AFTER),
            whole: false,
        }
    }

    /// When there is something to do again.
    fn next_at(&self) -> MonotonicTime {
        let now = self.context.now();
        let mut next = self.read_at;
        if !self.is_entered() {
            next = next.min(now + self.pause());
        }
        if self.knows_some() {
            next = next.min(now + LOOK_EVERY);
        }
        next
    }

    /// Whether the entry in the list is right. Settings that make a deployment regional give the node a zone there.
    fn is_entered(&self) -> bool {
        self.entered && self.entered_zone == self.own_zone()
    }

    fn enter(&mut self) {
        let config = &self.context.config;
        let own = NodeEntry {
            node: config.node.clone(),
            address: config.peer_listen,
            processor_thousandths: config.processor_thousandths(),
            zone: self.own_zone(),
        };
        let outcome = if config.first_start {
            self.directory.enter(&own)
        } else {
            self.enter_again(&own)
        };
        if let Err(error) = &outcome {
            log::info!(error:? = error; "node_not_entered");
            self.failures += 1;
        }
        self.entered = outcome.is_ok();
        self.entered_zone = own.zone;
    }

    /// Enters this node unless it is listed so: after a loss of all nodes their entries are still there, and the store takes
    /// fewer writes than reads.
    fn enter_again(&mut self, own: &NodeEntry) -> Result<(), PlatformError> {
        match self.own_entry() {
            Ok(Some(entry)) if entry == *own => Ok(()),
            Ok(Some(_)) => self.directory.enter(own),
            Ok(None) => {
                // Nobody knows of a machine that is new: it has to know whom to tell.
                self.whole = true;
                self.directory.enter(own)
            }
            Err(_) => self.directory.enter(own),
        }
    }

    /// This node's zone as others must know it; absent in a deployment that is not regional.
    fn own_zone(&self) -> Option<ZoneId> {
        let is_regional = self.context.peers.topology().is_regional();
        is_regional.then(|| self.context.config.zone.clone())
    }

    /// This node's entry in the list.
    fn own_entry(&self) -> Result<Option<NodeEntry>, PlatformError> {
        let own = self.context.config.node.as_str();
        let page = self.directory.nodes_from(own, 1)?;
        Ok(page.entries.into_iter().find(|entry| entry.node.as_str() == own))
    }

    fn read(&mut self) {
        let context = self.context;
        match self.read_page() {
            Ok(()) => {
                self.failures = 0;
                remove_silent(context, self.directory);
                self.read_at = context.now() + context.config.directory.read_every();
            }
            Err(error) => {
                log::info!(error:? = error; "nodes_not_read");
                self.failures += 1;
                self.read_at = context.now() + self.pause();
            }
        }
    }

    /// A part of the list that shows whether this node comes early in the line of placers. In a regional deployment it begins at
    /// this node's own name, since names often begin with the zone, and a page without any node of the region shows nothing.
    fn first_page(&self) -> Result<NodePage, PlatformError> {
        if !self.context.peers.topology().is_regional() {
            return self.directory.nodes_from("", FIRST_PAGE);
        }
        let own = self.context.config.node.as_str();
        let from_own = self.directory.nodes_from(own, FIRST_PAGE)?;
        if from_own.more {
            return Ok(from_own);
        }
        let from_start = self.directory.nodes_from("", FIRST_PAGE)?;
        let (entries, is_whole) =
            join_parts(from_own.entries, from_start.entries, from_start.more, |entry| {
                entry.node.as_str()
            });
        Ok(NodePage {
            entries,
            more: !is_whole,
        })
    }

    /// Reads the first page of the list, and the rest where it is small or this node has to know all.
    fn read_page(&mut self) -> Result<(), PlatformError> {
        let context = self.context;
        if self.knows_some() && !self.whole {
            // What others do is heard; whether this node is still listed is not.
            self.entered = self.own_entry()?.is_some();
            return Ok(());
        }
        let page = self.first_page()?;
        let is_part = page.more;
        if is_part && !self.whole && !context.peers.may_become_placer(&page.entries) {
            note_listed(context, page.entries, false);
            return Ok(());
        }
        let entries = if is_part {
            self.directory.nodes()?
        } else {
            page.entries
        };
        self.whole = true;
        self.entered &= entries.iter().any(|entry| entry.node == context.config.node);
        note_listed(context, entries, true);
        Ok(())
    }

    /// Reads the whole list where no placer is heard, so that this node finds others or takes a place itself.
    fn look_for_placers(&mut self) {
        let now = self.context.now();
        let is_due = now.since(MonotonicTime::default()) >= HEARD_WITHIN;
        if self.knows_some() && !self.whole && is_due && self.context.peers.hears_no_placer(now) {
            self.whole = true;
            self.read_at = now + random_part(PAUSE);
        }
    }

    /// Whether only a part of the list was read.
    fn knows_some(&self) -> bool {
        self.context.state.knows_nodes() && !self.whole
    }

    /// The pause after a failure, not the same for all, since many fail together.
    fn pause(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(MOST_DOUBLINGS);
        let pause = PAUSE * (1 << doublings);
        PAUSE + random_part(pause)
    }
}

/// Takes names off the list that nobody has used for long, so that what nodes share by their number is not divided by
/// those that are gone for good. One node does it for all.
fn remove_silent(context: &Context, directory: &dyn NodeDirectory) {
    let now = context.now();
    if context.authority(now).is_none() {
        return;
    }
    let silent = context
        .peers
        .silent_for(context.config.directory.forget_after(), now);
    if silent.is_empty() {
        return;
    }
    let names: Vec<&str> = silent.iter().map(NodeId::as_str).collect();
    match directory.remove(&silent) {
        Ok(()) => log::info!(nodes = names.join(","); "nodes_removed"),
        Err(error) => log::info!(nodes = names.join(","), error:? = error; "nodes_not_removed"),
    }
}

fn random_part(whole: Duration) -> Duration {
    whole.mul_f64(rand::random::<f64>())
}

fn note_listed(context: &Context, entries: Vec<NodeEntry>, is_complete: bool) {
    let now = context.now();
    let in_line = context.peers.may_become_placer(&entries);
    let mut known = lock(&context.peers.known);
    let others = entries
        .into_iter()
        .filter(|entry| entry.node != context.config.node);
    for entry in others {
        if let Some(zone) = &entry.zone {
            context.note_node_zone(&entry.node, zone);
        }
        let address = entry.address;
        let peer = known.peers.entry(entry.node).or_insert_with_key(|node| {
            log::info!(peer = node.as_str(), address:% = address; "peer_listed");
            Peer::new(node, address, now)
        });
        peer.listed_at = now;
        peer.processor_thousandths = entry.processor_thousandths;
        if entry.zone.is_some() {
            peer.zone = entry.zone;
        }
    }
    known.listed = true;
    known.is_complete = is_complete;
    known.in_line = is_complete && in_line;
    drop(known);
    context.state.note_nodes_listed();
    context.config_watch.look_again();
    context.list_watch.look_again();
}
