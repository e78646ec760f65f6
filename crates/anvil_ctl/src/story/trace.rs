//! Finds the log lines of one request in two passes over the logs.

use std::collections::BTreeMap;

use memchr::memmem;
use serde::de;

use crate::logs::{line, source};

/// Unreadable lines that are reported one by one; further ones are only counted.
const MAX_REPORTED_FAULTS: usize = 5;

/// Smallest backward step, in seconds, that counts as a change of the clock. Lines of two threads
/// may be written slightly out of order.
const MIN_CLOCK_STEP: f64 = 0.05;

/// Text that a node logs when it starts to serve, followed by its id.
const SERVING: &[u8] = b"node serving: {\\\"node\\\":\\\"";

/// Length of a node's id in characters.
const NODE_ID_BYTES: usize = 16;

/// One log line of the request, with the node that wrote it.
#[derive(Clone, Debug)]
pub(super) struct TraceEntry {
    /// The node.
    pub(super) node: String,
    /// When the line was written.
    pub(super) time: f64,
    /// Its content.
    pub(super) facts: line::LogFacts,
}

impl TraceEntry {
    /// When the call or run of the line started, by its writer's clock.
    pub(super) fn started(&self) -> f64 {
        let millis = match &self.facts {
            line::LogFacts::CallEnded(call) => call.took_ms,
            line::LogFacts::RunEnded(run) => run.queued_ms + run.ran_ms.unwrap_or(0),
            line::LogFacts::Attempt(_) | line::LogFacts::Other => 0,
        };
        self.time - millis as f64 / 1_000.0
    }

    /// Depth of the request below the root request, derived from its id.
    pub(super) fn depth(&self) -> usize {
        let request = self.facts.ids().and_then(|(request, _)| request);
        request.map_or(0, |request| request.matches('.').count())
    }
}

/// A backward step of a node's clock.
#[derive(Clone, Debug)]
pub(super) struct ClockStep {
    /// The node.
    pub(super) node: String,
    /// The time before it.
    pub(super) from: f64,
    /// The time after it.
    pub(super) to: f64,
}

/// All log lines of one request, with clock steps and unreadable lines found while reading.
#[derive(Debug, Default)]
pub(super) struct RequestTrace {
    /// Sorted by start.
    pub(super) entries: Vec<TraceEntry>,
    /// Backward clock steps of the nodes with entries.
    pub(super) clocks: Vec<ClockStep>,
    /// Instance names by node id, from the lines that nodes log when they start to serve.
    names: BTreeMap<String, String>,
    lines: u64,
    unreadable: u64,
    reported_faults: Vec<String>,
}

impl RequestTrace {
    /// Reads the logs twice: once for the root requests of the id, then for all lines of these.
    ///
    /// The deepest call ends first, so most lines of a request precede the one that links its id to
    /// its root.
    pub(super) fn find(source: &source::LogSource, id: &str) -> eyre::Result<Self> {
        let mut trace = Self::default();
        let roots = trace.read_roots(source, id)?;
        if !roots.is_empty() {
            trace.read_entries(source, &roots)?;
        }
        Ok(trace)
    }

    /// Whether nothing was found.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of lines read.
    pub(super) fn lines(&self) -> u64 {
        self.lines
    }

    /// The instance name of a node id, or the id itself if no line names the instance.
    pub(super) fn name_of<'a>(&'a self, node: &'a str) -> &'a str {
        self.names.get(node).map_or(node, String::as_str)
    }

    /// Messages about unreadable lines, for the standard error.
    pub(super) fn faults(&self) -> String {
        let faults = self.reported_faults.iter();
        let mut text: String = faults
            .map(|fault| format!("anvilctl: {fault}: not a line of a node's log\n"))
            .collect();
        if self.unreadable > self.reported_faults.len() as u64 {
            text.push_str(&format!(
                "anvilctl: {} such lines in total\n",
                self.unreadable
            ));
        }
        text
    }

    fn read_roots(&mut self, source: &source::LogSource, id: &str) -> eyre::Result<Vec<String>> {
        let wanted = memmem::Finder::new(id.as_bytes());
        let serving = memmem::Finder::new(SERVING);
        let mut roots = Vec::new();
        let mut clocks = BTreeMap::new();
        source.each_line(|line| {
            self.lines += 1;
            if serde_json::from_slice::<de::IgnoredAny>(line.json).is_err() {
                self.record_unreadable(&line);
                return;
            }
            self.record_clock(&mut clocks, &line);
            if let Some(at) = serving.find(line.json) {
                self.record_name(&line, at + SERVING.len());
            }
            if wanted.find(line.json).is_some() {
                roots.extend(root_of(&line, id));
            }
        })?;
        roots.sort();
        roots.dedup();
        Ok(roots)
    }

    fn read_entries(&mut self, source: &source::LogSource, roots: &[String]) -> eyre::Result<()> {
        let finders: Vec<_> = roots.iter().map(memmem::Finder::new).collect();
        source.each_line(|line| {
            let matches = finders.iter().any(|root| root.find(line.json).is_some());
            let parsed = matches.then(|| serde_json::from_slice::<line::LogLine>(line.json));
            if let Some(Ok(parsed)) = parsed
                && parsed.facts.ids().is_some()
            {
                self.entries.push(TraceEntry {
                    node: line.node.to_owned(),
                    time: parsed.time,
                    facts: parsed.facts,
                });
            }
        })?;
        self.entries.sort_by(|a, b| {
            let started = a.started().total_cmp(&b.started());
            started.then(a.depth().cmp(&b.depth()))
        });
        let has_entries =
            |clock: &ClockStep| self.entries.iter().any(|entry| entry.node == clock.node);
        let clocks = std::mem::take(&mut self.clocks);
        self.clocks = clocks.into_iter().filter(has_entries).collect();
        Ok(())
    }

    fn record_unreadable(&mut self, line: &source::SourceLine<'_>) {
        self.unreadable += 1;
        if self.reported_faults.len() < MAX_REPORTED_FAULTS {
            self.reported_faults
                .push(format!("{}:{}", line.input, line.number));
        }
    }

    fn record_name(&mut self, line: &source::SourceLine<'_>, at: usize) {
        let node_id = line.json.get(at..at + NODE_ID_BYTES);
        if let Some(node_id) = node_id.and_then(|bytes| std::str::from_utf8(bytes).ok()) {
            self.names.insert(node_id.to_owned(), line.node.to_owned());
        }
    }

    fn record_clock(&mut self, clocks: &mut BTreeMap<String, f64>, line: &source::SourceLine<'_>) {
        let Some(time) = time_of(line.json) else {
            return;
        };
        let Some(last) = clocks.get_mut(line.node) else {
            clocks.insert(line.node.to_owned(), time);
            return;
        };
        if *last - time > MIN_CLOCK_STEP {
            self.clocks.push(ClockStep {
                node: line.node.to_owned(),
                from: *last,
                to: time,
            });
        }
        *last = time;
    }
}

/// The root of a line whose request is `id`, was made on behalf of `id`, or has `id` as its root.
fn root_of(line: &source::SourceLine<'_>, id: &str) -> Option<String> {
    let parsed = serde_json::from_slice::<line::LogLine>(line.json).ok()?;
    let (request, root) = parsed.facts.ids()?;
    let is_same = |request: &str| {
        let rest = request.strip_prefix(id);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    (root == id || request.is_some_and(is_same)).then(|| root.to_owned())
}

/// The timestamp at the start of a line, without parsing the rest.
fn time_of(json: &[u8]) -> Option<f64> {
    let rest = json.strip_prefix(b"{\"time\":")?;
    let end = memchr::memchr(b',', rest)?;
    std::str::from_utf8(&rest[..end]).ok()?.parse().ok()
}
