//! One request as the handler sees it.

use shelfjunction_buffers::PooledBytes;
use std::net::IpAddr;

/// A whole request, within the limits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method in upper case, as sent.
    pub method: String,
    /// Path before any question mark, not decoded.
    pub path: String,
    /// What follows the question mark; empty without one.
    pub query: String,
    /// Headers in the order they came.
    pub headers: Vec<HttpHeader>,
    /// Body.
    pub body: PooledBytes,
    /// Address of the caller's end of the connection; absent where the system does not tell.
    pub peer: Option<IpAddr>,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the caller speaks HTTP/1.1 and so understands chunks.
    pub is_http_1_1: bool,
}

/// One header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpHeader {
    /// Name as sent.
    pub name: String,
    /// Value as sent.
    pub value: Vec<u8>,
}

impl HttpRequest {
    /// Value of the first header of that name; absent when there is none or it is not UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok()
    }

    /// How often a header of that name came.
    pub fn header_count(&self, name: &str) -> usize {
        let same_name = |header: &&HttpHeader| header.name.eq_ignore_ascii_case(name);
        self.headers.iter().filter(same_name).count()
    }

    /// Token of an `Authorization: Bearer` header.
    pub fn bearer_token(&self) -> Option<&str> {
        let (scheme, token) = self.header("Authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("Bearer").then(|| token.trim())
    }

    /// Value of a query parameter, not decoded.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}
