//! A controller that tells a fixed fleet and knows no bundle, so that the gateway reads the store.

use shelfjunction_core::membership::record::Record;
use shelfjunction_protocol::frame::{read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Starts it; its threads end with the test's process.
pub fn start(records: Vec<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let records = records.clone();
            thread::spawn(move || serve(stream, &records));
        }
    });
    address
}

fn serve(mut stream: TcpStream, records: &[Record]) {
    while let Ok(Some(request)) = read_frame::<PeerRequest>(&mut stream) {
        let response = match request {
            PeerRequest::WatchFleet => PeerResponse::Records(records.to_vec()),
            _ => PeerResponse::Head(None),
        };
        if write_frame(&mut stream, &response).is_err() {
            return;
        }
    }
}
