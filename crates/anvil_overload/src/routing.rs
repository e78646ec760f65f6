//! Which target gets the next request; see `docs/design/routing.md`.

use std::net::SocketAddr;

use anvil_types::{context, ident, name, time};
use anvil_wire::call;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use serde::Serialize;

use crate::{cut, kind, policy, rank};

mod choice;
mod health;
mod sizes;
mod target;

pub use health::{
    FAILURE_DECAY, FAILURE_FACTOR, FIRST_EJECTION, MAX_CONSECUTIVE_FAILURES, MAX_EJECTED_SHARE,
    MAX_EJECTION, OUTLIER_RATE,
};
pub use target::{LOAD_EXPIRY, LOAD_FRESH, SLOW_START, SLOW_START_SHARE};

/// By how much the wait at a target in another availability zone counts as longer: the own zone
/// has to be busier by as much before requests leave it.
pub const CROSS_ZONE_FACTOR: f64 = 1.5;

/// Where bytes between availability zones are dear: the time that a target in another one has to
/// save for each byte that would cross, in microseconds.
///
/// One factor for all requests is the wrong measure: a claim of 10 KB and a call of 700 bytes pay
/// the same, and claims left for a run that was some milliseconds faster. By bytes, a call waits
/// for 150 ms before it leaves its zone and a claim for two seconds.
pub const CROSS_ZONE_MICROS_PER_BYTE: f64 = 200.0;

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
    /// Which of the node's announcements told so.
    pub announced: u32,
}

/// How an attempt ended, as far as routing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node answered and the answer is no failure of the target.
    Succeeded,
    /// The target failed: a server error, or a broken run.
    Failed,
    /// The node or its target could not be reached, or was lost.
    Unreachable,
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
    /// Bytes of the target's answer, where one came.
    pub answer_bytes: Option<u32>,
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
    /// Its bytes.
    pub bytes: u32,
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
        same_zone: bool,
    },
    /// No target would admit it; this is the lowest of their lines.
    Shed(call::CutLine),
    /// Every target is excluded, leaving or gone.
    NoTarget,
    /// Nobody ever announced the service.
    UnknownService,
}

/// All known targets by service, with what their answers told.
#[derive(Clone, Debug, Serialize)]
pub struct RouteTable {
    zone: name::ZoneName,
    /// Sorted by service.
    services: Vec<choice::ServiceRoutes>,
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
            Ok(place) => routes.targets[place].renew(record, near),
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

    /// Chooses a target; call [`Self::request_sent`] when the request leaves.
    pub fn choose(&mut self, now: time::NodeTime, query: RouteQuery<'_>) -> RouteChoice {
        let policy = self.policy;
        let Ok(place) = self.find(query.service) else {
            return RouteChoice::UnknownService;
        };
        self.services[place].choose(now, &query, policy, &mut self.source)
    }

    /// Counts a request of `class` that left for `node`.
    pub fn request_sent(
        &mut self,
        service: &name::ServiceName,
        node: ident::NodeId,
        class: context::PriorityClass,
    ) {
        if let Some(target) = self.target_mut(service, node) {
            target.request_sent(class);
        }
    }

    /// Takes in the end of an attempt.
    pub fn attempt_ended(
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
        routes.targets[place].attempt_ended(now, attempt);
        if let Some(bytes) = attempt.answer_bytes {
            routes.sizes.update(attempt.kind, bytes);
        }
        if let Some(load) = attempt.load {
            if load.cut.is_some() {
                routes.lines_until = now + cut::MIN_CUT_EXPIRY;
            }
            routes.deep.update(now, attempt.kind, load.deep.as_ref());
        }
        if policy.ejection {
            health::review(now, &mut routes.targets, place);
        }
    }

    /// The line below which requests of `kind` to `service` are refused, for its own pressure or
    /// for that of a service below it.
    pub fn cut_line(
        &self,
        now: time::NodeTime,
        service: &name::ServiceName,
        kind: kind::CallKind,
    ) -> Option<call::CutLine> {
        let place = self.find(service).ok()?;
        rank::line_for_level(self.services[place].line_level(now, kind, &[]))
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

    fn find(&self, service: &name::ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|routes| routes.service.cmp(service))
    }

    fn routes_mut(&mut self, service: &name::ServiceName) -> Option<&mut choice::ServiceRoutes> {
        let place = self.find(service).ok()?;
        self.services.get_mut(place)
    }

    fn routes_or_insert(&mut self, service: &name::ServiceName) -> &mut choice::ServiceRoutes {
        let place = match self.find(service) {
            Ok(place) => place,
            Err(place) => {
                let routes = choice::ServiceRoutes::new(service);
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
