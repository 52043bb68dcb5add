//! One peer connection: requests and answers, or a stream of records.

use crate::config::millis;
use crate::context::Context;
use crate::fleet::ChangeNumber;
use shelfjunction_protocol::frame::{FrameError, read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
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

fn answer(_context: &Context, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::WatchFleet => PeerResponse::Refused("a stream answers this".to_owned()),
        PeerRequest::BundleHead | PeerRequest::AnnounceHead(_) => PeerResponse::Head(None),
        PeerRequest::FetchParts(_) => PeerResponse::Parts(Vec::new()),
    }
}

/// Sends everything known, then each change; an empty frame tells a silent watcher that this controller lives.
fn stream_records(context: &Context, stream: &mut TcpStream) -> Result<(), FrameError> {
    let keepalive = millis(context.config.timings.watch_keepalive_millis);
    let mut position = ChangeNumber::default();
    while !context.stop.is_set() {
        let changes = context
            .fleet
            .changes_after(position, RECORDS_PER_FRAME, context.now());
        position = changes.upto;
        write_frame(stream, &PeerResponse::Records(changes.records))?;
        context.fleet.wait_for_change(position, keepalive);
    }
    Ok(())
}
