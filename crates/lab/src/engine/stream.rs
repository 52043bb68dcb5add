//! One answer, written part by part as the engine produces it.

use super::shared::EngineShared;
use shelfjunction_core::engine::AnswerPart;
use shelfjunction_engine_model::{NextPart, RunNumber};
use shelfjunction_http::{Answered, Responder, StreamWriter};

/// Type of a streamed answer: one JSON value per line.
const JSON_LINES: &str = "application/x-ndjson";

/// How a stream ended.
enum End {
    /// With its last part.
    Whole,
    /// The engine or a fault cut it.
    Cut,
}

/// Writes the answer of a run that follows the first `offset` output tokens.
pub fn stream(shared: &EngineShared, responder: Responder<'_>, run: RunNumber, offset: u32) -> Answered {
    let Ok(mut writer) = responder.stream(200, JSON_LINES, &[]) else {
        return Answered::broken();
    };
    match write_parts(shared, &mut writer, run, offset) {
        End::Whole => writer.finish(),
        End::Cut => writer.abort(),
    }
}

fn write_parts(shared: &EngineShared, writer: &mut StreamWriter<'_>, run: RunNumber, offset: u32) -> End {
    let mut cursor = offset;
    let mut written = 0;
    let mut line = Vec::new();
    loop {
        let Some(part) = wait_for_part(shared, run, cursor, written) else {
            return End::Cut;
        };
        line.clear();
        if serde_json::to_writer(&mut line, &part).is_err() {
            return End::Cut;
        }
        line.push(b'\n');
        if writer.write(&line).is_err() {
            return End::Cut;
        }
        written += 1;
        match part {
            AnswerPart::Token { .. } => cursor += 1,
            _ => return End::Whole,
        }
    }
}

/// The part after `cursor` tokens; absent when the answer is cut off here.
fn wait_for_part(shared: &EngineShared, run: RunNumber, cursor: u32, written: u32) -> Option<AnswerPart> {
    let mut guarded = shared.lock();
    if guarded.faults.break_after_parts == Some(written) {
        return None;
    }
    loop {
        match guarded.model.next_part(run, cursor) {
            NextPart::Part(part) => return Some(part),
            NextPart::Gone => return None,
            NextPart::Wait if shared.is_stopping() => return None,
            NextPart::Wait => guarded = shared.wait_for_progress(guarded),
        }
    }
}
