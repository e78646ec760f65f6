//! Retries that one branch of a chain may still spend; see `docs/design/retries.md`.

use serde::Serialize;

#[derive(Clone, Copy, Debug, Serialize)]
struct RetryLoan {
    id: u64,
    amount: u16,
}

/// A pool of retries, lent to calls below and spent here.
///
/// Failure: each hop retries by itself, so a chain multiplies load on its way down. Symptom: a
/// service at the bottom sees tens of attempts for one root request. Here a retry spends from what
/// the root was given: what is lent can't be spent here meanwhile, and what does not come back
/// counts as spent. So the retries below a root never sum up to more than its bound.
#[derive(Clone, Debug, Serialize)]
pub struct ChainAllowance {
    pool: u16,
    spent: u16,
    /// Sorted by identity.
    loans: Vec<RetryLoan>,
}

impl ChainAllowance {
    /// A pool of `bound` retries.
    pub fn new(bound: u16) -> Self {
        Self {
            pool: bound,
            spent: 0,
            loans: Vec::new(),
        }
    }

    /// Retries that may be spent here at present.
    pub fn available(&self) -> u16 {
        self.pool
    }

    /// Spends one; false where none is left.
    pub fn spend(&mut self) -> bool {
        let left = self.pool > 0;
        if left {
            self.pool -= 1;
            self.spent += 1;
        }
        left
    }

    /// Lends to the next attempt of this call all but one, which stays for the case that the
    /// attempt is lost with its node; a single one is lent, since it is worth most below.
    pub fn lend_attempt(&mut self, id: u64) -> u16 {
        let kept = u16::from(self.pool > 1);
        self.lend(id, self.pool - kept)
    }

    /// Lends to one call of a run the larger half, so that calls made at the same time get a
    /// share as well; never more than `most`, which the call's own rule allows.
    pub fn lend_child(&mut self, id: u64, most: u16) -> u16 {
        self.lend(id, self.pool.div_ceil(2).min(most))
    }

    /// Takes back what the call `id` did not spend. Repeated and late answers, and what a call
    /// claims beyond its loan, change nothing.
    pub fn settle(&mut self, id: u64, spent: u16) {
        let Ok(place) = self.loans.binary_search_by_key(&id, |loan| loan.id) else {
            return;
        };
        let loan = self.loans.remove(place);
        let spent = spent.min(loan.amount);
        self.spent += spent;
        self.pool += loan.amount - spent;
    }

    /// Writes off the loan of a call whose answer will not come.
    pub fn write_off(&mut self, id: u64) {
        self.settle(id, u16::MAX);
    }

    /// All that was spent, where calls that are still out count in full.
    pub fn spent(&self) -> u16 {
        let lent: u16 = self.loans.iter().map(|loan| loan.amount).sum();
        self.spent + lent
    }

    fn lend(&mut self, id: u64, amount: u16) -> u16 {
        match self.loans.binary_search_by_key(&id, |loan| loan.id) {
            // A second loan under one name could not be told apart when it comes back.
            Ok(_) => 0,
            Err(place) => {
                self.pool -= amount;
                self.loans.insert(place, RetryLoan { id, amount });
                amount
            }
        }
    }
}
