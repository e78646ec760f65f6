//! Results of an experiment: goodput, wasted work, attempts and recovery time.

use std::collections::HashSet;
use std::time::Duration;

use anvil_types::context;

use crate::{ledger, scenario};

/// Width of the windows by which recovery is measured.
const WINDOW: Duration = Duration::from_millis(500);

/// Share of the success rate before the overload at which a service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Consecutive good windows that count as recovery, so that a single lucky window does not.
const MIN_GOOD_WINDOWS: usize = 2;

/// Counts of requests sent and answered completely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCount {
    /// Sent.
    pub sent: usize,
    /// Answered completely.
    pub complete: usize,
}

impl ClassCount {
    /// Share answered completely, in percent; none if nothing was sent.
    pub fn share(self) -> Option<f64> {
        (self.sent > 0).then(|| 100.0 * self.complete as f64 / self.sent as f64)
    }
}

/// The measures of one run of one scenario.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Counts by class, beginning with the one shed first, of requests sent during the overload.
    pub classes: [ClassCount; 4],
    /// Complete answers per second to requests sent during the overload.
    pub goodput: f64,
    /// Complete answers per second to requests sent before the overload.
    pub baseline_goodput: f64,
    /// Share of the targets' busy time spent on root requests that failed, in percent.
    pub wasted_percent: f64,
    /// Runs at targets per root request.
    pub runs_per_root: f64,
    /// Seconds from the end of the overload until the success rate has recovered; none if it did
    /// not recover before the end.
    pub recovery: Option<f64>,
    /// The largest number of runs of any key of a non-idempotent action.
    pub max_runs_per_key: usize,
    /// Answers to other requests, or incomplete ones.
    pub foreign: usize,
    /// Requests without any answer.
    pub silent: usize,
    /// Sends that got neither a complete answer nor a refusal as not run.
    pub cut: usize,
    /// Runs of requests that no caller of this experiment sent; a single one invalidates the
    /// results.
    pub foreign_runs: usize,
    /// Processor time of all nodes per run, in microseconds, including the cost of idling
    /// and of refused calls.
    pub cpu_micros_per_run: f64,
    /// Largest resident memory of a node, in megabytes.
    pub max_megabytes: f64,
    /// Counts over the whole run.
    pub all: ClassCount,
}

impl RunReport {
    /// Computes the report of a ledger.
    pub fn of(ledger: &ledger::RunLedger, plan: &scenario::ScenarioPlan) -> Self {
        let callers = ledger.callers();
        let times = plan.times();
        let before = window(&callers, times.pressure / 4, times.pressure);
        let overload = window(&callers, times.pressure, times.relief);
        let runs = ledger.runs();
        Self {
            classes: by_class(&overload),
            goodput: per_second(complete(&overload), times.relief - times.pressure),
            baseline_goodput: per_second(complete(&before), times.pressure * 3 / 4),
            wasted_percent: wasted_percent(&callers, &runs),
            runs_per_root: runs.len() as f64 / callers.len().max(1) as f64,
            recovery: recovery(&callers, &before, times),
            max_runs_per_key: ledger.max_runs_per_key(),
            foreign: count(&callers, ledger::CallerOutcome::Foreign),
            cut: cut_sends(&callers),
            foreign_runs: ledger.foreign_runs().len(),
            cpu_micros_per_run: cpu_micros(&ledger.usage(), runs.len()),
            max_megabytes: max_megabytes(&ledger.usage()),
            all: ClassCount {
                sent: callers.len(),
                complete: count(&callers, ledger::CallerOutcome::Complete),
            },
            silent: count(&callers, ledger::CallerOutcome::Silent),
        }
    }

    /// Share of the class's requests answered completely, in percent.
    pub fn share(&self, class: context::PriorityClass) -> Option<f64> {
        self.classes[class as usize].share()
    }
}

/// Events to investigate first in the logs, one a line: runs of keys that ran more than once,
/// foreign runs, and sends that were cut.
///
/// Times are seconds since the Unix epoch, as in node logs.
pub fn findings(ledger: &ledger::RunLedger) -> Vec<String> {
    let run_line = |kind: &str, run: &ledger::RunRecord| {
        format!(
            "{kind}: root={} key={:?} target={} parent={} began={:.6} held_ms={} whole={}",
            run.root,
            run.key,
            run.target,
            run.parent,
            ledger.unix_seconds(run.started),
            run.slot_time().as_millis(),
            run.completed,
        )
    };
    let repeated = ledger.repeated_key_runs();
    let mut lines: Vec<String> = repeated
        .iter()
        .map(|run| run_line("run of a repeated key", run))
        .collect();
    let foreign_runs = ledger.foreign_runs();
    lines.extend(foreign_runs.iter().map(|run| run_line("stranger", run)));
    for record in ledger.callers() {
        // For a repeated key all sends are listed, since they show which of its runs had a caller.
        let is_repeated = repeated.iter().any(|run| run.root == record.root);
        for send in record
            .sends
            .iter()
            .filter(|send| is_repeated || send.is_cut())
        {
            lines.push(format!(
                "send: root={} kind={} entry={} sent={:.6} took_ms={} outcome={} attempts={} reason={:?}",
                record.root,
                record.kind,
                send.entry,
                ledger.unix_seconds(send.sent),
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

fn max_megabytes(usage: &[ledger::UsageRecord]) -> f64 {
    let max = usage.iter().map(|used| used.resident_bytes).max();
    max.unwrap_or(0) as f64 / 1e6
}

fn window(
    callers: &[ledger::CallerRecord],
    from: Duration,
    to: Duration,
) -> Vec<&ledger::CallerRecord> {
    let inside = |record: &&ledger::CallerRecord| record.sent >= from && record.sent < to;
    callers.iter().filter(inside).collect()
}

fn complete(callers: &[&ledger::CallerRecord]) -> usize {
    let is_complete =
        |record: &&&ledger::CallerRecord| record.outcome == ledger::CallerOutcome::Complete;
    callers.iter().filter(is_complete).count()
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
        class.complete += usize::from(record.outcome == ledger::CallerOutcome::Complete);
    }
    classes
}

fn per_second(count: usize, duration: Duration) -> f64 {
    count as f64 / duration.as_secs_f64().max(f64::EPSILON)
}

fn wasted_percent(callers: &[ledger::CallerRecord], runs: &[ledger::RunRecord]) -> f64 {
    let complete: HashSet<&str> = callers
        .iter()
        .filter(|record| record.outcome == ledger::CallerOutcome::Complete)
        .map(|record| record.root.as_str())
        .collect();
    let slot_time = |run: &ledger::RunRecord| run.slot_time().as_secs_f64();
    let all: f64 = runs.iter().map(slot_time).sum();
    let wasted: f64 = runs
        .iter()
        .filter(|run| !complete.contains(run.root.as_str()))
        .map(slot_time)
        .sum();
    100.0 * wasted / all.max(f64::EPSILON)
}

fn recovery(
    callers: &[ledger::CallerRecord],
    before: &[&ledger::CallerRecord],
    times: scenario::PhaseTimes,
) -> Option<f64> {
    let baseline = complete(before) as f64 / before.len().max(1) as f64;
    let mut good_windows = 0;
    let mut from = times.relief;
    while from + WINDOW <= times.end {
        let sent = window(callers, from, from + WINDOW);
        let share = complete(&sent) as f64 / sent.len().max(1) as f64;
        good_windows = if share >= baseline * RECOVERED_SHARE {
            good_windows + 1
        } else {
            0
        };
        if good_windows == MIN_GOOD_WINDOWS {
            let start = from + WINDOW - WINDOW * MIN_GOOD_WINDOWS as u32;
            return Some((start - times.relief).as_secs_f64());
        }
        from += WINDOW;
    }
    None
}
