//! The wire of tunnels through other nodes.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::reachability::relay::RelayOffer;
use shelfjunction_protocol::node_snapshot::Wanted;
use shelfjunction_protocol::node_words::Datagram;
use shelfjunction_protocol::relay_messages::{
    FrameDecoder, FrameKind, MAX_FRAME_BYTES, MalformedFrame, RelayDatagram, TUNNEL_REQUEST, TunnelOpening,
    TunnelReply, append_frame,
};
use std::time::Duration;

#[test]
fn frames_come_out_as_they_went_in_however_the_bytes_are_cut() {
    let mut bytes = Vec::new();
    append_frame(&mut bytes, FrameKind::Request, b"request-1");
    let taken = append_frame(&mut bytes, FrameKind::Data, &vec![7; MAX_FRAME_BYTES + 5]);
    assert_eq!(taken, MAX_FRAME_BYTES);
    append_frame(&mut bytes, FrameKind::End, &[]);
    for step in [1, 2, 1_000, bytes.len()] {
        let mut decoder = FrameDecoder::default();
        let mut frames = Vec::new();
        for piece in bytes.chunks(step) {
            decoder.add(piece);
            while let Some(frame) = decoder.next_frame().unwrap() {
                frames.push(frame);
            }
        }
        let expected = [
            (FrameKind::Request, b"request-1".to_vec()),
            (FrameKind::Data, vec![7; MAX_FRAME_BYTES]),
            (FrameKind::End, Vec::new()),
        ];
        assert_eq!(frames, expected);
    }
}

#[test]
fn bytes_that_are_no_frame_are_an_error() {
    for bytes in [[9, 0, 0], [0, 255, 255]] {
        let mut decoder = FrameDecoder::default();
        decoder.add(&bytes);
        assert_eq!(decoder.next_frame(), Err(MalformedFrame));
    }
}

#[test]
fn openings_and_replies_survive_the_wire() {
    let opening = TunnelOpening {
        engine: SubjectHandle::of_text("engine", "e"),
        wait: Duration::from_millis(250),
    };
    assert_eq!(TunnelOpening::decode(opening.encode()), opening);
    for byte in 0..=255 {
        if let Some(reply) = TunnelReply::of_byte(byte) {
            assert_eq!(reply.to_byte(), byte);
        }
    }
    assert_eq!(TunnelReply::of_byte(0), None);
}

#[test]
fn an_earlier_build_takes_a_tunnel_for_an_empty_question_and_its_datagrams_for_unreadable() {
    assert!(!Wanted::of_byte(TUNNEL_REQUEST).any());
    let node = SubjectHandle::of_text("node", "n");
    let offer = RelayOffer {
        reaches_engine: true,
        reaches_any: true,
        open: 1,
        capacity: 2,
    };
    for datagram in [
        RelayDatagram::Query { node, engine: node },
        RelayDatagram::Offer { node, offer },
    ] {
        let bytes = datagram.encode().unwrap();
        assert_eq!(RelayDatagram::decode(&bytes), Some(datagram));
        assert!(Datagram::decode(&bytes).is_none());
    }
}
