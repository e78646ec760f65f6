//! The choice among the targets of one service.

use anvil_types::{ident, name, time};
use rand_core::Rng;
use rand_pcg::Pcg32;
use serde::Serialize;

use crate::routing::{sizes, target};
use crate::{cut, kind, policy, rank, routing};

/// Targets that have told of their lines lately, from which the others are taken to be as they are.
const LINES_KNOWN: usize = 2;

/// The targets of one service, as one caller's node knows them.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ServiceRoutes {
    pub(super) service: name::ServiceName,
    turn: usize,
    /// When the last line that any target reported has faded, so that quiet services cost nothing.
    pub(super) lines_until: time::NodeTime,
    /// Lines of what the service needs below.
    pub(super) deep: cut::CutTable,
    /// How large the answers are.
    pub(super) sizes: sizes::AnswerSizes,
    /// Sorted by node.
    pub(super) targets: Vec<target::TargetRoute>,
}

/// Keeps two of a stream at random.
#[derive(Clone, Copy, Debug, Default)]
struct PairDraw {
    kept: [Option<usize>; 2],
    seen: u32,
}

impl PairDraw {
    fn offer(&mut self, place: usize, source: &mut Pcg32) {
        self.seen += 1;
        if self.seen <= 2 {
            self.kept[self.seen as usize - 1] = Some(place);
            return;
        }
        let draw = source.next_u32() % self.seen;
        if let Some(kept) = self.kept.get_mut(draw as usize) {
            *kept = Some(place);
        }
    }
}

impl PairDraw {
    /// The two in random order, since the first is drawn from longer and wins ties.
    fn shuffled(&self, source: &mut Pcg32) -> [Option<usize>; 2] {
        let [first, second] = self.kept;
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
        self.deep.note_request(now, query.kind);
        if !policy.better_of_two {
            return self.next_in_turn(now, query, policy);
        }
        let picked = self.pick(now, query, policy, false, source);
        // Failure: every target that is left stands ejected. Symptom: a service that could serve
        // something serves nothing. The ejection therefore yields to the last resort.
        let picked = picked.or_else(|| self.pick(now, query, policy, true, source));
        match picked {
            Some(place) => self.targets[place].choice(),
            None => self.nobody(now, query),
        }
    }

    pub(super) fn place(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.targets
            .binary_search_by_key(&node, |target| target.node)
    }

    fn pick(
        &self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
        policy: policy::OverloadPolicy,
        ejected_too: bool,
        source: &mut Pcg32,
    ) -> Option<usize> {
        if policy.early_refusal
            && query.rank.admission_level() < self.line_level(now, query.kind, query.exclude)
        {
            return None;
        }
        let mut near = PairDraw::default();
        let mut far = PairDraw::default();
        for (place, target) in self.targets.iter().enumerate() {
            let fit = target.serves(now, query.exclude)
                && (ejected_too || !target.ejected(now))
                && (!policy.early_refusal || target.admits(now, &query.rank));
            if !fit {
                continue;
            }
            if target.near || !policy.zone_preference {
                near.offer(place, source);
            } else {
                far.offer(place, source);
            }
        }
        // With two near ones drawn, one far one is enough to notice that the zone is short.
        let near_kept = near.shuffled(source);
        let far_kept = far.shuffled(source);
        let others = match near.seen {
            0 => &far_kept[..],
            _ => &far_kept[..1],
        };
        let drawn = near_kept.iter().chain(others).copied();
        let bytes = query.bytes.saturating_add(self.sizes.expected(query.kind));
        let cost = |place: &usize| {
            let target = &self.targets[*place];
            target.cost(now, query.rank.class, bytes, policy)
        };
        drawn.flatten().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn next_in_turn(
        &mut self,
        now: time::NodeTime,
        query: &routing::RouteQuery<'_>,
        policy: policy::OverloadPolicy,
    ) -> routing::RouteChoice {
        let count = self.targets.len();
        for step in 1..=count {
            let place = (self.turn + step) % count;
            let target = &self.targets[place];
            let fit = target.serves(now, query.exclude)
                && !target.ejected(now)
                && (!policy.early_refusal || target.admits(now, &query.rank));
            if fit {
                self.turn = place;
                return target.choice();
            }
        }
        self.nobody(now, query)
    }

    fn nobody(&self, now: time::NodeTime, query: &routing::RouteQuery<'_>) -> routing::RouteChoice {
        let some = |target: &target::TargetRoute| target.serves(now, query.exclude);
        let level = self.line_level(now, query.kind, query.exclude);
        match rank::line_for_level(level) {
            Some(line) if self.targets.iter().any(some) => routing::RouteChoice::Shed(line),
            _ => routing::RouteChoice::NoTarget,
        }
    }

    pub(super) fn line_level(
        &self,
        now: time::NodeTime,
        kind: kind::CallKind,
        exclude: &[ident::NodeId],
    ) -> u16 {
        let own = self.usual_level(now, exclude);
        own.max(self.deep.level(now, kind))
    }

    /// The level that half of the targets admit.
    ///
    /// With the lowest of all, whatever one target lets in would come from everywhere at once;
    /// with the highest, a sick target would refuse what the others could take. Where enough of them
    /// have told, the rest is taken to be as they are: a node that hears of a tenth of a large service
    /// would otherwise refuse nothing, and its requests would be refused one target after the other.
    fn usual_level(&self, now: time::NodeTime, exclude: &[ident::NodeId]) -> u16 {
        if now >= self.lines_until {
            return 0;
        }
        let serving = self
            .targets
            .iter()
            .filter(|target| target.serves(now, exclude));
        let mut levels = Vec::with_capacity(self.targets.len());
        let mut known = Vec::new();
        for target in serving {
            let level = target.cut.level(now);
            levels.push(level);
            if target.cut.is_known(now) {
                known.push(level);
            }
        }
        if known.len() >= LINES_KNOWN {
            levels = known;
        }
        if levels.is_empty() {
            return 0;
        }
        let middle = (levels.len() - 1) / 2;
        *levels.select_nth_unstable(middle).1
    }
}
