//! Reports the usage of tenants, once for each window.

use super::{authority, holder};
use crate::config::USAGE_REPORTING;
use crate::context::Context;
use crate::metering::{self, Metering};
use crate::ports::{DutyAnswer, PlatformDuties};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::lease::Authority;
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::figures::FiguresDigest;
use shelfjunction_core::metering::record::{self, Records};
use shelfjunction_core::metering::reporter::{SendOutcome, Step, UsageReporter};
use shelfjunction_core::metering::tally::TenantCounts;
use shelfjunction_core::table::{PlatformError, Row, StorePosition, TransactionOutcome};
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
                Step::Load => self.load(context, held, table),
                Step::Claim(transaction) => {
                    let outcome = table.transact(&transaction);
                    log::info!(token:% = held.token, outcome:? = outcome; "usage_reports_claimed");
                    self.reporter.on_claimed(&outcome, context.now());
                }
                Step::Record {
                    window,
                    counts,
                    transaction,
                    whole,
                } => {
                    let outcome = table.transact(&transaction);
                    let token = held.token;
                    log_recorded(context, metering, token, window, &counts, whole, &outcome);
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
                log_records(held.token, &rows, records);
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

/// Which windows have a record, and the newest position of the store at which one of the rows was written.
fn log_records(token: FencingToken, rows: &[Row], records: &Records) {
    let newest = rows.iter().map(|row| row.version.0).max().unwrap_or_default();
    let position = StorePosition::of_number(newest);
    log::info!(
        token:% = token,
        reports = records.reports.len(),
        first:? = records.reports.keys().next().map(|window| window.0),
        last:? = records.reports.keys().next_back().map(|window| window.0),
        confirmed_through:? = records.confirmed_through.map(|window| window.0),
        era = position.era,
        version = position.version;
        "usage_records_read"
    );
}

fn log_recorded(
    context: &Context,
    metering: &Metering,
    token: FencingToken,
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
    let recorded_at = match outcome {
        Ok(TransactionOutcome::Committed { version }) => Some(StorePosition::of_number(version.0)),
        _ => None,
    };
    let is_recorded = recorded_at.is_some();
    let outcome = match outcome {
        Ok(TransactionOutcome::Committed { .. }) => "recorded".to_owned(),
        Ok(TransactionOutcome::Conflict { .. }) => "was_recorded".to_owned(),
        Err(cause) => format!("{cause:?}"),
    };
    log::info!(
        window:% = window,
        token:% = token,
        whole,
        nodes_missing = missing,
        nodes_gone = gone,
        tenants = counts.len(),
        requests = counts.values().sum::<u64>(),
        figures:% = FiguresDigest::of(counts),
        era:? = recorded_at.map(|position| position.era),
        version:? = recorded_at.map(|position| position.version),
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
