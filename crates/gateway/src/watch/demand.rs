//! Tells the own machine's controller which demand this gateway sees, for the planner of roles.

use super::peer;
use crate::config::millis;
use crate::context::Context;
use shelfjunction_protocol::frame::FrameError;
use shelfjunction_protocol::peer::PeerRequest;
use shelfjunction_threads::lock;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Between two reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reports until the gateway ends: to the own controller, or to the next that answers.
pub(crate) fn run(context: &Context) {
    let mut connection: Option<TcpStream> = None;
    while !context.stop.wait(INTERVAL) {
        let report = lock(&context.demand).report(context.now());
        if report.entries.is_empty() {
            continue;
        }
        let request = PeerRequest::ReportDemand(report);
        let kept = connection.take().and_then(|stream| send(stream, &request).ok());
        connection = kept.or_else(|| connect_and_send(context, &request));
    }
}

fn connect_and_send(context: &Context, request: &PeerRequest) -> Option<TcpStream> {
    let timeout = millis(context.config.timings.controller_timeout_millis);
    let controllers = context.config.controllers.iter();
    let sent = |controller: &SocketAddr| {
        let stream = peer::connect(*controller, timeout).ok()?;
        send(stream, request).ok()
    };
    controllers.into_iter().find_map(sent)
}

/// Sends a report and waits until it was noted; the connection for the next one.
fn send(mut stream: TcpStream, request: &PeerRequest) -> Result<TcpStream, FrameError> {
    match peer::ask(&mut stream, request)? {
        Some(_) => Ok(stream),
        None => Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into()),
    }
}
