//! Takes the datagrams about streams.

use super::software_versions;
use crate::context::Context;
use crate::placing;
use crate::spill;
use shelfjunction_core::streams::{FoundStream, StreamKey};
use shelfjunction_protocol::stream_messages::StreamDatagram;
use std::net::SocketAddr;
use std::time::Duration;

/// Takes one datagram.
pub(crate) fn receive(context: &Context, datagram: StreamDatagram, from: SocketAddr) {
    match datagram {
        StreamDatagram::SoftwareVersions(versions) => software_versions::take(context, versions, from),
        StreamDatagram::Placement(origin, mut query) => {
            query.request.origin = Some(origin);
            placing::answer(context, &query, from);
        }
        StreamDatagram::Began {
            keys,
            record,
            lifetime_millis,
        } => {
            let lifetime = Duration::from_millis(lifetime_millis.into());
            context.stream_origins.add(context, keys, &record, lifetime);
        }
        StreamDatagram::Lookup { number, key } => answer_lookup(context, number, key, from),
        StreamDatagram::LookupAnswer { number, found } => {
            let found = found.map(|(record, age_millis)| FoundStream {
                record,
                age: Duration::from_millis(age_millis.into()),
            });
            context.stream_origins.on_answer(number, found, from);
        }
        StreamDatagram::ContentLookup { number, key } => {
            let answer = context.stream_origins.streams_of_content(context, key).into();
            if let Some(bytes) = (StreamDatagram::ContentAnswer { number, answer }).encode() {
                context.peers.send(&bytes, from);
            }
        }
        StreamDatagram::ContentAnswer { number, answer } => {
            context
                .stream_origins
                .on_content_answer(number, answer.into(), from);
        }
        StreamDatagram::Spill(origin, mut query) => {
            query.question.query.request.origin = Some(origin);
            spill::answer(context, &query, from);
        }
    }
}

fn answer_lookup(context: &Context, number: u64, key: StreamKey, from: SocketAddr) {
    let found = context.stream_origins.find_here(context, key);
    let found = found.map(|found| {
        (
            found.record,
            u32::try_from(found.age.as_millis()).unwrap_or(u32::MAX),
        )
    });
    if let Some(bytes) = (StreamDatagram::LookupAnswer { number, found }).encode() {
        context.peers.send(&bytes, from);
    }
}
