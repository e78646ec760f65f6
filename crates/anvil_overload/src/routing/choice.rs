//! Chooses among the targets of one service.

use std::time::Duration;

use anvil_types::{ident, name, time};
use rand_core::Rng;
use rand_pcg::Pcg32;
use serde::Serialize;

use crate::routing::{completion, placement, sizes, target, window};
use crate::{cut, kind, policy, rank, routing};

/// Number of targets with known lines from which the lines of the other targets are inferred.
const MIN_KNOWN_LINES: usize = 2;

/// The targets of one service, as known by a caller's node.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ServiceRoutes {
    pub(super) service: name::ServiceName,
    turn: usize,
    /// Time at which all reported lines have expired, so that services without lines cost nothing.
    pub(super) lines_until: time::NodeTime,
    /// Cut lines of the downstream services.
    pub(super) deep: cut::CutTable,
    /// Mean sizes of the answers.
    pub(super) sizes: sizes::AnswerSizes,
    /// The choices by expected completion.
    pub(super) placement: placement::PlacementRecord,
    /// Sorted by node.
    pub(super) targets: Vec<target::TargetRoute>,
}

/// What is known of the targets of a service that have reported.
#[derive(Clone, Copy, Debug, Default)]
struct KnownMeans {
    sum_micros: f64,
    count: f64,
    /// Whether any of them names a rate.
    has_limited: bool,
}

impl KnownMeans {
    fn add(&mut self, target: &target::TargetRoute, usual_micros: Option<f64>) {
        self.has_limited |= target.is_rate_limited();
        if let Some(micros) = usual_micros {
            self.sum_micros += micros;
            self.count += 1.0;
        }
    }

    /// The mean of the usual run times in microseconds; zero if none is known.
    fn run_micros(&self) -> f64 {
        self.sum_micros / self.count.max(1.0)
    }
}

/// Reservoir sample of two items of a stream.
#[derive(Clone, Copy, Debug, Default)]
struct PairDraw {
    picked: [Option<usize>; 2],
    seen: u32,
}

impl PairDraw {
    fn offer(&mut self, index: usize, source: &mut Pcg32) {
        self.seen += 1;
        if self.seen <= 2 {
            self.picked[self.seen as usize - 1] = Some(index);
            return;
        }
        let draw = source.next_u32() % self.seen;
        if let Some(picked) = self.picked.get_mut(draw as usize) {
            *picked = Some(index);
        }
    }
}

impl PairDraw {
    /// The two items in random order, because the order of the sample is not uniform and the first
    /// item wins ties.
    fn shuffled(&self, source: &mut Pcg32) -> [Option<usize>; 2] {
        let [first, second] = self.picked;
        let swap = second.is_some() && source.next_u32() & 1 == 1;
        if swap {
            [second, first]
        } else {
            [first, second]
        }
    }
}

impl ServiceRoutes {
    pub(super) fn new(service: &name::ServiceName) -> Self {
        Self {
            service: service.clone(),
            turn: 0,
            lines_until: time::NodeTime::START,
            deep: cut::CutTable::default(),
            sizes: sizes::AnswerSizes::default(),
            placement: placement::PlacementRecord::default(),
            targets: Vec::new(),
        }
    }

    pub(super) fn choose(
        &mut self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
        policy: policy::OverloadPolicy,
        source: &mut Pcg32,
    ) -> routing::RouteChoice {
        self.deep.record_request(now, query.kind);
        if !policy.better_of_two && !policy.expected_completion {
            return self.next_in_turn(now, query, policy);
        }
        let picked = self.pick(now, query, policy, false, source);
        // If all remaining targets are ejected, a service that could still answer some requests
        // would answer none. Ejected targets are therefore used as a last resort.
        let picked = picked.or_else(|| self.pick(now, query, policy, true, source));
        match picked {
            Some(index) => self.targets[index].choice(),
            None => self.no_route(now, query),
        }
    }

    pub(super) fn search(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.targets
            .binary_search_by_key(&node, |target| target.node)
    }

    fn pick(
        &mut self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
        policy: policy::OverloadPolicy,
        allow_ejected: bool,
        source: &mut Pcg32,
    ) -> Option<usize> {
        if policy.early_refusal
            && query.rank.admission_level() < self.line_level(now, query.kind, query.exclude)
        {
            return None;
        }
        let is_eligible = |target: &&target::TargetRoute| {
            target.is_available(now, query.exclude)
                && (allow_ejected || !target.ejected(now))
                && (!policy.early_refusal || target.admits(now, &query.rank))
        };
        if policy.expected_completion {
            let (index, reason) =
                self.pick_by_completion(now, query, policy, is_eligible, source)?;
            self.placement.count(now, reason);
            return Some(index);
        }
        // A target that gave this node a pause is used only if all others did as well.
        let mut eligible = self.targets.iter().filter(is_eligible);
        let skip_paused = eligible.any(|target| target.pause_left(now).is_zero());
        let mut has_limited = false;
        let mut preferred = PairDraw::default();
        let mut other_zone = PairDraw::default();
        for (index, target) in self.targets.iter().enumerate() {
            has_limited |= target.is_rate_limited();
            let paused = skip_paused && !target.pause_left(now).is_zero();
            if paused || !is_eligible(&target) {
                continue;
            }
            if target.same_zone || !policy.zone_preference {
                preferred.offer(index, source);
            } else {
                other_zone.offer(index, source);
            }
        }
        // With two targets of the same zone drawn, one of another zone is enough to notice that the
        // own zone lacks capacity.
        let preferred_pair = preferred.shuffled(source);
        let other_zone_pair = other_zone.shuffled(source);
        let candidates = match preferred.seen {
            0 => &other_zone_pair[..],
            _ => &other_zone_pair[..1],
        };
        let drawn = preferred_pair.iter().chain(candidates).copied();
        let bytes = query.bytes.saturating_add(self.sizes.expected(query.kind));
        let usual_pause = if has_limited { self.usual_pause() } else { 0.0 };
        let cost = |index: &usize| {
            let target = &self.targets[*index];
            // A target that has not answered yet is taken to be as limited as the others. A node
            // would otherwise be refused by each limited target of a large service once.
            let unknown = if target.has_reported() {
                0.0
            } else {
                usual_pause
            };
            target.cost(now, query.rank.class, bytes, policy) + unknown
        };
        drawn.flatten().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Chooses among the targets that are eligible.
    fn pick_by_completion<E>(
        &self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
        policy: policy::OverloadPolicy,
        is_eligible: E,
        source: &mut Pcg32,
    ) -> Option<(usize, placement::PlacementReason)>
    where
        E: Fn(&&target::TargetRoute) -> bool,
    {
        let is_own_zone =
            |target: &target::TargetRoute| target.same_zone || !policy.zone_preference;
        let own = self.targets.iter().filter(|target| is_own_zone(target));
        let own = u32::try_from(own.count()).unwrap_or(u32::MAX);
        let all = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        let mut window = window::TargetWindow::draw(own, all - own, source);
        let takes_next = |target: &&target::TargetRoute| {
            window.takes_next(is_own_zone(target)) && is_eligible(target)
        };
        let mut candidates = self.candidates(now, query, policy, takes_next);
        // The targets that were left out may be the only ones that take the request.
        let lacks_own = window.is_own_partial() && !candidates.has_own_zone();
        if lacks_own || (window.is_partial() && candidates.is_empty()) {
            candidates = self.candidates(now, query, policy, is_eligible);
        }
        let bytes = query.bytes.saturating_add(self.sizes.expected(query.kind));
        let charge = match policy.stay_in_zone {
            true => completion::CrossingCharge {
                factor: 1.0,
                micros: f64::from(bytes) * routing::CROSS_ZONE_MICROS_PER_BYTE,
            },
            false => completion::CrossingCharge {
                factor: routing::CROSS_ZONE_FACTOR,
                micros: 0.0,
            },
        };
        candidates.choose(charge, source)
    }

    /// The targets that `is_eligible` accepts, with what a request can expect there.
    fn candidates<E>(
        &self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
        policy: policy::OverloadPolicy,
        mut is_eligible: E,
    ) -> completion::CandidateSet
    where
        E: FnMut(&&target::TargetRoute) -> bool,
    {
        let class = query.rank.class;
        let count = self.targets.len().min(window::MAX_CANDIDATES);
        let mut candidates = completion::CandidateSet::with_capacity(count);
        let mut paused = completion::CandidateSet::default();
        let mut unknown = Vec::new();
        let mut known = KnownMeans::default();
        // A target that gave this node a pause is used only if all others did as well.
        let mut push = |index: usize, is_paused: bool, outlook: &completion::TargetOutlook| {
            let target = &self.targets[index];
            let set = match is_paused {
                true => &mut paused,
                false => &mut candidates,
            };
            set.push(index, target.same_zone || !policy.zone_preference, outlook);
        };
        for (index, target) in self.targets.iter().enumerate() {
            if !is_eligible(&target) {
                continue;
            }
            let usual = target.usual_micros();
            known.add(target, usual);
            match usual {
                Some(usual) => {
                    let outlook = target.outlook(now, class, policy, usual);
                    push(index, !outlook.pause.is_zero(), &outlook);
                }
                None => unknown.push(index),
            }
        }
        // A target without a report is taken to be like the others. It would otherwise look like the
        // fastest of all and get every request until its first answer.
        let usual_pause = match known.has_limited && !unknown.is_empty() {
            true => Duration::from_secs_f64(self.usual_pause() / 1e6),
            false => Duration::ZERO,
        };
        for index in unknown {
            let target = &self.targets[index];
            let mut outlook = target.outlook(now, class, policy, known.run_micros());
            let is_paused = !outlook.pause.is_zero();
            if !target.has_reported() {
                outlook.pause += usual_pause;
            }
            push(index, is_paused, &outlook);
        }
        match candidates.is_empty() {
            true => paused,
            false => candidates,
        }
    }

    /// The mean pause in the latest reports of the targets, in microseconds.
    fn usual_pause(&self) -> f64 {
        let reported = self.targets.iter().filter(|target| target.has_reported());
        let (mut sum, mut count) = (0.0, 0.0);
        for target in reported {
            sum += target.pause().as_secs_f64() * 1e6;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }

    fn next_in_turn(
        &mut self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
        policy: policy::OverloadPolicy,
    ) -> routing::RouteChoice {
        let count = self.targets.len();
        for step in 1..=count {
            let index = (self.turn + step) % count;
            let target = &self.targets[index];
            let eligible = target.is_available(now, query.exclude)
                && !target.ejected(now)
                && (!policy.early_refusal || target.admits(now, &query.rank));
            if eligible {
                self.turn = index;
                return target.choice();
            }
        }
        self.no_route(now, query)
    }

    fn no_route(
        &self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
    ) -> routing::RouteChoice {
        let available = |target: &target::TargetRoute| target.is_available(now, query.exclude);
        let level = self.line_level(now, query.kind, query.exclude);
        match rank::line_for_level(level) {
            Some(line) if self.targets.iter().any(available) => routing::RouteChoice::Shed(line),
            _ => routing::RouteChoice::NoTarget,
        }
    }

    pub(super) fn line_level(
        &self,
        now: time::NodeTime,
        kind: kind::CallKind,
        exclude: &[ident::NodeId],
    ) -> u16 {
        let own = self.median_level(now, exclude);
        own.max(self.deep.level(now, kind))
    }

    /// The median of the levels that the targets admit.
    ///
    /// With the lowest level, requests that only one target admits would arrive from all nodes at
    /// once; with the highest, one overloaded target would refuse requests that the others could
    /// run. If enough targets have reported their lines, the others are assumed to be alike.
    /// Without this assumption a node that receives answers from only a tenth of a large service
    /// would refuse nothing, and its requests would be refused by one target after the other.
    fn median_level(&self, now: time::NodeTime, exclude: &[ident::NodeId]) -> u16 {
        if now >= self.lines_until {
            return 0;
        }
        let serving = self
            .targets
            .iter()
            .filter(|target| target.is_available(now, exclude));
        let mut levels = Vec::with_capacity(self.targets.len());
        let mut known = Vec::new();
        // The line of a target that is bound by its rate says nothing about the room at others.
        let has_unlimited = serving.clone().any(|target| !target.is_rate_limited());
        for target in serving.filter(|target| !(has_unlimited && target.is_rate_limited())) {
            let level = target.cut.level(now);
            levels.push(level);
            if target.cut.is_known(now) {
                known.push(level);
            }
        }
        if known.len() >= MIN_KNOWN_LINES {
            levels = known;
        }
        if levels.is_empty() {
            return 0;
        }
        let middle = (levels.len() - 1) / 2;
        *levels.select_nth_unstable(middle).1
    }
}
