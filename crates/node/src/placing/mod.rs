//! Asks placers for engines, and answers as one ([`shelfjunction_core::placing`]).

mod answering;
mod asking;

pub(crate) use answering::{answer, answer_liveness, take_progress};
pub(crate) use asking::{Asked, PlacedAt, Placements, tell};
