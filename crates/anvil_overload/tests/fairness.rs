//! Accounts that share a scarce service by fair lanes, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::{admission, fairness, limit, policy, rank};
use anvil_quota::{effect, ledger};
use anvil_testkit::test_cases;
use anvil_types::{account, context, ident, time};
use rand_core::{Rng, SeedableRng};

/// Slots of the scarce service, and the time that each request holds one.
const SLOTS: u32 = 40;
const RUN: Duration = Duration::from_millis(100);

/// Requests a second that the service completes.
const CAPACITY: f64 = 400.0;

/// Start and end of the burst, in seconds.
const BURST: (f64, f64) = (20.0, 65.0);

/// Seconds after a change of the load within which shares are not evaluated.
const ADJUSTMENT: f64 = 2.0;

/// How soon a caller that retries at once is back, and how often it retries.
const RETRY_PAUSE: f64 = 0.02;
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
    first_at: f64,
    retries: u8,
}

/// Requests of an account in one phase, and how many of them were completed.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: f64,
    served: f64,
}

struct Simulation {
    accounts: Vec<Account>,
    banded: bool,
    fair: bool,
    rng: rand_pcg::Pcg64Mcg,
    ledger: ledger::QuotaLedger,
    queue: admission::AdmissionQueue,
    /// The line as the entry nodes know it, a tenth of a second old at most.
    line: Option<anvil_wire::call::CutLine>,
    line_at: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    /// By sequence.
    open: Vec<Option<Request>>,
    /// By account: before the burst, within it, and after it.
    tallies: Vec<[Tally; 3]>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new request of an account; schedules the next one.
    Arrive(usize),
    /// A refused caller is back.
    Return(u64),
    End(u64),
}

fn at(seconds: f64) -> time::NodeTime {
    time::NodeTime((seconds * 1e6) as u64)
}

fn account_id(index: usize) -> account::AccountId {
    account::AccountId(index as u64 + 1)
}

impl Simulation {
    fn new(accounts: &[Account], banded: bool, fair: bool) -> Self {
        let policy = policy::OverloadPolicy {
            cold_ramp: false,
            adaptive_limit: false,
            ..policy::OverloadPolicy::FULL
        };
        let own = ident::NodeId(1);
        let mode = ledger::TokenMode::Ahead;
        let mut ledger = ledger::QuotaLedger::new(own, mode).with_stated_demand();
        ledger.member_up(at(0.0), own, SocketAddr::from(([127, 0, 0, 1], 1)));
        let quotas = accounts.iter().enumerate().map(|(index, account)| {
            let quota = account::AccountQuota::per_second(account.quota, account.quota);
            (account_id(index), quota)
        });
        ledger.set_quotas(at(0.0), &quotas.collect::<Vec<_>>());
        let mut simulation = Self {
            accounts: accounts.to_vec(),
            banded,
            fair,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(5),
            ledger,
            queue: admission::AdmissionQueue::new(at(0.0), SLOTS, policy),
            line: None,
            line_at: 0.0,
            events: BinaryHeap::new(),
            sequence: 0,
            open: Vec::new(),
            tallies: vec![[Tally::default(); 3]; accounts.len()],
        };
        for index in 0..accounts.len() {
            simulation.schedule_arrival(0.0, index);
        }
        simulation
    }

    fn push(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        let micros = (at * 1e6) as u64;
        self.events.push(Reverse((micros, self.sequence, event)));
    }

    fn schedule_arrival(&mut self, now: f64, index: usize) {
        let account = self.accounts[index];
        let ratio = match (BURST.0..BURST.1).contains(&now) {
            true => account.burst,
            false => account.usual,
        };
        let unit = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let gap = -(1.0 - unit).ln() / (ratio * f64::from(account.quota));
        self.push(now + gap, Event::Arrive(index));
    }

    /// The tally of a request that was first sent at `first_at`.
    fn tally(&mut self, request: Request) -> Option<&mut Tally> {
        let phase = match request.first_at {
            at if (5.0..BURST.0 - 1.0).contains(&at) => 0,
            at if (BURST.0 + ADJUSTMENT..BURST.1 - 1.0).contains(&at) => 1,
            at if (BURST.1 + ADJUSTMENT..BURST.1 + 10.0).contains(&at) => 2,
            _ => return None,
        };
        Some(&mut self.tallies[request.account][phase])
    }

    fn run(mut self) -> Vec<[Tally; 3]> {
        while let Some(Reverse((micros, _, event))) = self.events.pop() {
            let now = micros as f64 / 1e6;
            if now > BURST.1 + 11.0 {
                break;
            }
            match event {
                Event::Arrive(account) => {
                    self.schedule_arrival(now, account);
                    let request = Request {
                        account,
                        first_at: now,
                        retries: if self.accounts[account].retries {
                            RETRIES
                        } else {
                            0
                        },
                    };
                    if let Some(tally) = self.tally(request) {
                        tally.sent += 1.0;
                    }
                    self.open.push(Some(request));
                    self.send(now, self.open.len() as u64 - 1);
                }
                Event::Return(id) => self.send(now, id),
                Event::End(id) => {
                    let sample = limit::RunSample {
                        latency: RUN,
                        downstream: Duration::ZERO,
                        end: limit::RunEnd::Completed,
                    };
                    let decisions = self.queue.finish(at(now), id, sample);
                    if let Some(request) = self.open[id as usize].take()
                        && let Some(tally) = self.tally(request)
                    {
                        tally.served += 1.0;
                    }
                    self.apply(now, decisions);
                }
            }
            let decisions = self.queue.wake(at(now));
            self.apply(now, decisions);
            if now - self.line_at > 0.1 {
                self.line = self.queue.load(at(now)).cut;
                self.line_at = now;
            }
        }
        self.tallies
    }

    /// An attempt of a caller; each has an id of its own.
    fn send(&mut self, now: f64, id: u64) {
        let Some(request) = self.open[id as usize] else {
            return;
        };
        let account = account_id(request.account);
        let root = ident::RequestId(u128::from(self.rng.next_u64()));
        let demand = self.ledger.demand(at(now), account).ratio.granted;
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
        if self.ledger.admit(at(now), account, id) != effect::QuotaDecision::Granted {
            self.refused(now, id);
            return;
        }
        if !rank::admits(self.line.as_ref(), &rank) {
            self.ledger.give_back(account);
            self.refused(now, id);
            return;
        }
        let call = admission::WaitingCall {
            id,
            rank,
            deadline: at(now + 1.0),
            queue_wait: Duration::from_millis(400),
            suspect: false,
        };
        let decisions = self.queue.offer(at(now), call);
        self.apply(now, decisions);
    }

    fn apply(&mut self, now: f64, decisions: Vec<admission::AdmissionDecision>) {
        for decision in decisions {
            match decision {
                admission::AdmissionDecision::Start(id) => {
                    self.push(now + RUN.as_secs_f64(), Event::End(id));
                }
                admission::AdmissionDecision::Refuse { id, .. } => {
                    if let Some(request) = self.open[id as usize] {
                        self.ledger.give_back(account_id(request.account));
                    }
                    self.refused(now, id);
                }
            }
        }
    }

    fn refused(&mut self, now: f64, id: u64) {
        let Some(request) = &mut self.open[id as usize] else {
            return;
        };
        if request.retries == 0 {
            self.open[id as usize] = None;
            return;
        }
        request.retries -= 1;
        self.push(now + RETRY_PAUSE, Event::Return(id));
    }
}

/// Result of one account.
#[derive(Clone, Copy, Debug)]
struct Served {
    /// The share of its requests that was served before the burst, within it, and after it.
    before: f64,
    within: f64,
    after: f64,
    /// Requests served a second within the burst.
    rate: f64,
}

fn simulate(accounts: &[Account], banded: bool, fair: bool) -> Vec<Served> {
    let tallies = Simulation::new(accounts, banded, fair).run();
    let span = BURST.1 - 1.0 - (BURST.0 + ADJUSTMENT);
    let share = |tally: Tally| tally.served / tally.sent;
    let results = tallies.into_iter();
    results
        .map(|[before, within, after]| Served {
            before: share(before),
            within: share(within),
            after: share(after),
            rate: within.served / span,
        })
        .collect()
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
    let total: f64 = results.iter().map(|result| result.rate).sum();
    assert!(total > CAPACITY * 0.95, "{total} requests a second");
    let share = max_min_share(accounts, total);
    for (account, served) in accounts.iter().zip(results) {
        let found = format!("{account:?}: {served:?}, share {share}");
        assert!(served.after >= served.before * 0.95, "{found}");
        match account.burst <= share {
            true => assert!(served.within >= served.before * 0.95, "{found}"),
            false => {
                let got = served.rate / f64::from(account.quota);
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
    assert!(results[1..].iter().all(|served| served.within < 0.95));
}

// Callers of a third of the accounts send refused requests again at once, under new ids. Their
// accounts must not get more than equal ones whose callers do not, and the modest accounts must not
// be served less.
#[test]
fn immediate_retries_gain_nothing() {
    let accounts = immediate_retries();
    let results = simulate(&accounts, true, true);
    for (index, account) in accounts.iter().enumerate() {
        let served = results[index];
        if account.burst < 0.5 {
            assert!(
                served.within >= served.before * 0.95,
                "{account:?}: {served:?}"
            );
        }
        let equal = |other: &Account| (other.burst, other.retries) == (account.burst, false);
        let others = accounts
            .iter()
            .zip(&results)
            .filter(|(other, _)| equal(other));
        let others: Vec<_> = others.map(|(_, result)| result.rate).collect();
        if account.retries && account.burst >= 1.0 && !others.is_empty() {
            let mean = others.iter().sum::<f64>() / others.len() as f64;
            let found = format!("{account:?}: {served:?}, others {mean}");
            assert!(served.rate <= mean * 1.05, "{found}");
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
