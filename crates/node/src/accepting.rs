//! Takes callers' connections, one thread each.

use crate::connections::{Entry, OpenConnections};
use crate::context::Context;
use crate::course;
use crate::ports::{Call, CallEnd, CallerConnection, CallerProtocol, OwnAnswer};
use shelfjunction_core::forwarding::CallerLimits;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// When to come back after a connection that was closed for another.
const REPLACED_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Pause after accepting failed, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections as long as the process runs.
pub(crate) fn run(
    listener: &TcpListener,
    context: &Arc<Context>,
    protocol: &Arc<dyn CallerProtocol>,
    open: &Arc<OpenConnections>,
) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => begin(stream, context, protocol, open),
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                context.stop.wait(ACCEPT_PAUSE);
            }
        }
    }
}

fn begin(
    stream: TcpStream,
    context: &Arc<Context>,
    protocol: &Arc<dyn CallerProtocol>,
    open: &Arc<OpenConnections>,
) {
    let stream = Arc::new(stream);
    let most = context.config.max_connections();
    let entry = match open.enter(&stream, most, context.now()) {
        Ok(entry) => entry,
        Err(cause) => {
            log::warn!(cause = cause.name(), most; "connection_refused");
            return;
        }
    };
    let context = Arc::clone(context);
    let protocol = Arc::clone(protocol);
    let thread = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            if let Ok(mut connection) = protocol.open(stream, &context.buffers) {
                serve(connection.as_mut(), &context, &entry);
            }
        });
    if let Err(error) = thread {
        log::warn!(error:% = error; "connection_thread_failed");
    }
}

fn serve(connection: &mut dyn CallerConnection, context: &Arc<Context>, entry: &Entry) {
    loop {
        let call = match receive(connection, context, entry) {
            Ok(call) => call,
            Err(CallEnd::Closed) => return,
            Err(CallEnd::Refused(cause)) => {
                log::info!(cause; "call_refused");
                return;
            }
        };
        context.state.request_begins();
        let keeps = course::run(context, connection, &call);
        context.state.request_ends();
        if !keeps {
            return;
        }
        entry.note_rest(context.now());
    }
}

/// Waits for the next call and reads it, under the limits in force when it begins to come.
fn receive(
    connection: &mut dyn CallerConnection,
    context: &Arc<Context>,
    entry: &Entry,
) -> Result<Call, CallEnd> {
    connection.wait_for_call(&limits(context))?;
    entry.note_call(context.now());
    let call = connection.read_call(&limits(context))?;
    if !entry.note_whole_call(context.now()) {
        // It was closed for another in the moment in which its call became whole; the caller may be gone as well.
        let answer = OwnAnswer::NotRun {
            retry_after: REPLACED_RETRY_AFTER,
        };
        let _ = connection.say(&call.request, answer, false);
        return Err(CallEnd::Refused("connection_replaced"));
    }
    Ok(call)
}

fn limits(context: &Context) -> CallerLimits {
    context
        .forwarding()
        .map_or_else(CallerLimits::default, |config| config.limits)
}
