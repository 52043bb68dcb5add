//! Follows a controller's stream of records; the last view serves on while no controller answers.

use super::peer;
use crate::config::millis;
use crate::context::Context;
use shelfjunction_protocol::frame::{FrameError, read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause after a controller's stream ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Longest time with another machine's controller before the own one is tried again.
const RETURN_HOME: Duration = Duration::from_secs(10);

/// Follows the own machine's controller, or the next that answers, until the gateway ends.
pub(crate) fn run(context: &Context) {
    while !context.stop.is_set() {
        for (position, controller) in context.config.controllers.iter().enumerate() {
            if context.stop.is_set() {
                return;
            }
            let followed = follow(context, *controller, position == 0);
            if let Err(error) = &followed {
                log::debug!(controller:% = controller, error:% = error; "fleet_stream_ended");
            }
            if followed.is_ok_and(|records| records > 0) {
                context.metrics.fleet_reconnects.inc();
                break;
            }
        }
        context.stop.wait(RECONNECT_PAUSE);
    }
}

/// Takes records in until the stream ends; how many came.
fn follow(context: &Context, controller: SocketAddr, is_home: bool) -> Result<u64, FrameError> {
    let timings = &context.config.timings;
    let mut stream = peer::connect(controller, millis(timings.controller_timeout_millis))?;
    write_frame(&mut stream, &PeerRequest::WatchFleet)?;
    stream.set_read_timeout(Some(millis(timings.fleet_silence_millis)))?;
    *lock(&context.fleet_stream) = Some(stream.try_clone()?);
    if context.stop.is_set() {
        return Ok(0);
    }
    let began = context.now();
    let mut taken = 0;
    while let Some(response) = read_frame::<PeerResponse>(&mut stream)? {
        if let PeerResponse::Records(records) = response {
            taken += records.len() as u64;
            context.metrics.fleet_records.inc_by(records.len() as u64);
            let now = context.now();
            let mut fleet = lock(&context.fleet);
            for record in records {
                fleet.take(record, now);
            }
        }
        let away_too_long = !is_home && context.now().since(began) > RETURN_HOME;
        if context.stop.is_set() || away_too_long {
            return Ok(taken);
        }
    }
    Ok(taken)
}
