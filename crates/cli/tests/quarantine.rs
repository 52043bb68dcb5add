//! What `shelfjunction quarantine` prints.

use shelfjunction::operator::quarantine::render;
use shelfjunction_protocol::quarantine::{QuarantineView, SuspectView};

fn suspect(fingerprint: &str, standing: &str, crashes: usize, tenant: Option<&str>) -> SuspectView {
    SuspectView {
        fingerprint: fingerprint.to_owned(),
        part: None,
        route: "r-1".to_owned(),
        pool: "render".to_owned(),
        tenant: tenant.map(str::to_owned),
        standing: standing.to_owned(),
        crashes,
        counts_for_seconds: 412,
        refused: 9,
    }
}

#[test]
fn requests_and_parts_are_shown_with_what_counts_against_them() {
    let view = QuarantineView {
        node: "node-1".to_owned(),
        requests: vec![
            suspect("5c1e07a291bd3f06e4402b7d9c41d07b", "quarantined", 3, None),
            suspect(
                "9c41d07be2a35f685c1e07a291bd3f06",
                "suspected",
                2,
                Some("chain-a"),
            ),
        ],
        parts: vec![SuspectView {
            part: Some("bad0".to_owned()),
            ..suspect("706172742c70e12b000000000000bad0", "quarantined", 4, None)
        }],
    };
    insta::assert_snapshot!(render(&view), @r"
    node node-1
    fingerprint                       part  standing     crashes  route  pool    tenant   counts for s  refused here
    5c1e07a291bd3f06e4402b7d9c41d07b  none  quarantined  3        r-1    render  none     412           9
    9c41d07be2a35f685c1e07a291bd3f06  none  suspected    2        r-1    render  chain-a  412           9
    706172742c70e12b000000000000bad0  bad0  quarantined  4        r-1    render  none     412           9
    ");
    let empty = QuarantineView {
        node: "node-2".to_owned(),
        ..QuarantineView::default()
    };
    assert_eq!(render(&empty), "node node-2: no engine crashed under a request\n");
}
