//! One peer connection: requests and answers, or a stream of records.

use crate::bundle::learn_announced;
use crate::config::millis;
use crate::context::Context;
use crate::demand;
use crate::tenant_rates;
use shelfjunction_protocol::frame::{FrameError, read_frame, write_frame};
use shelfjunction_protocol::peer::{DemandSource, PeerRequest, PeerResponse};
use std::net::{SocketAddr, TcpStream};

/// Most records in one frame; far below the frame's limit in bytes.
const RECORDS_PER_FRAME: usize = 256;

/// Serves requests until the peer closes, breaks the protocol or stays silent too long.
pub fn serve(context: &Context, stream: TcpStream, peer: SocketAddr) {
    if let Err(error) = serve_requests(context, stream) {
        if error.is_violation() {
            context.metrics.peer_violations.inc();
            log::warn!(peer:% = peer, error:% = error; "peer_violation");
        } else {
            log::debug!(peer:% = peer, error:% = error; "peer_connection_ended");
        }
    }
}

fn serve_requests(context: &Context, mut stream: TcpStream) -> Result<(), FrameError> {
    let timings = &context.config.timings;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(millis(timings.peer_idle_millis)))?;
    stream.set_write_timeout(Some(millis(timings.peer_timeout_millis)))?;
    while let Some(request) = read_frame::<PeerRequest>(&mut stream)? {
        context.metrics.peer_requests.inc();
        if request == PeerRequest::WatchFleet {
            return stream_records(context, &mut stream);
        }
        write_frame(&mut stream, &answer(context, request))?;
    }
    Ok(())
}

fn answer(context: &Context, request: PeerRequest) -> PeerResponse {
    let now = context.now();
    match request {
        PeerRequest::WatchFleet => PeerResponse::Refused("a stream answers this".to_owned()),
        PeerRequest::BundleHead => PeerResponse::Head(context.bundle.head(now)),
        PeerRequest::AnnounceHead(head) => {
            // Who announces is not known here, so it counts as no more than a process of this zone.
            learn_announced(context, &head);
            PeerResponse::Head(context.bundle.head(now))
        }
        PeerRequest::FetchFacts => PeerResponse::Facts(context.gossip.bulk()),
        PeerRequest::FetchParts(digests) => PeerResponse::Parts(context.bundle.contents(&digests)),
        PeerRequest::ReportDemand(report) => {
            let source = DemandSource::Node(context.config.node.clone());
            context.demand.note(source, report, now);
            PeerResponse::Noted
        }
        PeerRequest::ForwardDemand(forwarded) => {
            demand::take_forwarded(context, forwarded);
            PeerResponse::Noted
        }
        PeerRequest::ChargeTenantRate(charge) => {
            PeerResponse::TenantRate(tenant_rates::charge(context, &charge))
        }
        PeerRequest::RefundTenantRate(charge) => {
            tenant_rates::refund(context, &charge);
            PeerResponse::Noted
        }
    }
}

/// Sends everything known, then each change; an empty frame tells a silent watcher that this controller lives.
fn stream_records(context: &Context, stream: &mut TcpStream) -> Result<(), FrameError> {
    let keepalive = millis(context.config.timings.watch_keepalive_millis);
    let mut changes = context.gossip.changes_since(0);
    while !context.stop.is_set() {
        if changes.records.is_empty() {
            write_frame(stream, &PeerResponse::Records(Vec::new()))?;
        }
        for records in changes.records.chunks(RECORDS_PER_FRAME) {
            write_frame(stream, &PeerResponse::Records(records.to_vec()))?;
        }
        changes = context.gossip.wait_changes(changes.position, keepalive);
    }
    Ok(())
}
