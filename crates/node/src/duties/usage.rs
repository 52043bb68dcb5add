//! Reports the usage of tenants, once for each window.

use super::{authority, holder};
use crate::config::USAGE_REPORTING;
use crate::context::Context;
use crate::metering::{self, Metering};
use crate::ports::{DutyAnswer, PlatformDuties};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::lease::Authority;
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::record;
use shelfjunction_core::metering::reporter::{SendOutcome, Step, UsageReporter};
use shelfjunction_core::metering::tally::TenantCounts;
use shelfjunction_core::table::{PlatformError, TransactionOutcome};
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::lock;

/// Reports of this node.
pub(super) struct UsageDuty {
    reporter: UsageReporter,
    /// The token under which this node gathers.
    gathers_under: Option<FencingToken>,
}

impl UsageDuty {
    /// The duty; absent where usage is not counted or reported.
    pub(super) fn new(context: &Context) -> Option<Self> {
        let has_duty = context
            .config
            .duties
            .as_ref()
            .is_some_and(|duties| duties.has(USAGE_REPORTING));
        let metering = context.metering.as_ref().filter(|_| has_duty)?;
        Some(Self {
            reporter: UsageReporter::new(metering.settings),
            gathers_under: None,
        })
    }

    /// Does everything that is due.
    pub(super) fn step(
        &mut self,
        context: &Context,
        mut held: Authority,
        table: &dyn TableService,
        platform: &dyn PlatformDuties,
    ) {
        let Some(metering) = &context.metering else {
            return;
        };
        self.gather(context, metering, held);
        while let Some(step) = self.next(context, metering, held) {
            match step {
                Step::Load => self.load(context, table),
                Step::Record {
                    window,
                    counts,
                    transaction,
                    whole,
                } => {
                    let outcome = table.transact(&transaction);
                    log_recorded(context, metering, window, &counts, whole, &outcome);
                    self.reporter.on_recorded(window, counts, &outcome, context.now());
                }
                Step::Send { window, counts } => self.send(context, held, platform, window, &counts),
                Step::GivenUp(window) => log::error!(window:% = window; "usage_report_given_up"),
            }
            lock(&context.duty_notes).note_reports(&self.reporter);
            metering.note_open_from(self.reporter.open_from());
            match authority(context) {
                Some(authority) => held = authority,
                None => return,
            }
        }
    }

    /// Begins to gather under a new token, and notes which nodes live.
    fn gather(&mut self, context: &Context, metering: &Metering, held: Authority) {
        let unix = metering::unix(context);
        if self.gathers_under != Some(held.token) {
            self.gathers_under = Some(held.token);
            metering.begin_gathering(unix);
            metering.note_open_from(None);
        }
        let heard = context.peers.heard_ago(context.now());
        let mut tally = lock(&metering.tally);
        for (node, ago) in heard {
            tally.note_alive(&node, unix.earlier(ago));
        }
    }

    fn next(&mut self, context: &Context, metering: &Metering, held: Authority) -> Option<Step> {
        let unix = metering::unix(context);
        let tally = lock(&metering.tally);
        self.reporter.next(held.token, &tally, unix, context.now())
    }

    fn load(&mut self, context: &Context, table: &dyn TableService) {
        let records = table.scan(record::PREFIX).map(|rows| {
            let (records, faults) = record::read(&rows);
            for fault in faults {
                log::warn!(fault = fault.as_str(); "usage_row_unreadable");
            }
            records
        });
        match &records {
            Ok(records) => log::info!(
                reports = records.reports.len(),
                confirmed_through:? = records.confirmed_through.map(|window| window.0);
                "usage_records_read"
            ),
            Err(cause) => log::info!(cause:? = cause; "usage_records_not_read"),
        }
        self.reporter.on_loaded(records, context.now());
    }

    fn send(
        &mut self,
        context: &Context,
        held: Authority,
        platform: &dyn PlatformDuties,
        window: WindowNumber,
        counts: &TenantCounts,
    ) {
        let answer = platform.report_usage(&holder(context, held), window, counts);
        let outcome = outcome_of(&answer);
        log::info!(
            window:% = window,
            token:% = held.token,
            tenants = counts.len(),
            requests = counts.values().sum::<u64>(),
            answer:? = answer;
            "usage_reported"
        );
        context.metrics.usage_reported(name_of(outcome));
        self.reporter.on_sent(window, outcome, context.now());
    }
}

fn log_recorded(
    context: &Context,
    metering: &Metering,
    window: WindowNumber,
    counts: &TenantCounts,
    whole: bool,
    outcome: &Result<TransactionOutcome, PlatformError>,
) {
    let (missing, gone) = {
        let unix = metering::unix(context);
        let tally = lock(&metering.tally);
        (tally.missing(window, unix).len(), tally.gone(window, unix))
    };
    let is_recorded = matches!(outcome, Ok(TransactionOutcome::Committed { .. }));
    let outcome = match outcome {
        Ok(TransactionOutcome::Committed { .. }) => "recorded".to_owned(),
        Ok(TransactionOutcome::Conflict { .. }) => "was_recorded".to_owned(),
        Err(cause) => format!("{cause:?}"),
    };
    log::info!(
        window:% = window,
        whole,
        nodes_missing = missing,
        nodes_gone = gone,
        tenants = counts.len(),
        requests = counts.values().sum::<u64>(),
        outcome = outcome.as_str();
        "usage_recorded"
    );
    if is_recorded {
        context.metrics.usage.recorded(whole, missing, gone);
    }
    if is_recorded && !whole {
        log::warn!(window:% = window, nodes_missing = missing, nodes_gone = gone; "usage_window_incomplete");
    }
}

fn outcome_of(answer: &DutyAnswer) -> SendOutcome {
    match answer {
        DutyAnswer::Taken => SendOutcome::Accepted,
        DutyAnswer::Conflict => SendOutcome::Fenced,
        DutyAnswer::Rejected(_) => SendOutcome::Rejected,
        DutyAnswer::Throttled | DutyAnswer::Unanswered(_) => SendOutcome::Unknown,
    }
}

fn name_of(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Accepted => "accepted",
        SendOutcome::Fenced => "fenced",
        SendOutcome::Rejected => "rejected",
        SendOutcome::Unknown => "unknown",
    }
}
