//! One answer, written part by part as the engine produces it.

use super::shared::EngineShared;
use chunked_transfer::Encoder;
use shelfjunction_core::engine::AnswerPart;
use shelfjunction_engine_model::{NextPart, RunNumber};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tiny_http::Request;

/// Head of every streamed answer.
const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Writes the answer of a run that follows the first `offset` output tokens.
pub fn stream(shared: &EngineShared, request: Request, run: RunNumber, offset: u32) {
    let broken = Arc::new(AtomicBool::new(false));
    let mut writer = BreakableWriter {
        inner: request.into_writer(),
        broken: Arc::clone(&broken),
    };
    if writer.write_all(HEAD).and_then(|()| writer.flush()).is_err() {
        return;
    }
    let mut encoder = Encoder::with_flush_after_write(writer);
    let written = write_parts(shared, &mut encoder, run, offset);
    if written.is_err() {
        // The encoder writes the end mark when it is dropped; an answer that is not whole must not get one.
        broken.store(true, Ordering::SeqCst);
    }
}

fn write_parts(
    shared: &EngineShared,
    output: &mut impl Write,
    run: RunNumber,
    offset: u32,
) -> io::Result<()> {
    let mut cursor = offset;
    let mut written = 0;
    let mut line = Vec::new();
    loop {
        let part = wait_for_part(shared, run, cursor)?;
        if shared.lock().faults.break_after_parts == Some(written) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        line.clear();
        serde_json::to_writer(&mut line, &part)?;
        line.push(b'\n');
        output.write_all(&line)?;
        written += 1;
        match part {
            AnswerPart::Token { .. } => cursor += 1,
            _ => return Ok(()),
        }
    }
}

fn wait_for_part(shared: &EngineShared, run: RunNumber, cursor: u32) -> io::Result<AnswerPart> {
    let mut guarded = shared.lock();
    loop {
        match guarded.model.next_part(run, cursor) {
            NextPart::Part(part) => return Ok(part),
            NextPart::Gone => return Err(io::ErrorKind::ConnectionAborted.into()),
            NextPart::Wait if shared.is_stopping() => return Err(io::ErrorKind::ConnectionAborted.into()),
            NextPart::Wait => guarded = shared.wait_for_progress(guarded),
        }
    }
}

/// A writer that sends at once, and can be made to refuse everything, also what its owner writes when it is dropped.
struct BreakableWriter {
    inner: Box<dyn Write + Send>,
    broken: Arc<AtomicBool>,
}

impl Write for BreakableWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.broken.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let written = self.inner.write(bytes)?;
        // The encoder hands over whole chunks and never flushes; the server's buffer would hold tokens back.
        self.inner.flush()?;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}
