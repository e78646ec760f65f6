//! Results of a simulated fleet: how far each account was from its quota.

use std::time::Duration;

use anvil_quota::demand;
use anvil_types::{account, time};

use super::SimulatedFleet;

/// The window in which requests are counted against a quota.
const WINDOW: Duration = Duration::from_secs(5);

/// Excess over a quota that the users allow in a window, as a share.
const EXCESS_SHARE: f64 = 0.1;
/// Further excess that the users allow in a window, in requests.
const EXCESS_REQUESTS: f64 = 20.0;

/// Result of one account.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AccountTally {
    /// Requests that arrived.
    pub(crate) arrived: usize,
    /// Requests refused.
    pub(crate) refused: usize,
    /// Requests refused although a single bucket for the whole fleet would have had a token.
    pub(crate) refused_falsely: usize,
    /// Maximum number of requests admitted within a window, less what the users allow; not above
    /// zero if the quota held.
    pub(crate) over: f64,
}

/// Demand of an account as the entry node of a request knew it when the request was admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandSample {
    pub(crate) account: usize,
    /// Time since the start.
    pub(crate) at: Duration,
    pub(crate) demand: demand::AccountDemand,
}

/// Result of a fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTally {
    /// By account.
    pub(crate) accounts: Vec<AccountTally>,
    /// Datagrams sent.
    pub(crate) datagrams: usize,
    /// Bytes of the datagrams, without the overhead of authentication and addresses.
    pub(crate) bytes: usize,
    /// Waits for a home's decision, in microseconds, sorted; zero if there was no wait.
    pub(crate) waits: Vec<u64>,
    /// One for each admitted request.
    pub(crate) demands: Vec<DemandSample>,
}

impl FleetTally {
    /// The wait that `share` of the admitted requests did not exceed, in microseconds.
    pub(crate) fn wait(&self, share: f64) -> u64 {
        let position = (self.waits.len() as f64 * share) as usize;
        let last = self.waits.len().saturating_sub(1);
        self.waits
            .get(position.min(last))
            .copied()
            .unwrap_or_default()
    }
}

/// Maximum number of requests of an account that the users allow within a window.
pub(crate) fn allowed(quota: account::AccountQuota) -> f64 {
    let within_quota = quota.rate() * WINDOW.as_secs_f64() + f64::from(quota.burst);
    within_quota * (1.0 + EXCESS_SHARE) + EXCESS_REQUESTS
}

impl SimulatedFleet {
    pub(super) fn into_tally(mut self) -> FleetTally {
        for index in 0..self.plan.accounts.len() {
            let tally = self.account_tally(index);
            self.tally.accounts.push(tally);
        }
        let waits = self.calls.iter().filter_map(|call| {
            let admitted = call.admitted?;
            u64::try_from(admitted.since(call.arrived).as_micros()).ok()
        });
        self.tally.waits = waits.collect();
        self.tally.waits.sort_unstable();
        self.tally
    }

    fn account_tally(&self, index: usize) -> AccountTally {
        let quota = self.plan.accounts[index].quota;
        let calls = self.calls.iter().filter(|call| call.account == index);
        let mut tally = AccountTally {
            over: f64::MIN,
            ..AccountTally::default()
        };
        let mut tokens = f64::from(quota.burst);
        let mut last = time::NodeTime::START;
        let mut admitted = Vec::new();
        for call in calls {
            tally.arrived += 1;
            let passed = call.arrived.since(last).as_secs_f64();
            last = call.arrived;
            tokens = (tokens + passed * quota.rate()).min(f64::from(quota.burst));
            let had_token = tokens >= 1.0;
            if had_token {
                tokens -= 1.0;
            }
            tally.refused += usize::from(call.refused);
            tally.refused_falsely += usize::from(call.refused && had_token);
            admitted.extend(call.admitted);
        }
        admitted.sort_unstable();
        let allowed = allowed(quota);
        for (position, end) in admitted.iter().enumerate() {
            let first = admitted.partition_point(|at| *at + WINDOW <= *end);
            tally.over = tally.over.max((position + 1 - first) as f64 - allowed);
        }
        tally
    }
}
