//! Reads the data lines of server-sent events as they arrive.

use std::io::BufRead;

/// Prefix of a line that carries data.
const DATA: &str = "data:";

/// Data that ends a stream of a language model's answer.
pub const DONE: &str = "[DONE]";

/// Data of the next event; absent at the end of the stream. Comments and other fields are passed over.
pub fn next_data(reader: &mut impl BufRead, line: &mut String) -> std::io::Result<Option<String>> {
    loop {
        line.clear();
        if reader.read_line(line)? == 0 {
            return Ok(None);
        }
        if let Some(data) = line.strip_prefix(DATA) {
            return Ok(Some(data.trim().to_owned()));
        }
    }
}
