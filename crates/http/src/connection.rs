//! One connection: requests in, answers out, one after the other.

use crate::limits::HttpLimits;
use crate::open::Place;
use crate::reader::{ReadError, RequestReader};
use crate::response::Responder;
use crate::server::Handler;
use shelfjunction_buffers::BufferAccount;
use shelfjunction_threads::BootInstant;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Longest time and most bytes read from a caller that was refused while it still sends, so that it can read why.
const LINGER_TIME: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;

/// Serves a connection until it closes, breaks a limit or the server stops.
pub(crate) fn serve(
    stream: &TcpStream,
    limits: HttpLimits,
    account: &Arc<BufferAccount>,
    handler: &dyn Handler,
    place: &Place,
) {
    if stream.set_nodelay(true).is_err() || stream.set_write_timeout(Some(limits.write_time())).is_err() {
        return;
    }
    let stopping = || place.is_stopping();
    let mut reader = RequestReader::new(limits, Arc::clone(account));
    loop {
        match reader.next(stream, &stopping) {
            Ok(request) => {
                if !place.note_request() {
                    return refuse(stream, handler, ReadError::TooManyConnections);
                }
                let keep_alive = request.keep_alive && !stopping();
                let without_body = request.method == "HEAD";
                let responder = Responder::new(stream, keep_alive, request.is_http_1_1, without_body);
                if !handler.handle(request, responder).reusable {
                    return;
                }
                place.note_wait();
            }
            Err(error) => {
                refuse(stream, handler, error);
                return;
            }
        }
    }
}

/// Tells the caller why its connection is closed.
pub(crate) fn refuse(stream: &TcpStream, handler: &dyn Handler, error: ReadError) {
    let Some(answer) = handler.refusal(error) else {
        return;
    };
    Responder::new(stream, false, true, false).answer(&answer);
    linger(stream);
}

/// Closing a socket that holds unread bytes resets it, and the answer with it; so some are read first.
fn linger(stream: &TcpStream) {
    let until = BootInstant::now() + LINGER_TIME;
    let mut bytes = [0; 4_096];
    let mut total = 0;
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    while total < LINGER_BYTES {
        let left = until.since(BootInstant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match (&*stream).read(&mut bytes) {
            Ok(read) if read > 0 => total += read,
            _ => return,
        }
    }
}
