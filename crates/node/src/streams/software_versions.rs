//! Software versions of engines, sent to peers beside the changes of the list, whose format cannot hold them.

use crate::context::Context;
use shelfjunction_core::identity::{EngineId, SoftwareVersion};
use shelfjunction_core::routing::pool::{EngineListing, ListUpdate};
use shelfjunction_protocol::stream_messages::StreamDatagram;
use std::net::SocketAddr;

/// Sends the versions of the engines that an update lists.
pub(crate) fn send_software_versions(context: &Context, peers: &[SocketAddr], update: &ListUpdate) {
    let versions = EngineListing::software_versions_of(&update.changes);
    if versions.is_empty() {
        return;
    }
    if let Some(bytes) = StreamDatagram::SoftwareVersions(versions).encode() {
        peers.iter().for_each(|peer| context.peers.send(&bytes, *peer));
    }
}

/// Takes the versions that a peer reports.
pub(super) fn take(context: &Context, versions: Vec<(EngineId, SoftwareVersion)>, from: SocketAddr) {
    context.update_list(&format!("peer {from}"), |listing| {
        listing.learn_software_versions(versions)
    });
}
