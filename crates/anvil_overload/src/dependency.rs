//! Services that the local target calls to answer its requests; see `docs/design/shedding.md`.

use anvil_types::name;
use serde::Serialize;

use crate::kind;

/// Share of the runs of one kind from which on a call counts as needed.
pub const NEEDED_SHARE: f64 = 0.5;

/// Weight of one run in the moving average, as its divisor.
const SHARE_DIVISOR: f64 = 32.0;

/// Capacity of the table; the call with the smallest share is evicted.
const MAX_CALLS: usize = 256;

/// A call that the local target makes while it runs a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct NeededCall {
    /// The service called.
    pub service: name::ServiceName,
    /// The kind of the call.
    pub kind: kind::CallKind,
}

#[derive(Clone, Debug, Serialize)]
struct CallShare {
    run: kind::CallKind,
    call: NeededCall,
    share: f64,
}

/// For each kind of run of the local target, the share of runs that make each call.
///
/// The cut lines of needed calls are passed on to callers, so that an entry node refuses requests
/// that could not be completed. Calls that only few runs make are left out, because their lines
/// would refuse requests that do not need them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DependencyTable {
    /// Sorted by the run's kind and the call.
    shares: Vec<CallShare>,
}

impl DependencyTable {
    /// Records the distinct calls that a run of kind `run` made.
    pub fn record_run(&mut self, run: kind::CallKind, calls: &[NeededCall]) {
        let of_kind = |known: &&mut CallShare| known.run == run;
        for known in self.shares.iter_mut().filter(of_kind) {
            let hit = calls.contains(&known.call);
            let target = if hit { 1.0 } else { 0.0 };
            known.share += (target - known.share) / SHARE_DIVISOR;
        }
        for call in calls {
            self.add(run, call);
        }
    }

    /// Calls that at least [`NEEDED_SHARE`] of the runs of kind `run` make.
    pub fn needed(&self, run: kind::CallKind) -> impl Iterator<Item = &NeededCall> {
        let needed = move |known: &&CallShare| known.run == run && known.share >= NEEDED_SHARE;
        self.shares.iter().filter(needed).map(|known| &known.call)
    }

    fn add(&mut self, run: kind::CallKind, call: &NeededCall) {
        if self.place(run, call).is_ok() {
            return;
        }
        if self.shares.len() == MAX_CALLS {
            self.evict_rarest();
        }
        let Err(place) = self.place(run, call) else {
            return;
        };
        let share = CallShare {
            run,
            call: call.clone(),
            share: NEEDED_SHARE,
        };
        self.shares.insert(place, share);
    }

    fn place(&self, run: kind::CallKind, call: &NeededCall) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|known| (known.run, &known.call).cmp(&(run, call)))
    }

    fn evict_rarest(&mut self) {
        let rarest = (0..self.shares.len())
            .min_by(|&a, &b| self.shares[a].share.total_cmp(&self.shares[b].share));
        if let Some(place) = rarest {
            self.shares.remove(place);
        }
    }
}
