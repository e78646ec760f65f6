//! Measurements over the requests of a simulation.

use std::time::Duration;

use anvil_types::{context, verdict};

use super::Mesh;

/// A request of an external caller and its result; times are in seconds since the start.
#[derive(Clone, Debug)]
pub(crate) struct Root {
    pub(crate) kind: &'static str,
    pub(crate) class: context::PriorityClass,
    pub(crate) arrived: f64,
    /// When the caller got its first successful answer.
    pub(crate) answered_at: Option<f64>,
    /// When the caller got its last reply.
    pub(crate) ended: Option<f64>,
    pub(crate) verdict: Option<verdict::CallVerdict>,
    pub(crate) retry_after: Option<Duration>,
    /// How often the caller sent it.
    pub(crate) copies: u32,
    /// Runs at all services on its behalf.
    pub(crate) runs: u32,
    /// Runs at the deepest service on its behalf.
    pub(crate) scarce_runs: u32,
}

/// Results of the requests of one kind; shares are 1 or 0 if there is nothing to divide by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindShares {
    /// Share of all requests that were answered successfully.
    pub(crate) served: f64,
    /// Share of the started requests that were answered successfully; a request is started once it
    /// has had a run at any service.
    pub(crate) completed: f64,
    /// Share of the runs at the deepest service that served requests without a successful answer.
    pub(crate) wasted: f64,
}

impl Mesh {
    /// Share of the roots of `class` arriving between `from` and `to` that were answered
    /// successfully.
    pub(crate) fn share(&self, class: context::PriorityClass, from: f64, to: f64) -> f64 {
        let is_counted =
            |root: &&Root| root.class == class && root.arrived >= from && root.arrived < to;
        let all = self.roots.iter().filter(is_counted);
        let (mut succeeded, mut count) = (0.0, 0.0);
        for root in all {
            count += 1.0;
            succeeded += f64::from(u8::from(root.answered_at.is_some()));
        }
        succeeded / count
    }

    /// Share of the side requests arriving between `from` and `to` that were answered successfully.
    pub(crate) fn side_share(&self, from: f64, to: f64) -> f64 {
        let is_counted =
            |root: &&Root| root.kind == "search" && root.arrived >= from && root.arrived < to;
        let all = self.roots.iter().filter(is_counted).count().max(1);
        let succeeded = |root: &&Root| is_counted(root) && root.answered_at.is_some();
        let succeeded = self.roots.iter().filter(succeeded).count();
        f64::from(u32::try_from(succeeded).unwrap()) / f64::from(u32::try_from(all).unwrap())
    }

    /// Results of the requests of `kind` arriving between `from` and `to`; all kinds if it is empty.
    pub(crate) fn shares(&self, kind: &str, from: f64, to: f64) -> KindShares {
        self.shares_where(from, to, |known| kind.is_empty() || known == kind)
    }

    /// Results of the requests that need the deepest service of the scarce mesh.
    pub(crate) fn scarce_shares(&self, from: f64, to: f64) -> KindShares {
        self.shares_where(from, to, |known| known != "search")
    }

    fn shares_where<Filter>(&self, from: f64, to: f64, filter: Filter) -> KindShares
    where
        Filter: Fn(&str) -> bool,
    {
        let is_counted =
            |root: &&Root| filter(root.kind) && root.arrived >= from && root.arrived < to;
        let (mut all, mut started, mut succeeded, mut runs, mut wasted) = (0, 0, 0, 0, 0);
        for root in self.roots.iter().filter(is_counted) {
            let is_answered = root.answered_at.is_some();
            all += 1;
            started += u32::from(root.runs > 0);
            succeeded += u32::from(is_answered);
            runs += root.scarce_runs;
            wasted += if is_answered { 0 } else { root.scarce_runs };
        }
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        KindShares {
            served: share(succeeded, all),
            completed: if started == 0 {
                1.0
            } else {
                share(succeeded, started)
            },
            wasted: share(wasted, runs),
        }
    }

    /// Successful answers a second between `from` and `to`.
    pub(crate) fn goodput(&self, from: f64, to: f64) -> f64 {
        let answers = self.roots.iter().filter_map(|root| root.answered_at);
        let count = answers.filter(|at| *at >= from && *at < to).count();
        f64::from(u32::try_from(count).unwrap()) / (to - from)
    }

    /// Seconds from `from` until the first half second in which at least 95% of the arriving roots
    /// are answered successfully.
    pub(crate) fn recovery(&self, from: f64) -> Option<f64> {
        let mut start = from;
        while start + 0.5 <= self.plan.until - 2.0 {
            let arrived = |root: &&Root| root.arrived >= start && root.arrived < start + 0.5;
            let all = self.roots.iter().filter(arrived).count();
            let succeeded = |root: &&Root| arrived(root) && root.answered_at.is_some();
            let answered = self.roots.iter().filter(succeeded).count();
            if answered * 100 >= all * 95 {
                return Some(start - from);
            }
            start += 0.1;
        }
        None
    }

    /// Share of all runs that served roots without a successful answer.
    pub(crate) fn waste(&self) -> f64 {
        let all: u32 = self.roots.iter().map(|root| root.runs).sum();
        let failed = self.roots.iter().filter(|root| root.answered_at.is_none());
        let wasted: u32 = failed.map(|root| root.runs).sum();
        f64::from(wasted) / f64::from(all.max(1))
    }

    /// The largest number of runs that any one root caused.
    pub(crate) fn max_runs_per_root(&self) -> f64 {
        let runs = self.roots.iter().map(|root| root.runs);
        f64::from(runs.max().unwrap_or(0))
    }
}
