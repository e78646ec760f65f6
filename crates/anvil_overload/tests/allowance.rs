//! Retry allowance over whole call trees, compared with independent retries at each hop.

use anvil_overload::allowance;
use anvil_types::{ident, time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_core::{Rng, SeedableRng};

use anvil_overload::resend;

/// Maximum number of calls of one tree, so that wide and deep trees end.
const MAX_CALLS: u32 = 3_000;

/// A call tree with failing attempts, and lost, repeated and reordered answers.
struct CallTree {
    rng: rand_pcg::Pcg32,
    depth: u32,
    loss_percent: u32,
    calls: u32,
    retries: u64,
}

impl CallTree {
    fn percent(&mut self, share: u32) -> bool {
        self.rng.next_u32() % 100 < share
    }

    /// Makes one call with `grant` retries; returns the number of spent retries that its answer
    /// reports.
    fn call(&mut self, depth: u32, grant: u16) -> u16 {
        self.calls += 1;
        let mut pool = allowance::ChainAllowance::new(grant);
        let mut attempt = 0;
        loop {
            attempt += 1;
            let lent = pool.lend_attempt(attempt);
            let spent = self.run(depth, lent);
            let lost = self.percent(self.loss_percent);
            if lost {
                pool.write_off(attempt);
                // The answer arrives late, after the attempt was given up.
                pool.settle(attempt, spent);
            } else {
                pool.settle(attempt, spent);
                // A repeated answer has no effect.
                pool.settle(attempt, 0);
            }
            let failed = lost || self.percent(60);
            if !failed || !pool.spend() {
                return pool.spent();
            }
            self.retries += 1;
        }
    }

    /// Runs one attempt, whose calls are concurrent and answered in any order.
    fn run(&mut self, depth: u32, grant: u16) -> u16 {
        let mut pool = allowance::ChainAllowance::new(grant);
        if depth == self.depth {
            return 0;
        }
        let width = self.rng.next_u32() % 4;
        let mut open = Vec::new();
        for child in 0..u64::from(width) {
            if self.calls < MAX_CALLS {
                open.push((child, pool.lend_child(child, u16::MAX)));
            }
        }
        while !open.is_empty() {
            let index = self.rng.next_u32() as usize % open.len();
            let (child, lent) = open.swap_remove(index);
            let spent = self.call(depth + 1, lent);
            if self.percent(90) {
                pool.settle(child, spent);
            }
        }
        pool.spent()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A root request makes a tree of calls up to 27 deep. Attempts fail, answers are lost, repeated
    // or late, and calls are concurrent. All retries of the tree stay within the allowance of the
    // root, and the answer never reports fewer than there were.
    #[test]
    fn retries_of_a_tree_stay_within_the_root(
        seed in any::<u64>(),
        bound in 0_u16..24,
        depth in 1_u32..=27,
        loss_percent in 0_u32..50,
    ) {
        let rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut tree = CallTree { rng, depth, loss_percent, calls: 0, retries: 0 };
        let reported = tree.call(1, bound);
        prop_assert!(tree.retries <= u64::from(bound));
        prop_assert!(u64::from(reported) >= tree.retries);
        prop_assert!(reported <= bound);
    }
}

/// Attempts at the last service of a chain that always fails, if every hop makes up to `retries`
/// retries on its own.
fn naive_attempts(depth: u32, retries: u64) -> u64 {
    match depth {
        0 => 1,
        _ => (0..=retries)
            .map(|_| naive_attempts(depth - 1, retries))
            .sum(),
    }
}

// The last service of a chain fails every attempt. With three retries at each of six hops it
// receives 4,096 attempts for one request; with the chain allowance, four.
#[test]
fn allowance_replaces_the_product_of_hops() {
    fn chained(depth: u32, grant: u16, attempts: &mut u64) -> u16 {
        let mut pool = allowance::ChainAllowance::new(grant);
        let mut attempt = 0;
        loop {
            attempt += 1;
            let lent = pool.lend_attempt(attempt);
            let spent = if depth == 1 {
                *attempts += 1;
                0
            } else {
                chained(depth - 1, lent, attempts)
            };
            pool.settle(attempt, spent);
            if !pool.spend() {
                return pool.spent();
            }
        }
    }
    let mut attempts = 0;
    let spent = chained(6, 3, &mut attempts);
    assert_eq!((attempts, spent), (4, 3));
    assert_eq!(naive_attempts(6, 3), 4_096);
}

// A caller resends a request with the same id. A copy that follows a dispatched one pays for
// itself, a copy beside a running one gets no retries, and one that was refused at this node costs
// nothing.
#[test]
fn copies_share_one_allowance() {
    let at = time::NodeTime::from_millis;
    let id = ident::RequestId(7);
    let mut ledger = resend::ResendLedger::default();
    assert_eq!(ledger.begin(at(0), id, 2), resend::ResendGrant::Granted(2));
    assert_eq!(ledger.begin(at(1), id, 2), resend::ResendGrant::Spent);
    ledger.end(at(2), id, 2, false);
    assert_eq!(ledger.begin(at(3), id, 2), resend::ResendGrant::Granted(2));
    ledger.end(at(4), id, 1, true);
    assert_eq!(ledger.begin(at(5), id, 2), resend::ResendGrant::Granted(0));
    ledger.end(at(6), id, 0, true);
    assert_eq!(ledger.begin(at(7), id, 2), resend::ResendGrant::Spent);
    let later = at(7) + resend::RESEND_TTL;
    assert_eq!(ledger.begin(later, id, 2), resend::ResendGrant::Granted(2));
}

// A flood of ids evicts the oldest ones: memory stays bounded, and the latest ids are retained.
#[test]
fn ledger_is_bounded() {
    let now = time::NodeTime::START;
    let mut ledger = resend::ResendLedger::default();
    let last = 10 * resend::GENERATION_CAPACITY as u128;
    for id in 0..=last {
        ledger.begin(now, ident::RequestId(id), 3);
        ledger.end(now, ident::RequestId(id), 0, true);
    }
    let spent = resend::ResendGrant::Spent;
    assert_eq!(ledger.begin(now, ident::RequestId(last), 3), spent);
    let forgotten = resend::ResendGrant::Granted(3);
    assert_eq!(ledger.begin(now, ident::RequestId(0), 3), forgotten);
}

// Two concurrent calls are lent half of the retries each, and one of them is refused more often
// than its loan covers. It may draw on what the other returned, but never on more than the root has.
#[test]
fn extended_loans_stay_within_the_root() {
    let mut run = allowance::ChainAllowance::new(6);
    let loans = [run.lend_share(1, 2, 24), run.lend_share(2, 1, 24)];
    assert_eq!(loans, [3, 3]);
    let mut call = allowance::ChainAllowance::new(loans[0]);
    assert!(!run.extend(1));
    run.settle(2, 1);
    let mut retries = 0;
    loop {
        if call.available() == 0 && run.extend(1) {
            call.add_extension();
        }
        if !call.spend() {
            break;
        }
        retries += 1;
    }
    run.settle(1, call.spent());
    assert_eq!((retries, run.spent(), run.available()), (5, 6, 0));
}
