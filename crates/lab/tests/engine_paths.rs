//! One node's paths to the engines, as the fault soak cuts and mends them.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::engine_paths::{EnginePaths, PathCut};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const WAIT: Duration = Duration::from_millis(300);

/// An engine that sends back what it reads.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut reading, mut writing) = (&stream, &stream);
                std::io::copy(&mut reading, &mut writing)
            });
        }
    });
    address
}

fn passes(mut stream: &TcpStream) -> bool {
    stream.set_read_timeout(Some(WAIT)).unwrap();
    let mut byte = [0];
    stream.write_all(b"x").is_ok() && stream.read_exact(&mut byte).is_ok()
}

#[test]
fn cut_paths_fail_as_they_are_told_and_pass_again_after_each_of_many_cuts() {
    let paths = EnginePaths::default();
    let addresses: Vec<SocketAddr> = (0..9).map(|_| paths.address_for(echo()).unwrap()).collect();
    for round in 0..4 {
        for cut in [PathCut::Reset, PathCut::RefuseNew, PathCut::Hang] {
            let open: Vec<TcpStream> = addresses
                .iter()
                .map(|address| TcpStream::connect(address).unwrap())
                .collect();
            assert!(open.iter().all(passes));
            assert!(paths.cut(cut).unwrap());
            let lives_on = cut == PathCut::RefuseNew;
            assert_eq!(passes(&open[0]), lives_on, "{cut:?} in round {round}");
            let refusal = TcpStream::connect_timeout(&addresses[1], WAIT)
                .unwrap_err()
                .kind();
            let expected = if cut == PathCut::Hang {
                ErrorKind::TimedOut
            } else {
                ErrorKind::ConnectionRefused
            };
            assert_eq!(refusal, expected, "{cut:?} in round {round}");
            paths.mend().unwrap();
            for address in &addresses {
                let stream = TcpStream::connect_timeout(address, WAIT).unwrap();
                assert!(passes(&stream), "{cut:?} in round {round}");
            }
        }
    }
}
