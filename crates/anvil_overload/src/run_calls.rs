//! How many calls the runs of each kind make; see `docs/design/refused-calls.md`.

use anvil_types::name;
use serde::Serialize;

use crate::kind;

/// Weight of one run in the means, as its divisor, after the first run.
const MEAN_DIVISOR: f64 = 8.0;

/// Maximum number of kinds, and of services that are remembered for one kind.
const MAX_KINDS: usize = 128;
const MAX_SERVICES: usize = 16;

/// The calls of the runs of one kind.
#[derive(Clone, Debug, Serialize)]
struct KindCalls {
    kind: kind::CallKind,
    /// Number of the latest run, so that the kind that ran longest ago is evicted.
    latest: u64,
    /// Mean of the highest number of calls that were open at the same time.
    overlap: f64,
    /// Mean number of calls to each service, sorted by service.
    calls: Vec<(name::ServiceName, f64)>,
}

/// For each kind of run of the local target, its usual calls, learned from complete runs.
///
/// A retry of one call is wasted if the run fails at a later call, and retries that are divided
/// among concurrent calls are not available to the one that needs them. Both need to know what a run
/// will still do.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunCalls {
    /// Sorted by kind.
    kinds: Vec<KindCalls>,
    runs: u64,
}

impl RunCalls {
    /// Records a complete run of `kind`, at most `overlap` of whose calls were open at the same
    /// time, with the number of calls to each service.
    pub fn record(
        &mut self,
        kind: kind::CallKind,
        overlap: u16,
        calls: &[(name::ServiceName, u16)],
    ) {
        if calls.is_empty() {
            return;
        }
        self.runs += 1;
        let runs = self.runs;
        let (known, weight) = self.get_or_insert(kind);
        known.latest = runs;
        known.overlap += (f64::from(overlap) - known.overlap) * weight;
        for (service, _) in calls {
            let place = known
                .calls
                .binary_search_by(|(other, _)| other.cmp(service));
            if let (Err(index), true) = (place, known.calls.len() < MAX_SERVICES) {
                known.calls.insert(index, (service.clone(), 0.0));
            }
        }
        for (service, mean) in &mut known.calls {
            let made = calls.iter().find(|(other, _)| other == service);
            let made = f64::from(made.map_or(0, |(_, count)| *count));
            *mean += (made - *mean) * weight;
        }
    }

    /// Calls to `service` that a run of `kind` usually makes; zero if that is not known.
    pub fn calls(&self, kind: kind::CallKind, service: &name::ServiceName) -> u16 {
        let known = self.get(kind);
        let calls = known.and_then(|known| {
            let place = known
                .calls
                .binary_search_by(|(other, _)| other.cmp(service));
            place.ok().map(|index| known.calls[index].1)
        });
        rounded(calls.unwrap_or(0.0))
    }

    /// The services that a run of `kind` usually calls, with the number of calls to each.
    pub fn called(&self, kind: kind::CallKind) -> impl Iterator<Item = (&name::ServiceName, u16)> {
        let calls = self.get(kind).map_or(&[][..], |known| &known.calls);
        let counted = calls
            .iter()
            .map(|(service, mean)| (service, rounded(*mean)));
        counted.filter(|(_, count)| *count > 0)
    }

    /// The highest number of calls of a run of `kind` that are usually open at the same time.
    pub fn overlap(&self, kind: kind::CallKind) -> Option<u16> {
        self.get(kind).map(|known| rounded(known.overlap).max(1))
    }

    fn get(&self, kind: kind::CallKind) -> Option<&KindCalls> {
        let index = self.search(kind).ok()?;
        self.kinds.get(index)
    }

    /// The entry of `kind`, and the weight of a new run in it.
    fn get_or_insert(&mut self, kind: kind::CallKind) -> (&mut KindCalls, f64) {
        if let Ok(index) = self.search(kind) {
            return (&mut self.kinds[index], MEAN_DIVISOR.recip());
        }
        if self.kinds.len() == MAX_KINDS {
            let ages = (0..self.kinds.len()).min_by_key(|index| self.kinds[*index].latest);
            ages.map(|index| self.kinds.remove(index));
        }
        let index = self.search(kind).unwrap_or_else(|index| index);
        let entry = KindCalls {
            kind,
            latest: 0,
            overlap: 0.0,
            calls: Vec::new(),
        };
        self.kinds.insert(index, entry);
        (&mut self.kinds[index], 1.0)
    }

    fn search(&self, kind: kind::CallKind) -> Result<usize, usize> {
        self.kinds.binary_search_by_key(&kind, |known| known.kind)
    }
}

fn rounded(mean: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of counts"
    )]
    let count = mean.round() as u16;
    count
}
