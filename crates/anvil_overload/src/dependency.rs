//! Which services the local target needs for its requests; see `docs/design/shedding.md`.

use anvil_types::name;
use serde::Serialize;

use crate::kind;

/// Share of the runs of one kind that make a call from which it counts as needed.
pub const NEEDED_SHARE: f64 = 0.5;

/// Weight of one run in the share, as its divisor.
const SHARE_DIVISOR: f64 = 32.0;

/// Calls remembered; those made least give way.
const CALLS_KEPT: usize = 256;

/// A call that the local target made while it ran a request.
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

/// The share of the local target's runs of each kind that make each call.
///
/// The cut line of a needed call is passed upwards, so that an entry node refuses what could not
/// become whole. A call that only few runs make is left out: its line would refuse requests that
/// don't need it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DependencyTable {
    /// Sorted by the run's kind and the call.
    shares: Vec<CallShare>,
}

impl DependencyTable {
    /// Takes in the calls, each named once, that a run of kind `run` made.
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
        if self.shares.len() == CALLS_KEPT {
            self.drop_least();
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

    fn drop_least(&mut self) {
        let least = (0..self.shares.len())
            .min_by(|&a, &b| self.shares[a].share.total_cmp(&self.shares[b].share));
        if let Some(place) = least {
            self.shares.remove(place);
        }
    }
}
