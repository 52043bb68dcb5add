//! What the node that holds the lease does for all at the platform's own interface.

mod scaling;
mod usage;
mod usage_log;
mod view;

pub(crate) use view::{DutyNotes, view};

use crate::context::Context;
use crate::peers::Duty;
use crate::ports::{DutyHolder, MIN_DUTY_TIME, PlatformDuties};
use scaling::ScalingDuty;
use shelfjunction_core::lease::Authority;
use shelfjunction_platform::services::TableService;
use std::time::Duration;
use usage::UsageDuty;

/// Time between two looks of the holder.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Time between two looks of a node that may take the lease.
const IDLE_LOOK_EVERY: Duration = Duration::from_millis(300);

/// Time between two looks of a node that leaves such things to others.
const OFF_LOOK_EVERY: Duration = Duration::from_millis(1_000);

/// Does the duties as long as the process runs.
pub(crate) fn run(context: &Context, table: &dyn TableService, platform: &dyn PlatformDuties) {
    let mut usage = UsageDuty::new(context);
    let mut scaling = ScalingDuty::new(context);
    loop {
        let authority = authority(context);
        let pause = match context.peers.duty(context.now()) {
            _ if authority.is_some() => LOOK_EVERY,
            Duty::Placer | Duty::Shared => IDLE_LOOK_EVERY,
            Duty::Off | Duty::NotKnown => OFF_LOOK_EVERY,
        };
        if let Some(scaling) = &mut scaling {
            scaling.observe(context);
        }
        if let Some(usage) = &mut usage {
            usage.observe(context, table);
        }
        if let Some(authority) = authority {
            if let Some(usage) = &mut usage {
                usage.step(context, authority, table, platform);
            }
            if let Some(scaling) = &mut scaling {
                scaling.step(context, authority, platform);
            }
        }
        if context.stop.wait(pause) {
            return;
        }
    }
}

/// The right to call, if enough of it is left.
fn authority(context: &Context) -> Option<Authority> {
    let now = context.now();
    context
        .duty_authority(now)
        .filter(|authority| now + MIN_DUTY_TIME <= authority.not_after)
}

fn holder(context: &Context, authority: Authority) -> DutyHolder {
    DutyHolder {
        node: context.config.node.clone(),
        token: authority.token,
        valid_for: authority.not_after.since(context.now()),
    }
}
