//! Frames come back as they were written, and rubbish is an error that allocates nothing beyond what arrived.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::engine::{EngineStatus, LoadReport, Role};
use shelfjunction_core::identity::{EngineId, FencingToken, ZoneId};
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::membership::record::{
    EngineRecord, Liveness, Record, RecordBody, RecordKey, RecordVersion,
};
use shelfjunction_protocol::frame::{FrameError, read_frame, write_frame};
use shelfjunction_protocol::peer::{MAXIMUM_FRAME_BYTES, PeerRequest, PeerResponse};

fn record(name: &str, sequence: u64) -> Record {
    let engine = EngineId::new(name);
    Record {
        key: RecordKey::Engine(engine.clone()),
        version: RecordVersion {
            incarnation: 1,
            sequence,
        },
        age_millis: 5,
        body: RecordBody::Engine(EngineRecord {
            zone: ZoneId::new("zone"),
            service: MachineService::ModelEngine {
                address: "127.0.0.1:9".parse().unwrap(),
            },
            machine_state: MachineState::Live,
            liveness: Liveness::Alive,
            status: Some(EngineStatus {
                engine,
                incarnation: 1,
                fence: FencingToken(3),
                last_order: None,
                role: Role::Mixed,
                draining: false,
                changing: false,
                weights: Vec::new(),
                load: LoadReport::default(),
            }),
        }),
    }
}

proptest! {
    #[test]
    fn records_survive_a_round_trip(name in "[a-z]{1,12}", sequence in any::<u64>()) {
        let sent = PeerResponse::Records(vec![record(&name, sequence)]);
        let mut bytes = Vec::new();
        write_frame(&mut bytes, &sent).unwrap();
        let received: PeerResponse = read_frame(&mut bytes.as_slice()).unwrap().unwrap();
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn rubbish_never_panics_and_a_cut_frame_is_no_message(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = read_frame::<PeerRequest>(&mut bytes.as_slice());
        let mut whole = Vec::new();
        write_frame(&mut whole, &PeerRequest::WatchFleet).unwrap();
        whole.pop();
        let cut = read_frame::<PeerRequest>(&mut whole.as_slice());
        prop_assert!(matches!(cut, Err(FrameError::Connection(_))));
    }
}

#[test]
fn a_length_outside_the_limits_is_a_violation() {
    for length in [0, MAXIMUM_FRAME_BYTES as u32 + 1, u32::MAX] {
        let error = read_frame::<PeerRequest>(&mut length.to_be_bytes().as_slice()).unwrap_err();
        assert!(matches!(error, FrameError::Length(_)) && error.is_violation());
    }
}
