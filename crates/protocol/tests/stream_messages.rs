//! Software versions of engines beside builds that do not know them.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, SoftwareVersion, ZoneId};
use shelfjunction_core::routing::pool::{EngineStage, ListSnapshot, PoolEngine};
use shelfjunction_core::streams::{ContentAnswer, ContentStreams, FoundStream, StreamOrigin, StreamRecord};
use shelfjunction_protocol::node_snapshot::{Snapshot, Wanted};
use shelfjunction_protocol::node_words::Datagram;
use shelfjunction_protocol::relay_messages::RelayDatagram;
use shelfjunction_protocol::stream_messages::StreamDatagram;
use std::time::Duration;

fn engine(name: &str, version: Option<&str>) -> PoolEngine {
    PoolEngine {
        id: EngineId::new(name),
        pool: PoolId("lm".to_owned()),
        address: ([10, 1, 64, 9], 8_080).into(),
        zone: ZoneId::new("a"),
        places: 64,
        leaving: false,
        stage: EngineStage::Decode,
        models: Vec::new(),
        warmup_remaining: Duration::ZERO,
        spot: false,
        software_version: version.map(SoftwareVersion::new),
    }
}

/// Guards against a datagram that an earlier build reads as one of its own formats.
#[test]
fn other_formats_do_not_read_them() {
    let versions = vec![(EngineId::new("i-1"), SoftwareVersion::new("v1.1"))];
    let datagram = StreamDatagram::SoftwareVersions(versions);
    let bytes = datagram.encode().unwrap();
    assert_eq!(bytes[0], 74);
    assert!(Datagram::decode(&bytes).is_none() && RelayDatagram::decode(&bytes).is_none());
    assert_eq!(StreamDatagram::decode(&bytes[..bytes.len() - 1]), None);
    assert_eq!(StreamDatagram::decode(&bytes), Some(datagram));
}

#[test]
fn a_snapshot_holds_software_versions_in_sections_only() {
    let snapshot = Snapshot {
        list: Some(ListSnapshot {
            version: 3,
            engines: vec![engine("i-1", Some("v2")), engine("i-2", None)],
            unreadable: Vec::new(),
        }),
        ..Snapshot::default()
    };
    let versions = |wanted: Wanted| {
        let bytes = snapshot.clone().encode(wanted).unwrap();
        let engines = Snapshot::decode(&bytes).unwrap().list.unwrap().engines;
        engines
            .into_iter()
            .map(|engine| engine.software_version)
            .collect::<Vec<_>>()
    };
    assert_eq!(versions(Wanted::ALL), [Some(SoftwareVersion::new("v2")), None]);
    let earlier_build = Wanted {
        sections: false,
        ..Wanted::ALL
    };
    assert_eq!(versions(earlier_build), [None, None]);
}

#[test]
fn what_a_node_knows_of_a_content_survives_the_way() {
    let found = FoundStream {
        record: StreamRecord {
            pool: PoolId("lm".to_owned()),
            origin: StreamOrigin::at(&EngineId::new("i-1"), Some(SoftwareVersion::new("v2"))),
        },
        age: Duration::from_millis(250),
    };
    let streams = [
        ContentStreams::None,
        ContentStreams::OfOneOrigin(found),
        ContentStreams::OfSeveral,
    ];
    for (streams, complete_for) in streams.into_iter().zip([0, 7, u64::MAX]) {
        let answer = ContentAnswer {
            streams,
            complete_for: match complete_for {
                u64::MAX => Duration::MAX,
                seconds => Duration::from_secs(seconds),
            },
        };
        let datagram = StreamDatagram::ContentAnswer {
            number: 9,
            answer: answer.clone().into(),
        };
        let decoded = StreamDatagram::decode(&datagram.encode().unwrap());
        let Some(StreamDatagram::ContentAnswer { answer: report, .. }) = decoded else {
            panic!("{decoded:?}");
        };
        assert_eq!(ContentAnswer::from(report), answer);
    }
}
