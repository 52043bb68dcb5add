//! A request under which engines crashed: it is charged with them, and withheld from others.

use super::driver::Driver;
use crate::context::Context;
use crate::ports::{Call, OwnAnswer};
use crate::quarantine::{self, Charged, Trial, Withheld};
use shelfjunction_core::forwarding::RouteRule;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::quarantine::{Asked, Fingerprint};
use shelfjunction_core::routing::pool::PromptShape;

/// Notes that a call is refused before anything of it ran; what its caller is told.
pub(super) fn refuse(
    context: &Context,
    call: &Call,
    fingerprint: &Fingerprint,
    route: &RouteRule,
    withheld: &Withheld,
) -> OwnAnswer {
    log::info!(
        request = call.request.as_str(),
        fingerprint:% = fingerprint,
        suspect:% = withheld.subject,
        part = part_name(&withheld.subject).as_str(),
        route:% = route.id,
        cause = withheld.cause,
        crashes = withheld.crashes,
        retry_after_millis = withheld.retry_after.as_millis() as u64;
        "refused_suspect"
    );
    context.metrics.quarantine.withheld(withheld.cause);
    OwnAnswer::NotRun {
        retry_after: withheld.retry_after,
    }
}

impl Driver<'_> {
    /// Charges the request, and the parts of its prompt, with the crash of an engine at which it was under way.
    pub(super) fn charge_crash(&self, engine: &EngineId) {
        let asked = Asked {
            route: self.route.id.clone(),
            pool: self.pool.clone(),
            tenant: self.access.tenant.clone(),
        };
        let isolated = self.trial.as_ref().and_then(Trial::isolated);
        let charged = quarantine::charge(self.context, &self.subjects, &asked, engine, isolated);
        for Charged { subject, standing } in charged {
            log::info!(
                request = self.call.request.as_str(),
                fingerprint:% = subject,
                part = part_name(&subject).as_str(),
                engine = engine.as_str(),
                crashes = standing.crashes(),
                standing = standing.name(),
                shared_with = self.context.suspects.others_charged(&subject, engine),
                on_trial = isolated == Some(subject);
                "crash_charged"
            );
        }
    }

    /// Why the request is not handed to an engine, where it isn't.
    pub(super) fn withheld(&self) -> Option<Withheld> {
        let withheld = self.context.withheld(&self.subjects, self.trial.as_ref())?;
        log::info!(
            request = self.call.request.as_str(),
            fingerprint:% = self.subjects.request,
            suspect:% = withheld.subject,
            part = part_name(&withheld.subject).as_str(),
            cause = withheld.cause,
            crashes = withheld.crashes;
            "dispatch_withheld"
        );
        self.context.metrics.quarantine.withheld(withheld.cause);
        Some(withheld)
    }

    /// Whether the request is not repeated, whatever its budget: an engine crashed that ran it alone, or enough others have.
    pub(super) fn is_withheld_from_repeats(&self) -> bool {
        self.withheld().is_some()
    }
}

/// Name of a part as callers write it; none for a request as a whole.
fn part_name(subject: &Fingerprint) -> String {
    let name = subject.part_name();
    name.map_or_else(|| "none".to_owned(), |name| format!("{name:x}"))
}

/// Names of the parts that a prompt may share with others, in order, as callers write them.
pub(super) fn part_names(prompt: Option<&PromptShape>) -> String {
    let parts = prompt.map(PromptShape::shared_parts).unwrap_or_default();
    let names: Vec<String> = parts.iter().map(|part| format!("{:x}", part.name)).collect();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(",")
    }
}
