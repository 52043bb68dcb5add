//! Reports the usage of tenants, once for each window.

use super::{authority, holder, usage_log};
use crate::config::USAGE_REPORTING;
use crate::context::Context;
use crate::metering::{self, Metering};
use crate::ports::{DutyAnswer, PlatformDuties};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::lease::Authority;
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::figures::FiguresDigest;
use shelfjunction_core::metering::record;
use shelfjunction_core::metering::reporter::{SendOutcome, Step, UsageReporter};
use shelfjunction_core::metering::tally::TenantCounts;
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::lock;
use std::time::Duration;

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

    /// Notes restores of the store, also while another node holds the lease.
    pub(super) fn observe(&mut self, context: &Context, table: &dyn TableService) {
        self.reporter.observe_era(table.era(), context.now());
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
        let margin = Duration::from_millis(context.config.lease.margin_millis);
        self.reporter.note_exclusive(held.token, held.not_after + margin);
        while let Some(step) = self.next(context, metering, held) {
            match step {
                Step::Load => self.load(context, held, table),
                Step::Claim {
                    transaction,
                    left_out_through,
                } => {
                    let outcome = table.transact(&transaction);
                    usage_log::claim(context, held.token, left_out_through, &outcome);
                    self.reporter.on_claimed(&outcome, context.now());
                }
                Step::Rewrite {
                    window,
                    counts,
                    transaction,
                } => {
                    let outcome = table.transact(&transaction);
                    usage_log::rewrite(held.token, window, &counts, &outcome);
                    self.reporter.on_recorded(window, counts, &outcome, context.now());
                }
                Step::Record {
                    window,
                    counts,
                    transaction,
                    whole,
                } => {
                    let outcome = table.transact(&transaction);
                    let token = held.token;
                    usage_log::recorded(context, metering, token, window, &counts, whole, &outcome);
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

    fn load(&mut self, context: &Context, held: Authority, table: &dyn TableService) {
        let known_confirmed = self.reporter.confirmed_through();
        let records = table.scan(record::PREFIX).map(|rows| {
            let (records, faults) = record::read(&rows);
            for fault in faults {
                log::warn!(fault = fault.as_str(); "usage_row_unreadable");
            }
            if let Some(records) = &records {
                usage_log::records(held.token, &rows, records);
            }
            records
        });
        if let Ok(Some(records)) = &records
            && records.confirmed_through < known_confirmed
        {
            log::warn!(
                known:? = known_confirmed.map(|window| window.0),
                read:? = records.confirmed_through.map(|window| window.0);
                "usage_confirmations_ran_back"
            );
        }
        if let Err(cause) = &records {
            log::info!(cause:? = cause; "usage_records_not_read");
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
            figures:% = FiguresDigest::of(counts),
            answer:? = answer;
            "usage_reported"
        );
        context.metrics.usage_reported(name_of(outcome));
        self.reporter.on_sent(window, outcome, context.now());
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
