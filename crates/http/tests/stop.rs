//! A request that has been sent when the server stops is answered, not reset.

#![allow(clippy::unwrap_used)]

use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: here\r\n\r\n";

/// Answers a request when the test releases it.
struct Held {
    arrived: Mutex<Sender<()>>,
    released: Mutex<Receiver<()>>,
}

impl Handler for Held {
    fn handle(&self, _request: HttpRequest, responder: Responder<'_>) -> Answered {
        self.arrived.lock().unwrap().send(()).unwrap();
        self.released.lock().unwrap().recv().unwrap();
        responder.answer(&Answer::new(200, "text/plain", "answered"))
    }

    fn refusal(&self, _error: ReadError) -> Option<Answer> {
        None
    }
}

#[test]
fn a_request_on_its_way_when_the_server_stops_is_answered() {
    let (arrived_sender, arrived) = channel();
    let (release, released) = channel();
    let handler = Held {
        arrived: Mutex::new(arrived_sender),
        released: Mutex::new(released),
    };
    let any_port = "127.0.0.1:0".parse().unwrap();
    let mut server = HttpServer::start(any_port, HttpLimits::default(), Arc::new(handler)).unwrap();
    let address = server.address();
    let mut caller = TcpStream::connect(address).unwrap();
    caller.write_all(REQUEST).unwrap();
    arrived.recv().unwrap();
    caller.write_all(REQUEST).unwrap();

    let stopping = thread::spawn(move || server.stop());
    // The listener closes once the stop is under way.
    while TcpStream::connect(address).is_ok() {}
    release.send(()).unwrap();
    release.send(()).unwrap();
    let mut answers = String::new();
    caller.read_to_string(&mut answers).unwrap();
    assert_eq!(answers.matches("answered").count(), 2, "{answers}");
    stopping.join().unwrap();
}
