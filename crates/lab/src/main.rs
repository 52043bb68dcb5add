//! `shelfjunction-lab`: stand-ins, load and experiment tools.

fn main() {}
