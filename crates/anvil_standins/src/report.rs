//! What an experiment showed: goodput, wasted work, attempts and recovery time.

use std::collections::HashSet;
use std::time::Duration;

use anvil_types::context;

use crate::{ledger, scenario};

/// Width of the windows in which recovery is judged.
const WINDOW: Duration = Duration::from_millis(500);

/// Share of the quiet phase's whole answers at which a service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Windows in a row that must be good, so that one lucky window is no recovery.
const WINDOWS_IN_ROW: usize = 2;

/// Requests sent and answered whole, of one class, during the pressure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCount {
    /// Sent.
    pub sent: usize,
    /// Answered whole.
    pub whole: usize,
}

impl ClassCount {
    /// Share answered whole, in percent; none where nothing was sent.
    pub fn share(self) -> Option<f64> {
        (self.sent > 0).then(|| 100.0 * self.whole as f64 / self.sent as f64)
    }
}

/// The measures of one run of one scenario.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// By class, from the one shed first, for requests sent during the pressure.
    pub classes: [ClassCount; 4],
    /// Whole answers per second to requests sent during the pressure.
    pub goodput: f64,
    /// Whole answers per second to requests sent before it.
    pub quiet_goodput: f64,
    /// Share of the targets' time spent for root requests that failed, in percent.
    pub wasted_percent: f64,
    /// Runs at targets per root request.
    pub runs_per_root: f64,
    /// Seconds from the end of the pressure until whole answers are back; none where they
    /// did not come back before the end.
    pub recovery: Option<f64>,
    /// The most runs that one key of a non-idempotent action saw.
    pub most_runs_per_key: usize,
    /// Answers that were not the caller's own or not whole.
    pub foreign: usize,
    /// Requests that ended without any answer.
    pub silent: usize,
    /// Sends that ended without a whole answer and not as not run.
    pub cut: usize,
    /// Runs of requests that no caller of this experiment sent; any makes the run worthless.
    pub strangers: usize,
    /// Processor time of all nodes for one call that ran, in microseconds; it includes what the
    /// nodes spend idle and on calls that they refuse.
    pub cpu_micros_per_run: f64,
    /// Most resident memory of a node, in megabytes.
    pub most_megabytes: f64,
    /// Requests of the whole run, and those of them answered whole.
    pub all: ClassCount,
}

impl RunReport {
    /// Sums up a ledger.
    pub fn of(ledger: &ledger::RunLedger, plan: &scenario::ScenarioPlan) -> Self {
        let callers = ledger.callers();
        let times = plan.times();
        let quiet = window(&callers, times.pressure / 4, times.pressure);
        let strained = window(&callers, times.pressure, times.relief);
        let runs = ledger.runs();
        Self {
            classes: by_class(&strained),
            goodput: per_second(whole(&strained), times.relief - times.pressure),
            quiet_goodput: per_second(whole(&quiet), times.pressure * 3 / 4),
            wasted_percent: wasted_percent(&callers, &runs),
            runs_per_root: runs.len() as f64 / callers.len().max(1) as f64,
            recovery: recovery(&callers, &quiet, times),
            most_runs_per_key: ledger.most_runs_per_key(),
            foreign: count(&callers, ledger::CallerOutcome::Foreign),
            cut: cut_sends(&callers),
            strangers: ledger.strangers().len(),
            cpu_micros_per_run: cpu_micros(&ledger.usage(), runs.len()),
            most_megabytes: most_megabytes(&ledger.usage()),
            all: ClassCount {
                sent: callers.len(),
                whole: count(&callers, ledger::CallerOutcome::Whole),
            },
            silent: count(&callers, ledger::CallerOutcome::Silent),
        }
    }

    /// Share of the class's requests answered whole, in percent.
    pub fn share(&self, class: context::PriorityClass) -> Option<f64> {
        self.classes[class as usize].share()
    }
}

/// What to look at in the logs first, a line each: runs of keys that ran more than once, runs of
/// strangers, and sends that were cut.
///
/// Times are those of the Unix clock, as node logs have them.
pub fn findings(ledger: &ledger::RunLedger) -> Vec<String> {
    let run_line = |kind: &str, run: &ledger::RunRecord| {
        format!(
            "{kind}: root={} key={:?} target={} parent={} began={:.6} held_ms={} whole={}",
            run.root,
            run.key,
            run.target,
            run.parent,
            ledger.clock(run.began),
            run.held().as_millis(),
            run.whole,
        )
    };
    let doubled = ledger.doubled_runs();
    let mut lines: Vec<String> = doubled
        .iter()
        .map(|run| run_line("run of a doubled key", run))
        .collect();
    let strangers = ledger.strangers();
    lines.extend(strangers.iter().map(|run| run_line("stranger", run)));
    for record in ledger.callers() {
        // The sends of a doubled key tell which of its runs had a caller, so they are told whole.
        let told = doubled.iter().any(|run| run.root == record.root);
        for send in record.sends.iter().filter(|send| told || send.is_cut()) {
            lines.push(format!(
                "send: root={} kind={} entry={} sent={:.6} took_ms={} outcome={} attempts={} reason={:?}",
                record.root,
                record.kind,
                send.entry,
                ledger.clock(send.sent),
                send.ended.saturating_sub(send.sent).as_millis(),
                send.outcome,
                send.attempts,
                send.reason,
            ));
        }
    }
    lines
}

fn cut_sends(callers: &[ledger::CallerRecord]) -> usize {
    let sends = callers.iter().flat_map(|record| &record.sends);
    sends.filter(|send| send.is_cut()).count()
}

fn cpu_micros(usage: &[ledger::UsageRecord], runs: usize) -> f64 {
    let all: Duration = usage.iter().map(|used| used.cpu).sum();
    all.as_secs_f64() * 1e6 / runs.max(1) as f64
}

fn most_megabytes(usage: &[ledger::UsageRecord]) -> f64 {
    let most = usage.iter().map(|used| used.resident_bytes).max();
    most.unwrap_or(0) as f64 / 1e6
}

fn window(
    callers: &[ledger::CallerRecord],
    from: Duration,
    to: Duration,
) -> Vec<&ledger::CallerRecord> {
    let inside = |record: &&ledger::CallerRecord| record.sent >= from && record.sent < to;
    callers.iter().filter(inside).collect()
}

fn whole(callers: &[&ledger::CallerRecord]) -> usize {
    let whole = |record: &&&ledger::CallerRecord| record.outcome == ledger::CallerOutcome::Whole;
    callers.iter().filter(whole).count()
}

fn count(callers: &[ledger::CallerRecord], outcome: ledger::CallerOutcome) -> usize {
    callers
        .iter()
        .filter(|record| record.outcome == outcome)
        .count()
}

fn by_class(callers: &[&ledger::CallerRecord]) -> [ClassCount; 4] {
    let mut classes = [ClassCount::default(); 4];
    for record in callers {
        let class = &mut classes[record.class as usize];
        class.sent += 1;
        class.whole += usize::from(record.outcome == ledger::CallerOutcome::Whole);
    }
    classes
}

fn per_second(count: usize, span: Duration) -> f64 {
    count as f64 / span.as_secs_f64().max(f64::EPSILON)
}

fn wasted_percent(callers: &[ledger::CallerRecord], runs: &[ledger::RunRecord]) -> f64 {
    let whole: HashSet<&str> = callers
        .iter()
        .filter(|record| record.outcome == ledger::CallerOutcome::Whole)
        .map(|record| record.root.as_str())
        .collect();
    let held = |run: &ledger::RunRecord| run.held().as_secs_f64();
    let all: f64 = runs.iter().map(held).sum();
    let lost: f64 = runs
        .iter()
        .filter(|run| !whole.contains(run.root.as_str()))
        .map(held)
        .sum();
    100.0 * lost / all.max(f64::EPSILON)
}

fn recovery(
    callers: &[ledger::CallerRecord],
    quiet: &[&ledger::CallerRecord],
    times: scenario::PhaseTimes,
) -> Option<f64> {
    let usual = whole(quiet) as f64 / quiet.len().max(1) as f64;
    let mut good_in_row = 0;
    let mut from = times.relief;
    while from + WINDOW <= times.end {
        let sent = window(callers, from, from + WINDOW);
        let share = whole(&sent) as f64 / sent.len().max(1) as f64;
        good_in_row = if share >= usual * RECOVERED_SHARE {
            good_in_row + 1
        } else {
            0
        };
        if good_in_row == WINDOWS_IN_ROW {
            let start = from + WINDOW - WINDOW * WINDOWS_IN_ROW as u32;
            return Some((start - times.relief).as_secs_f64());
        }
        from += WINDOW;
    }
    None
}
