//! Connections without a request make room for others when all are taken.

#![allow(clippy::unwrap_used)]

use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

const CONNECTIONS: usize = 8;

struct Pages;

impl Handler for Pages {
    fn handle(&self, _request: HttpRequest, responder: Responder<'_>) -> Answered {
        responder.answer(&Answer::new(200, "text/plain", "answered"))
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        Some(Answer::new(error.status()?, "text/plain", "refused"))
    }
}

fn connect(address: SocketAddr, begin: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(begin).unwrap();
    stream
}

fn ask(mut stream: TcpStream) -> String {
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn silent_and_unfinished_connections_make_room_for_a_request() {
    let limits = HttpLimits {
        connections: CONNECTIONS,
        ..HttpLimits::default()
    };
    let server = HttpServer::start("127.0.0.1:0".parse().unwrap(), limits, Arc::new(Pages)).unwrap();
    for begin in ["", "GET / HT", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nbody"] {
        let crowd: Vec<_> = (0..CONNECTIONS)
            .map(|_| connect(server.address(), begin.as_bytes()))
            .collect();
        while server.connections() < CONNECTIONS {
            std::thread::yield_now();
        }
        let answer = ask(TcpStream::connect(server.address()).unwrap());
        assert!(answer.starts_with("HTTP/1.1 200 "), "{begin:?}: {answer}");
        drop(crowd);
        while server.connections() > 0 {
            std::thread::yield_now();
        }
    }
}
