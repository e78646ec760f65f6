//! Accounts that share a scarce service by fair lanes, in simulated time.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use anvil_overload::{admission, fairness, limit, policy, rank};
use anvil_quota::{effect, ledger};
use anvil_testkit::test_cases;
use anvil_types::{account, context, ident, time};
use anvil_wire::call;
use rand_core::{Rng, SeedableRng};

/// Slots of the scarce service, the time for which a request holds one, in milliseconds, and the
/// requests a second that it thus completes.
const SLOTS: u32 = 40;
const RUN: u64 = 100;
const CAPACITY: f64 = 400.0;

/// The burst, and the phases that are evaluated: before it, within it and after it, from 2 s after
/// each change of the load, in milliseconds.
const BURST: Range<u64> = 20_000..65_000;
const PHASES: [Range<u64>; 3] = [5_000..19_000, 22_000..64_000, 67_000..75_000];

/// How soon a caller that retries at once is back, in milliseconds, and how often it retries.
const RETRY_PAUSE: u64 = 20;
const RETRIES: u8 = 2;

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Requests a second.
    quota: u32,
    /// Requests a second outside and within the burst, as a ratio to the quota.
    usual: f64,
    burst: f64,
    retries: bool,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    account: usize,
    first_at: u64,
    retries: u8,
}

/// Result of one account.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: [f64; 3],
    served: [f64; 3],
}

impl Served {
    /// The share of the requests of a phase that was served.
    fn share(&self, phase: usize) -> f64 {
        self.served[phase] / self.sent[phase]
    }

    /// Requests served a second within the burst.
    fn rate(&self) -> f64 {
        self.served[1] * 1_000.0 / (PHASES[1].end - PHASES[1].start) as f64
    }
}

struct Simulation {
    accounts: Vec<Account>,
    banded: bool,
    fair: bool,
    now: u64,
    rng: rand_pcg::Pcg64Mcg,
    ledger: ledger::QuotaLedger,
    queue: admission::AdmissionQueue,
    /// The line as the entry nodes know it, a tenth of a second old at most.
    line: Option<call::CutLine>,
    requests: Vec<Request>,
    /// Requests that run, and refused ones whose callers return, with their times.
    running: VecDeque<(u64, u64)>,
    returning: VecDeque<(u64, u64)>,
    results: Vec<Served>,
}

fn account_id(index: usize) -> account::AccountId {
    account::AccountId(index as u64 + 1)
}

/// Plays all phases with the ledger of one node and the queue of one target.
fn simulate(accounts: &[Account], banded: bool, fair: bool) -> Vec<Served> {
    let policy = policy::OverloadPolicy {
        cold_ramp: false,
        adaptive_limit: false,
        ..policy::OverloadPolicy::FULL
    };
    let start = time::NodeTime::START;
    let own = ident::NodeId(1);
    let mode = ledger::TokenMode::Ahead;
    let mut ledger = ledger::QuotaLedger::new(own, mode).with_stated_demand();
    ledger.member_up(start, own, SocketAddr::from(([127, 0, 0, 1], 1)));
    let quotas = accounts.iter().enumerate().map(|(index, account)| {
        let quota = account::AccountQuota::per_second(account.quota, account.quota);
        (account_id(index), quota)
    });
    ledger.set_quotas(start, &quotas.collect::<Vec<_>>());
    let mut simulation = Simulation {
        accounts: accounts.to_vec(),
        banded,
        fair,
        now: 0,
        rng: rand_pcg::Pcg64Mcg::seed_from_u64(5),
        ledger,
        queue: admission::AdmissionQueue::new(start, SLOTS, policy),
        line: None,
        requests: Vec::new(),
        running: VecDeque::new(),
        returning: VecDeque::new(),
        results: vec![Served::default(); accounts.len()],
    };
    while simulation.now < PHASES[2].end + 1_000 {
        simulation.step();
    }
    simulation.results
}

impl Simulation {
    fn time(&self) -> time::NodeTime {
        time::NodeTime::from_millis(self.now)
    }

    /// Plays one millisecond.
    fn step(&mut self) {
        self.now += 1;
        while let Some((_, id)) = self.running.pop_front_if(|(at, _)| *at <= self.now) {
            let sample = limit::RunSample {
                latency: Duration::from_millis(RUN),
                downstream: Duration::ZERO,
                end: limit::RunEnd::Completed,
            };
            let decisions = self.queue.finish(self.time(), id, sample);
            let request = self.requests[id as usize];
            if let Some(phase) = phase(request) {
                self.results[request.account].served[phase] += 1.0;
            }
            self.apply(decisions);
        }
        let decisions = self.queue.wake(self.time());
        self.apply(decisions);
        while let Some((_, id)) = self.returning.pop_front_if(|(at, _)| *at <= self.now) {
            self.send(id);
        }
        for index in 0..self.accounts.len() {
            let account = self.accounts[index];
            let ratio = match BURST.contains(&self.now) {
                true => account.burst,
                false => account.usual,
            };
            let unit = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
            if unit < ratio * f64::from(account.quota) / 1_000.0 {
                let request = Request {
                    account: index,
                    first_at: self.now,
                    retries: if account.retries { RETRIES } else { 0 },
                };
                if let Some(phase) = phase(request) {
                    self.results[index].sent[phase] += 1.0;
                }
                self.requests.push(request);
                self.send(self.requests.len() as u64 - 1);
            }
        }
        if self.now.is_multiple_of(100) {
            self.line = self.queue.load(self.time()).cut;
        }
    }

    /// An attempt of a caller; each has an id of its own.
    fn send(&mut self, id: u64) {
        let account = account_id(self.requests[id as usize].account);
        let root = ident::RequestId(u128::from(self.rng.next_u64()));
        let demand = self.ledger.demand(self.time(), account).ratio.granted;
        let lane = match self.fair {
            true => fairness::QuotaShare::of(root, demand).lane(),
            false => fairness::uniform_lane(root),
        };
        let by_rule = self.banded.then_some(context::PriorityClass::High);
        let lane = by_rule.map_or(lane, |class| lane.with_class_band(class));
        let rank = rank::CallRank {
            class: context::PriorityClass::Normal,
            by_rule,
            depth: 0,
            lane: Reverse(lane),
        };
        if self.ledger.admit(self.time(), account, id) != effect::QuotaDecision::Granted {
            self.refused(id);
        } else if !rank::admits(self.line.as_ref(), &rank) {
            self.ledger.give_back(account);
            self.refused(id);
        } else {
            let call = admission::WaitingCall {
                id,
                rank,
                deadline: time::NodeTime::from_millis(self.now + 1_000),
                queue_wait: Duration::from_millis(400),
                suspect: false,
            };
            let decisions = self.queue.offer(self.time(), call);
            self.apply(decisions);
        }
    }

    fn apply(&mut self, decisions: Vec<admission::AdmissionDecision>) {
        for decision in decisions {
            match decision {
                admission::AdmissionDecision::Start(id) => {
                    self.running.push_back((self.now + RUN, id));
                }
                admission::AdmissionDecision::Refuse { id, .. } => {
                    let account = self.requests[id as usize].account;
                    self.ledger.give_back(account_id(account));
                    self.refused(id);
                }
            }
        }
    }

    fn refused(&mut self, id: u64) {
        let request = &mut self.requests[id as usize];
        if request.retries > 0 {
            request.retries -= 1;
            self.returning.push_back((self.now + RETRY_PAUSE, id));
        }
    }
}

fn phase(request: Request) -> Option<usize> {
    PHASES
        .iter()
        .position(|phase| phase.contains(&request.first_at))
}

fn account(quota: u32, usual: f64, burst: f64) -> Account {
    Account {
        quota,
        usual,
        burst,
        retries: false,
    }
}

/// The share of the quotas at which min(demand, share) of all accounts adds up to `served`.
fn max_min_share(accounts: &[Account], served: f64) -> f64 {
    let total = |share: f64| {
        let parts = accounts.iter();
        parts
            .map(|account| f64::from(account.quota) * account.burst.min(share))
            .sum::<f64>()
    };
    let mut bounds = (0.0, 20.0);
    for _ in 0..60 {
        let middle = (bounds.0 + bounds.1) / 2.0;
        match total(middle) < served {
            true => bounds.0 = middle,
            false => bounds.1 = middle,
        }
    }
    bounds.0
}

/// One account sends nine times its usual rate, so that the load is 2.5 times the usual one.
fn one_hot_account() -> Vec<Account> {
    let mut accounts = vec![account(135, 0.5, 4.5)];
    accounts.extend((0..7).map(|_| account(60, 0.5, 0.5)));
    accounts.extend((0..8).map(|_| account(20, 0.5, 0.5)));
    accounts
}

/// All accounts send more than usual, one of them nine times as much.
fn general_burst() -> Vec<Account> {
    let mut accounts = vec![account(60, 0.5, 4.5)];
    accounts.extend((0..4).map(|_| account(60, 0.4, 1.6)));
    accounts.extend((0..4).map(|_| account(60, 0.5, 1.0)));
    accounts.extend((0..8).map(|_| account(20, 0.3, 0.3)));
    accounts
}

/// All accounts send more than usual, and a third of them retry refused requests at once.
fn immediate_retries() -> Vec<Account> {
    let mut accounts = general_burst();
    for account in accounts.iter_mut().step_by(3) {
        account.retries = true;
    }
    accounts
}

// Guards against a burst of one account, or of all, that takes the service from those that ask for
// no more than their share: with uniform lanes they are served 0.45 to 0.9 of their requests. The
// others get the max-min share of their quotas.
fn accounts_get_max_min_shares(accounts: &[Account], banded: bool) {
    let results = simulate(accounts, banded, true);
    let total: f64 = results.iter().map(Served::rate).sum();
    assert!(total > CAPACITY * 0.95, "{total} requests a second");
    let share = max_min_share(accounts, total);
    for (account, served) in accounts.iter().zip(results) {
        let found = format!("{account:?}: {served:?}, share {share}");
        assert!(served.share(2) >= served.share(0) * 0.95, "{found}");
        match account.burst <= share {
            true => assert!(served.share(1) >= served.share(0) * 0.95, "{found}"),
            false => {
                let got = served.rate() / f64::from(account.quota);
                assert!((0.93..1.07).contains(&(got / share)), "{found}, got {got}");
            }
        }
    }
}

test_cases! {
    accounts_get_max_min_shares:
    one_account_nine_times => (&one_hot_account(), false),
    one_account_nine_times_in_a_band => (&one_hot_account(), true),
    all_accounts_with_one_nine_times => (&general_burst(), false),
    all_accounts_with_one_nine_times_in_a_band => (&general_burst(), true),
}

// Guards against lanes that pass the tests above without the accounts' demand.
#[test]
fn uniform_lanes_serve_modest_accounts_less() {
    let results = simulate(&one_hot_account(), true, false);
    assert!(results[1..].iter().all(|served| served.share(1) < 0.95));
}

// Callers of a third of the accounts send refused requests again at once, under new ids. Their
// accounts must not get more than equal ones whose callers do not, and the modest accounts must not
// be served less.
#[test]
fn immediate_retries_gain_nothing() {
    let accounts = immediate_retries();
    let results = simulate(&accounts, true, true);
    for (account, served) in accounts.iter().zip(&results) {
        let found = format!("{account:?}: {served:?}");
        if account.burst < 0.5 {
            assert!(served.share(1) >= served.share(0) * 0.95, "{found}");
        }
        let equals = accounts.iter().zip(&results).filter(|(other, _)| {
            (other.burst, other.retries) == (account.burst, false) && account.retries
        });
        let rates: Vec<_> = equals.map(|(_, served)| served.rate()).collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        if account.burst >= 1.0 && !rates.is_empty() {
            assert!(served.rate() <= mean * 1.05, "{found}, others {mean}");
        }
    }
}

/// Share of its quota that a line at `lane` admits of an account, over many requests.
fn admitted(demand: f64, lane: context::LaneHash, band: Option<context::PriorityClass>) -> f64 {
    let requests = (0..40_000_u128).map(|id| ident::RequestId(id << 64 | 7));
    let lanes = requests.map(|request| fairness::QuotaShare::of(request, demand).lane());
    let banded = |lane: context::LaneHash| band.map_or(lane, |class| lane.with_class_band(class));
    let admitted = lanes.filter(|one| banded(*one) <= banded(lane)).count();
    demand * admitted as f64 / 40_000.0
}

// One line must give every account min(demand, share) of its quota, and some line must do so for
// any share, or the capacity between two lines is given to nobody. A class band has 64 lanes.
fn one_line_gives_max_min_shares(share: f64, band: Option<context::PriorityClass>) {
    // The last of the lanes that share one in the band.
    let width = if band.is_some() { 4 } else { 1 };
    let ends = (0..=255_u8).filter(|lane| lane % width == width - 1);
    let ends = ends.map(context::LaneHash);
    let admits = |lane: context::LaneHash| match band {
        Some(class) => fairness::QuotaShare::admitted_in_band(lane.with_class_band(class)),
        None => fairness::QuotaShare::admitted_by(lane),
    };
    let distance = |lane: &context::LaneHash| (admits(*lane).ratio() / share).ln().abs();
    let nearest = ends.min_by(|one, other| distance(one).total_cmp(&distance(other)));
    let lane = nearest.expect("there are lanes");
    for demand in [0.05, 0.2, 0.5, 1.0, 3.0, 9.0] {
        let expected = f64::min(demand, share);
        let error = admitted(demand, lane, band) / expected - 1.0;
        // Of 40,000 requests at nine times the quota, few are admitted: 2% is their fluctuation.
        let chance = 3.0 * (demand / expected / 40_000.0).sqrt();
        assert!(
            error.abs() < 0.05 + chance,
            "demand {demand}, share {share}: {error}"
        );
    }
}

const BAND: Option<context::PriorityClass> = Some(context::PriorityClass::High);

test_cases! {
    one_line_gives_max_min_shares:
    small_share => (0.1, None),
    half => (0.5, None),
    hot => (5.0, None),
    small_share_in_a_band => (0.1, BAND),
    third_in_a_band => (0.33, BAND),
    half_in_a_band => (0.5, BAND),
    quota_in_a_band => (1.0, BAND),
    hot_in_a_band => (5.0, BAND),
}

// A retry budget that reserves a part for the lower lanes must not prefer the admitted requests of
// hot accounts, which all have small random fractions.
#[test]
fn uniform_lane_does_not_depend_on_the_random_fraction() {
    let requests = (0..100_000_u128).map(ident::RequestId);
    let admitted = requests.filter(|request| fairness::random_fraction(*request) < 0.1);
    let lanes = admitted.map(|request| f64::from(fairness::uniform_lane(request).0));
    let lanes: Vec<_> = lanes.collect();
    let mean = lanes.iter().sum::<f64>() / lanes.len() as f64;
    assert!((9_500..10_500).contains(&lanes.len()), "{}", lanes.len());
    assert!((124.0..131.0).contains(&mean), "{mean}");
}
