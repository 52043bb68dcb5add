//! A small HTTP/1.1 server for ports that strangers reach: every head, body, wait and connection is bounded.
//!
//! `tiny_http` bounds neither the head nor the connections, and frees an unread body by allocating as many bytes
//! as its `Content-Length` claims, which lets one header end the process. Here `httparse` reads heads,
//! `chunked_transfer` frames streams, and each connection has one thread for reading, handling and answering.

mod connection;
mod limits;
mod open;
mod reader;
mod request;
mod response;
mod server;

pub use limits::HttpLimits;
pub use reader::ReadError;
pub use request::{HttpHeader, HttpRequest};
pub use response::{Answer, AnswerHeader, Answered, Responder, StreamWriter};
pub use server::{Handler, HttpServer};
