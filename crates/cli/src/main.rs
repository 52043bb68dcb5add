//! `shelfjunction`: the gateway, the controller and the operator's commands.

fn main() {}
