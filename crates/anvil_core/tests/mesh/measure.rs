//! What became of the requests.

use std::time::Duration;

use anvil_types::{context, verdict};

use super::Mesh;

/// What became of one root request.
#[derive(Clone, Debug)]
pub(crate) struct Root {
    pub(crate) kind: &'static str,
    pub(crate) class: context::PriorityClass,
    pub(crate) arrived: f64,
    pub(crate) whole: Option<f64>,
    pub(crate) ended: Option<f64>,
    pub(crate) verdict: Option<verdict::CallVerdict>,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) copies: u32,
    pub(crate) runs: u32,
}

impl Mesh {
    /// Share of the roots of `class` that arrived in the span and became whole.
    pub(crate) fn share(&self, class: context::PriorityClass, from: f64, to: f64) -> f64 {
        let wanted =
            |root: &&Root| root.class == class && root.arrived >= from && root.arrived < to;
        let all = self.roots.iter().filter(wanted);
        let (mut whole, mut count) = (0.0, 0.0);
        for root in all {
            count += 1.0;
            whole += f64::from(u8::from(root.whole.is_some()));
        }
        whole / count
    }

    /// Share of the side requests that arrived in the span and became whole.
    pub(crate) fn side_share(&self, from: f64, to: f64) -> f64 {
        let wanted =
            |root: &&Root| root.kind == "search" && root.arrived >= from && root.arrived < to;
        let all = self.roots.iter().filter(wanted).count().max(1);
        let whole = |root: &&Root| wanted(root) && root.whole.is_some();
        let whole = self.roots.iter().filter(whole).count();
        f64::from(u32::try_from(whole).unwrap()) / f64::from(u32::try_from(all).unwrap())
    }

    /// Whole answers a second within the span.
    pub(crate) fn goodput(&self, from: f64, to: f64) -> f64 {
        let whole = self.roots.iter().filter_map(|root| root.whole);
        let count = whole.filter(|at| *at >= from && *at < to).count();
        f64::from(u32::try_from(count).unwrap()) / (to - from)
    }

    /// Seconds from `from` until half a second passes in which at least 95% of the roots that
    /// arrive become whole.
    pub(crate) fn recovery(&self, from: f64) -> Option<f64> {
        let mut start = from;
        while start + 0.5 <= self.plan.until - 2.0 {
            let arrived = |root: &&Root| root.arrived >= start && root.arrived < start + 0.5;
            let all = self.roots.iter().filter(arrived).count();
            let whole = |root: &&Root| arrived(root) && root.whole.is_some();
            let good = self.roots.iter().filter(whole).count();
            if good * 100 >= all * 95 {
                return Some(start - from);
            }
            start += 0.1;
        }
        None
    }

    /// Runs that served no root which became whole, as a share of all.
    pub(crate) fn waste(&self) -> f64 {
        let all: u32 = self.roots.iter().map(|root| root.runs).sum();
        let lost = self.roots.iter().filter(|root| root.whole.is_none());
        let lost: u32 = lost.map(|root| root.runs).sum();
        f64::from(lost) / f64::from(all.max(1))
    }

    /// The most runs that any one root caused.
    pub(crate) fn most_runs(&self) -> f64 {
        let runs = self.roots.iter().map(|root| root.runs);
        f64::from(runs.max().unwrap_or(0))
    }
}
