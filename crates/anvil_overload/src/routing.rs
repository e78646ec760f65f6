//! Which target gets the next request; see `docs/design/routing.md`.

use std::net::SocketAddr;

use anvil_types::{context, ident, name, time};
use anvil_wire::call;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;

use crate::{cut, kind, policy, rank};

mod health;
mod target;

pub use health::{
    EJECT_FIRST, EJECT_LIMIT, EJECT_SHARE, FAILURE_FACTOR, FAILURE_SPAN, FAILURES_IN_A_ROW,
    OUTLIER_RATE,
};
pub use target::{LOAD_FRESH, LOAD_GONE, SLOW_START, SLOW_START_SHARE};

/// By how much the wait at a target in another availability zone counts as longer: the own zone
/// has to be busier by as much before requests leave it.
pub const ZONE_FACTOR: f64 = 1.5;

/// What membership knows of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The node beside it.
    pub node: ident::NodeId,
    /// Where that node accepts connections.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: name::ZoneName,
    /// Requests it can run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// How an attempt ended, as far as routing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node answered and the answer is no failure of the target.
    Fine,
    /// The target failed: a server error, or a broken run.
    Failed,
    /// The node or its target could not be reached, or was lost.
    Lost,
}

/// What the end of an attempt told.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The class of the request.
    pub class: context::PriorityClass,
    /// Its kind.
    pub kind: kind::CallKind,
    /// How it ended.
    pub end: AttemptEnd,
    /// The load of the target, where an answer came.
    pub load: Option<&'a call::LoadReport>,
}

/// What is asked of the table.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service.
    pub service: &'a name::ServiceName,
    /// The request's rank.
    pub rank: rank::CallRank,
    /// Its kind.
    pub kind: kind::CallKind,
    /// Nodes that earlier attempts went to.
    pub exclude: &'a [ident::NodeId],
}

/// What the table chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send it there.
    Target {
        /// The node beside the target.
        node: ident::NodeId,
        /// Where it accepts connections.
        address: SocketAddr,
        /// Whether it stands in the own availability zone.
        near: bool,
    },
    /// No target would admit it; this is the lowest of their lines.
    Shed(call::CutLine),
    /// Every target is excluded, leaving or gone.
    NoTarget,
    /// Nobody ever announced the service.
    UnknownService,
}

#[derive(Clone, Debug, Serialize)]
struct ServiceRoutes {
    service: name::ServiceName,
    turn: usize,
    /// When the last line that any target reported has faded, so that quiet services cost nothing.
    lines_until: time::NodeTime,
    /// Lines of what the service needs below.
    deep: cut::CutTable,
    /// Sorted by node.
    targets: Vec<target::TargetRoute>,
}

/// All known targets by service, with what their answers told.
#[derive(Clone, Debug, Serialize)]
pub struct RouteTable {
    zone: name::ZoneName,
    /// Sorted by service.
    services: Vec<ServiceRoutes>,
    #[serde(skip)]
    source: Pcg32,
    #[serde(skip)]
    policy: policy::OverloadPolicy,
}

impl RouteTable {
    /// An empty table of a node in `zone`.
    pub fn new(zone: name::ZoneName, seed: u64, policy: policy::OverloadPolicy) -> Self {
        Self {
            zone,
            services: Vec::new(),
            source: Pcg32::seed_from_u64(seed),
            policy,
        }
    }

    /// Learns or renews a target.
    pub fn upsert(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        record: &TargetRecord,
    ) {
        let near = record.zone == self.zone;
        let routes = self.routes_or_insert(service);
        match routes.place(record.node) {
            Ok(place) => routes.targets[place].renew(now, record, near),
            Err(place) => {
                let target = target::TargetRoute::new(now, record, near);
                routes.targets.insert(place, target);
            }
        }
    }

    /// Forgets a target; the service stays known.
    pub fn remove(&mut self, service: &name::ServiceName, node: ident::NodeId) {
        let Some(routes) = self.routes_mut(service) else {
            return;
        };
        if let Ok(place) = routes.place(node) {
            routes.targets.remove(place);
        }
    }

    /// Chooses a target; call [`Self::sent`] when the request leaves.
    pub fn choose(&mut self, now: time::NodeTime, query: RouteQuery<'_>) -> RouteChoice {
        let policy = self.policy;
        let Ok(place) = self.find(query.service) else {
            return RouteChoice::UnknownService;
        };
        let routes = &mut self.services[place];
        if !policy.better_of_two {
            return routes.next_in_turn(now, &query, policy);
        }
        let mut picked = routes.pick(now, &query, policy, false, &mut self.source);
        if picked.is_none() {
            // Failure: every target that is left stands ejected. Symptom: a service that could
            // serve something serves nothing. The floor therefore yields to the last resort.
            picked = routes.pick(now, &query, policy, true, &mut self.source);
        }
        match picked {
            Some(place) => routes.targets[place].choice(),
            None => routes.nobody(now, &query),
        }
    }

    /// Counts a request of `class` that left for `node`.
    pub fn sent(
        &mut self,
        service: &name::ServiceName,
        node: ident::NodeId,
        class: context::PriorityClass,
    ) {
        if let Some(target) = self.target_mut(service, node) {
            target.sent(class);
        }
    }

    /// Takes in the end of an attempt.
    pub fn ended(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        node: ident::NodeId,
        attempt: AttemptReport<'_>,
    ) {
        let policy = self.policy;
        let Some(routes) = self.routes_mut(service) else {
            return;
        };
        let Ok(place) = routes.place(node) else {
            return;
        };
        routes.targets[place].ended(now, attempt);
        if let Some(load) = attempt.load {
            if load.cut.is_some() {
                routes.lines_until = now + cut::CUT_GONE;
            }
            routes.deep.learn(now, attempt.kind, load.deep.as_ref());
        }
        if policy.ejection {
            health::review(now, &mut routes.targets, place);
        }
    }

    /// The line below which requests of `kind` to `service` are refused, for its own pressure or
    /// for that of a service below it.
    pub fn line(
        &self,
        now: time::NodeTime,
        service: &name::ServiceName,
        kind: kind::CallKind,
    ) -> Option<call::CutLine> {
        let place = self.find(service).ok()?;
        rank::line_at(self.services[place].line_level(now, kind, &[]))
    }

    /// Nodes beside the targets of `service`, with their addresses.
    pub fn nodes<'a>(
        &'a self,
        service: &name::ServiceName,
    ) -> impl Iterator<Item = (ident::NodeId, SocketAddr)> + use<'a> {
        let place = self.find(service).ok();
        let targets = place.map_or(&[][..], |place| &self.services[place].targets[..]);
        targets.iter().map(|target| (target.node, target.address))
    }

    /// The service that the target beside `node` offers.
    pub fn service_of(&self, node: ident::NodeId) -> Option<&name::ServiceName> {
        let holds = |routes: &&ServiceRoutes| routes.place(node).is_ok();
        self.services
            .iter()
            .find(holds)
            .map(|routes| &routes.service)
    }

    fn find(&self, service: &name::ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|routes| routes.service.cmp(service))
    }

    fn routes_mut(&mut self, service: &name::ServiceName) -> Option<&mut ServiceRoutes> {
        let place = self.find(service).ok()?;
        self.services.get_mut(place)
    }

    fn routes_or_insert(&mut self, service: &name::ServiceName) -> &mut ServiceRoutes {
        let place = match self.find(service) {
            Ok(place) => place,
            Err(place) => {
                let routes = ServiceRoutes {
                    service: service.clone(),
                    turn: 0,
                    lines_until: time::NodeTime::START,
                    deep: cut::CutTable::default(),
                    targets: Vec::new(),
                };
                self.services.insert(place, routes);
                place
            }
        };
        &mut self.services[place]
    }

    fn target_mut(
        &mut self,
        service: &name::ServiceName,
        node: ident::NodeId,
    ) -> Option<&mut target::TargetRoute> {
        let routes = self.routes_mut(service)?;
        let place = routes.place(node).ok()?;
        routes.targets.get_mut(place)
    }
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
    fn place(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.targets
            .binary_search_by_key(&node, |target| target.node)
    }

    fn pick(
        &self,
        now: time::NodeTime,
        query: &RouteQuery<'_>,
        policy: policy::OverloadPolicy,
        ejected_too: bool,
        source: &mut Pcg32,
    ) -> Option<usize> {
        if policy.early_refusal
            && query.rank.level() < self.line_level(now, query.kind, query.exclude)
        {
            return None;
        }
        let mut near = PairDraw::default();
        let mut far = PairDraw::default();
        for (place, target) in self.targets.iter().enumerate() {
            let fit = target.serves(query.exclude)
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
        let cost = |place: &usize| self.targets[*place].cost(now, query.rank.class, policy);
        drawn.flatten().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn next_in_turn(
        &mut self,
        now: time::NodeTime,
        query: &RouteQuery<'_>,
        policy: policy::OverloadPolicy,
    ) -> RouteChoice {
        let count = self.targets.len();
        for step in 1..=count {
            let place = (self.turn + step) % count;
            let target = &self.targets[place];
            let fit = target.serves(query.exclude)
                && !target.ejected(now)
                && (!policy.early_refusal || target.admits(now, &query.rank));
            if fit {
                self.turn = place;
                return target.choice();
            }
        }
        self.nobody(now, query)
    }

    fn nobody(&self, now: time::NodeTime, query: &RouteQuery<'_>) -> RouteChoice {
        let some = |target: &target::TargetRoute| target.serves(query.exclude);
        let level = self.line_level(now, query.kind, query.exclude);
        match rank::line_at(level) {
            Some(line) if self.targets.iter().any(some) => RouteChoice::Shed(line),
            _ => RouteChoice::NoTarget,
        }
    }

    fn line_level(
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
    /// with the highest, a sick target would refuse what the others could take.
    fn usual_level(&self, now: time::NodeTime, exclude: &[ident::NodeId]) -> u16 {
        if now >= self.lines_until {
            return 0;
        }
        let serving = self.targets.iter().filter(|target| target.serves(exclude));
        let mut levels: Vec<u16> = serving.map(|target| target.cut.level(now)).collect();
        if levels.is_empty() {
            return 0;
        }
        let middle = (levels.len() - 1) / 2;
        *levels.select_nth_unstable(middle).1
    }
}

// The line fades in `cut`, so that routing and refusal read the same value.
const _: () = assert!(cut::CUT_FRESH.as_millis() < cut::CUT_GONE.as_millis());
