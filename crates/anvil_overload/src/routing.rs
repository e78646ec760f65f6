//! Routing table: chooses the target of each request; see `docs/design/routing.md`.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{context, ident, name, time};
use anvil_wire::call;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use serde::Serialize;

use crate::{cut, kind, policy, rank};

mod choice;
mod completion;
mod health;
mod placement;
mod sizes;
mod target;
mod window;

pub use health::{
    FAILURE_DECAY, FAILURE_FACTOR, FIRST_EJECTION, MAX_CONSECUTIVE_FAILURES, MAX_EJECTED_SHARE,
    MAX_EJECTION, OUTLIER_RATE,
};
pub use placement::{OVERFLOW_END, PlacementCounts};
pub use target::{LOAD_EXPIRY, LOAD_FRESH, SLOW_START, SLOW_START_SHARE};

/// Factor by which the expected wait at a target in another availability zone is increased; the own
/// zone must be busier by this factor before requests leave it.
pub const CROSS_ZONE_FACTOR: f64 = 1.5;

/// Time that a target in another availability zone must save for each byte sent across, in
/// microseconds; used if traffic between zones is expensive.
///
/// A single factor for all requests does not fit: a claim of 10 KB and a call of 700 bytes would
/// pay the same, and claims would leave their zone for a run that is a few milliseconds faster.
/// With a cost by bytes, a call leaves its zone if it saves 150 ms, and a claim if it saves two
/// seconds.
pub const CROSS_ZONE_MICROS_PER_BYTE: f64 = 200.0;

/// A target as known by membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// The node beside the target.
    pub node: ident::NodeId,
    /// Address at which that node accepts connections.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: name::ZoneName,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Number of the node's announcement that contained this.
    pub announced: u32,
}

/// How an attempt ended, as far as routing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node answered, and the answer does not indicate a failure of the target.
    Succeeded,
    /// The target failed with a server error or a broken run.
    Failed,
    /// The node or its target was unreachable, or was lost during the attempt.
    Unreachable,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The class of the request.
    pub class: context::PriorityClass,
    /// Its kind.
    pub kind: kind::CallKind,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Load report of the target, if an answer came.
    pub load: Option<&'a call::LoadReport>,
    /// Size of the target's answer in bytes, if one came.
    pub answer_bytes: Option<u32>,
}

/// Request for a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service.
    pub service: &'a name::ServiceName,
    /// The request's rank.
    pub rank: rank::CallRank,
    /// Its kind.
    pub kind: kind::CallKind,
    /// Size of the request in bytes.
    pub bytes: u32,
    /// Nodes that earlier attempts were sent to.
    pub exclude: &'a [ident::NodeId],
}

/// Routing decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send the request to this target.
    Target {
        /// The node beside the target.
        node: ident::NodeId,
        /// Address at which it accepts connections.
        address: SocketAddr,
        /// Whether it is in the same availability zone as this node.
        same_zone: bool,
    },
    /// No target would admit the request, because of this cut line.
    Shed(call::CutLine),
    /// Every target is excluded or leaving, or none is left.
    NoTarget,
    /// The service was never announced.
    UnknownService,
}

/// All known targets by service, with the state that their answers reported.
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
    /// Creates an empty table for a node in `zone`.
    pub fn new(zone: name::ZoneName, seed: u64, policy: policy::OverloadPolicy) -> Self {
        Self {
            zone,
            services: Vec::new(),
            source: Pcg32::seed_from_u64(seed),
            policy,
        }
    }

    /// Adds or updates a target.
    pub fn upsert(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        record: &TargetRecord,
    ) {
        let is_same_zone = record.zone == self.zone;
        let routes = self.routes_or_insert(service);
        match routes.search(record.node) {
            Ok(index) => routes.targets[index].update(record, is_same_zone),
            Err(index) => {
                let target = target::TargetRoute::new(now, record, is_same_zone);
                routes.targets.insert(index, target);
            }
        }
    }

    /// Removes a target; the service stays known.
    pub fn remove(&mut self, service: &name::ServiceName, node: ident::NodeId) {
        let Some(routes) = self.routes_mut(service) else {
            return;
        };
        if let Ok(index) = routes.search(node) {
            routes.targets.remove(index);
        }
    }

    /// Chooses a target; [`Self::request_sent`] must be called when the request is sent.
    pub fn choose(&mut self, now: time::NodeTime, query: RouteQuery<'_>) -> RouteChoice {
        let policy = self.policy;
        let Ok(index) = self.find(query.service) else {
            return RouteChoice::UnknownService;
        };
        self.services[index].choose(now, &query, policy, &mut self.source)
    }

    /// Whether requests to `service` leave the own zone because it is full, if that has changed since
    /// the last call.
    pub fn overflow_change(&mut self, service: &name::ServiceName) -> Option<bool> {
        self.routes_mut(service)?.placement.take_change()
    }

    /// Choices by expected completion for all services, by their reason.
    pub fn placement_counts(&self) -> PlacementCounts {
        let mut counts = PlacementCounts::default();
        for routes in &self.services {
            counts.add(&routes.placement.counts);
        }
        counts
    }

    /// Counts a request of `class` that was sent to `node`.
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

    /// Records the end of an attempt.
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
        let Ok(index) = routes.search(node) else {
            return;
        };
        routes.targets[index].attempt_ended(now, attempt);
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
            health::update_ejection(now, &mut routes.targets, index);
        }
    }

    /// Replaces the load that is known of a target, apart from its cut line.
    ///
    /// The line that callers apply follows from answers only, so that it decays and a target with
    /// free slots gets requests that end it.
    pub fn update_load(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        node: ident::NodeId,
        load: &call::LoadReport,
    ) {
        if let Some(target) = self.target_mut(service, node) {
            target.update_load(now, load);
        }
    }

    /// The line below which requests of `kind` to `service` are refused, because of its own load or
    /// of that of a downstream service.
    pub fn cut_line(
        &self,
        now: time::NodeTime,
        service: &name::ServiceName,
        kind: kind::CallKind,
    ) -> Option<call::CutLine> {
        let index = self.find(service).ok()?;
        rank::line_for_level(self.services[index].line_level(now, kind, &[]))
    }

    /// The shortest time until a target of `service` may be used without exceeding the rates that
    /// targets name.
    pub fn pause_left(&self, now: time::NodeTime, service: &name::ServiceName) -> Duration {
        let index = self.find(service).ok();
        let targets = index.map_or(&[][..], |index| &self.services[index].targets[..]);
        let pauses = targets.iter().map(|target| target.pause_left(now));
        pauses.min().unwrap_or_default()
    }

    /// The nodes beside the targets of `service`, with their addresses.
    pub fn nodes<'a>(
        &'a self,
        service: &name::ServiceName,
    ) -> impl Iterator<Item = (ident::NodeId, SocketAddr)> + use<'a> {
        let index = self.find(service).ok();
        let targets = index.map_or(&[][..], |index| &self.services[index].targets[..]);
        targets.iter().map(|target| (target.node, target.address))
    }

    fn find(&self, service: &name::ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|routes| routes.service.cmp(service))
    }

    fn routes_mut(&mut self, service: &name::ServiceName) -> Option<&mut choice::ServiceRoutes> {
        let index = self.find(service).ok()?;
        self.services.get_mut(index)
    }

    fn routes_or_insert(&mut self, service: &name::ServiceName) -> &mut choice::ServiceRoutes {
        let index = match self.find(service) {
            Ok(index) => index,
            Err(index) => {
                let routes = choice::ServiceRoutes::new(service);
                self.services.insert(index, routes);
                index
            }
        };
        &mut self.services[index]
    }

    fn target_mut(
        &mut self,
        service: &name::ServiceName,
        node: ident::NodeId,
    ) -> Option<&mut target::TargetRoute> {
        let routes = self.routes_mut(service)?;
        let index = routes.search(node).ok()?;
        routes.targets.get_mut(index)
    }
}
