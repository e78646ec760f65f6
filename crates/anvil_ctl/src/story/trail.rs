//! The lines that concern one request, found in two readings.

use std::collections::BTreeMap;

use memchr::memmem;
use serde::de;

use crate::logs::{line, source};

/// Lines that can't be read and are named one by one; more are counted.
const FAULTS_NAMED: usize = 5;

/// A step back of a node's clock, in seconds, that is no matter of two threads writing.
const CLOCK_STEP: f64 = 0.05;

/// What a node writes when it begins to serve, with its identity behind it.
const SERVING: &[u8] = b"node serving: {\\\"node\\\":\\\"";

/// Characters of a node's identity.
const IDENTITY_BYTES: usize = 16;

/// One line of the request, with the node that wrote it.
#[derive(Clone, Debug)]
pub(super) struct TrailStep {
    /// The node.
    pub(super) node: String,
    /// When the line was written.
    pub(super) time: f64,
    /// What it tells.
    pub(super) facts: line::LogFacts,
}

impl TrailStep {
    /// When what the line tells of began, by its writer's clock.
    pub(super) fn begun(&self) -> f64 {
        let millis = match &self.facts {
            line::LogFacts::CallEnded(call) => call.took_ms,
            line::LogFacts::RunEnded(run) => run.queued_ms + run.ran_ms.unwrap_or(0),
            line::LogFacts::Other => 0,
        };
        self.time - millis as f64 / 1_000.0
    }

    /// How far below the root request it stands, as its id tells.
    pub(super) fn depth(&self) -> usize {
        let request = self.facts.ids().and_then(|(request, _)| request);
        request.map_or(0, |request| request.matches('.').count())
    }
}

/// A step back of a node's clock.
#[derive(Clone, Debug)]
pub(super) struct ClockStep {
    /// The node.
    pub(super) node: String,
    /// The time before it.
    pub(super) from: f64,
    /// The time after it.
    pub(super) to: f64,
}

/// All lines of one request, and what was noticed on the way to them.
#[derive(Debug, Default)]
pub(super) struct RequestTrail {
    /// Sorted by their beginning.
    pub(super) steps: Vec<TrailStep>,
    /// Steps back of the clocks of the nodes that take part.
    pub(super) clocks: Vec<ClockStep>,
    /// Instances by the identity of their nodes, as these named themselves.
    names: BTreeMap<String, String>,
    lines: u64,
    bad: u64,
    bad_named: Vec<String>,
}

impl RequestTrail {
    /// Reads the logs twice: for the roots that go with the id, then for all lines of these.
    ///
    /// The deepest call ends first, so most lines of a request stand before the one that ties its id to
    /// its root.
    pub(super) fn find(source: &source::LogSource, id: &str) -> eyre::Result<Self> {
        let mut trail = Self::default();
        let roots = trail.read_roots(source, id)?;
        if !roots.is_empty() {
            trail.read_steps(source, &roots)?;
        }
        Ok(trail)
    }

    /// Whether nothing was found.
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Lines read.
    pub(super) fn lines(&self) -> u64 {
        self.lines
    }

    /// The instance of a node's identity, or the identity where no line tells it.
    pub(super) fn name_of<'a>(&'a self, node: &'a str) -> &'a str {
        self.names.get(node).map_or(node, String::as_str)
    }

    /// What could not be read, for the standard error.
    pub(super) fn faults(&self) -> String {
        let named = self.bad_named.iter();
        let mut text: String = named
            .map(|fault| format!("anvilctl: {fault}: no line of a node's log\n"))
            .collect();
        if self.bad > self.bad_named.len() as u64 {
            text.push_str(&format!("anvilctl: {} such lines in all\n", self.bad));
        }
        text
    }

    fn read_roots(&mut self, source: &source::LogSource, id: &str) -> eyre::Result<Vec<String>> {
        let wanted = memmem::Finder::new(id.as_bytes());
        let serving = memmem::Finder::new(SERVING);
        let mut roots = Vec::new();
        let mut clocks = BTreeMap::new();
        source.each_line(|placed| {
            self.lines += 1;
            if serde_json::from_slice::<de::IgnoredAny>(placed.json).is_err() {
                self.note_bad(&placed);
                return;
            }
            self.note_clock(&mut clocks, &placed);
            if let Some(at) = serving.find(placed.json) {
                self.note_name(&placed, at + SERVING.len());
            }
            if wanted.find(placed.json).is_some() {
                roots.extend(root_of(&placed, id));
            }
        })?;
        roots.sort();
        roots.dedup();
        Ok(roots)
    }

    fn read_steps(&mut self, source: &source::LogSource, roots: &[String]) -> eyre::Result<()> {
        let finders: Vec<_> = roots.iter().map(memmem::Finder::new).collect();
        source.each_line(|placed| {
            let hit = finders.iter().any(|root| root.find(placed.json).is_some());
            let read = hit.then(|| serde_json::from_slice::<line::LogLine>(placed.json));
            if let Some(Ok(read)) = read
                && read.facts.ids().is_some()
            {
                self.steps.push(TrailStep {
                    node: placed.node.to_owned(),
                    time: read.time,
                    facts: read.facts,
                });
            }
        })?;
        self.steps.sort_by(|a, b| {
            let begun = a.begun().total_cmp(&b.begun());
            begun.then(a.depth().cmp(&b.depth()))
        });
        let takes_part = |clock: &ClockStep| self.steps.iter().any(|step| step.node == clock.node);
        let clocks = std::mem::take(&mut self.clocks);
        self.clocks = clocks.into_iter().filter(takes_part).collect();
        Ok(())
    }

    fn note_bad(&mut self, placed: &source::PlacedLine<'_>) {
        self.bad += 1;
        if self.bad_named.len() < FAULTS_NAMED {
            self.bad_named
                .push(format!("{}:{}", placed.input, placed.number));
        }
    }

    fn note_name(&mut self, placed: &source::PlacedLine<'_>, at: usize) {
        let identity = placed.json.get(at..at + IDENTITY_BYTES);
        if let Some(identity) = identity.and_then(|bytes| std::str::from_utf8(bytes).ok()) {
            self.names
                .insert(identity.to_owned(), placed.node.to_owned());
        }
    }

    fn note_clock(&mut self, clocks: &mut BTreeMap<String, f64>, placed: &source::PlacedLine<'_>) {
        let Some(time) = time_of(placed.json) else {
            return;
        };
        let Some(last) = clocks.get_mut(placed.node) else {
            clocks.insert(placed.node.to_owned(), time);
            return;
        };
        if *last - time > CLOCK_STEP {
            self.clocks.push(ClockStep {
                node: placed.node.to_owned(),
                from: *last,
                to: time,
            });
        }
        *last = time;
    }
}

/// The root of a line whose request is the one sought, one made for it, or whose root it is.
fn root_of(placed: &source::PlacedLine<'_>, id: &str) -> Option<String> {
    let read = serde_json::from_slice::<line::LogLine>(placed.json).ok()?;
    let (request, root) = read.facts.ids()?;
    let same = |request: &str| {
        let rest = request.strip_prefix(id);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    (root == id || request.is_some_and(same)).then(|| root.to_owned())
}

/// The time with which a node begins each line, without reading the rest of it.
fn time_of(json: &[u8]) -> Option<f64> {
    let rest = json.strip_prefix(b"{\"time\":")?;
    let end = memchr::memchr(b',', rest)?;
    std::str::from_utf8(&rest[..end]).ok()?.parse().ok()
}
