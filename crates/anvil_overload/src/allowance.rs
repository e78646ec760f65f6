//! Retry allowance of one branch of a call chain; see `docs/design/retries.md`.

use serde::Serialize;

#[derive(Clone, Copy, Debug, Serialize)]
struct RetryLoan {
    id: u64,
    amount: u16,
}

/// A pool of retries that is lent to downstream calls and spent locally.
///
/// If each hop retries on its own, retries multiply along the chain and a service at the bottom
/// sees tens of attempts for one root request. Here every retry comes out of the allowance of the
/// root request: a loan cannot be spent locally until it is returned, and a loan that is never
/// returned counts as spent. The retries below a root therefore never exceed its bound.
#[derive(Clone, Debug, Serialize)]
pub struct ChainAllowance {
    pool: u16,
    spent: u16,
    /// Sorted by id.
    loans: Vec<RetryLoan>,
}

impl ChainAllowance {
    /// Creates a pool of `bound` retries.
    pub fn new(bound: u16) -> Self {
        Self {
            pool: bound,
            spent: 0,
            loans: Vec::new(),
        }
    }

    /// Retries that can be spent locally now, without those that are lent.
    pub fn available(&self) -> u16 {
        self.pool
    }

    /// Spends one retry; returns false if none is available.
    pub fn spend(&mut self) -> bool {
        let left = self.pool > 0;
        if left {
            self.pool -= 1;
            self.spent += 1;
        }
        left
    }

    /// Lends the next attempt of this call all retries but one, which is reserved in case the
    /// attempt is lost with its node. A single retry is lent, because it is worth most downstream.
    pub fn lend_attempt(&mut self, id: u64) -> u16 {
        let reserve = u16::from(self.pool > 1);
        self.lend(id, self.pool - reserve)
    }

    /// Lends a downstream call the larger half, so that concurrent calls get a share as well, but
    /// at most `max`, which the rule of that call allows.
    pub fn lend_child(&mut self, id: u64, max: u16) -> u16 {
        self.lend(id, self.pool.div_ceil(2).min(max))
    }

    /// Lends a downstream call an equal part of the pool, if `sharers` calls including this one are
    /// expected to draw on it, but at most `max`.
    pub fn lend_share(&mut self, id: u64, sharers: u16, max: u16) -> u16 {
        self.lend(id, self.pool.div_ceil(sharers.max(1)).min(max))
    }

    /// Adds one retry to the loan of call `id`, which has used up its own; returns false if none is
    /// left or the call has no loan.
    pub fn extend(&mut self, id: u64) -> bool {
        let index = self.loans.binary_search_by_key(&id, |loan| loan.id);
        match index {
            Ok(index) if self.pool > 0 => {
                self.pool -= 1;
                self.loans[index].amount += 1;
                true
            }
            _ => false,
        }
    }

    /// Takes over one retry by which the lender has extended the loan of this call.
    pub fn add_extension(&mut self) {
        self.pool += 1;
    }

    /// Returns the unspent part of the loan of call `id`. Repeated and late answers have no effect,
    /// and a call that reports more than its loan is charged only the loan.
    pub fn settle(&mut self, id: u64, spent: u16) {
        let Ok(index) = self.loans.binary_search_by_key(&id, |loan| loan.id) else {
            return;
        };
        let loan = self.loans.remove(index);
        let spent = spent.min(loan.amount);
        self.spent += spent;
        self.pool += loan.amount - spent;
    }

    /// Counts the loan of a call whose answer will not arrive as spent.
    pub fn write_off(&mut self, id: u64) {
        self.settle(id, u16::MAX);
    }

    /// Retries spent so far; outstanding loans count in full.
    pub fn spent(&self) -> u16 {
        let lent: u16 = self.loans.iter().map(|loan| loan.amount).sum();
        self.spent + lent
    }

    fn lend(&mut self, id: u64, amount: u16) -> u16 {
        match self.loans.binary_search_by_key(&id, |loan| loan.id) {
            // Two loans with the same id could not be told apart when they are settled.
            Ok(_) => 0,
            Err(index) => {
                self.pool -= amount;
                self.loans.insert(index, RetryLoan { id, amount });
                amount
            }
        }
    }
}
