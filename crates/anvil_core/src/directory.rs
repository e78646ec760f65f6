//! The known targets of each service.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_overload::{kind, policy, routing};
use anvil_types::{context, ident, name, sorted, time};
use anvil_wire::call;

/// One node whose target offers a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// Where the node accepts connections.
    pub address: SocketAddr,
    /// The service of its target.
    pub service: name::ServiceName,
    /// The availability zone of the node.
    pub zone: name::ZoneName,
    /// Requests that its target can run concurrently.
    pub slots: u32,
    /// Whether the node or its target is leaving.
    pub leaving: bool,
    /// The number of the node's announcement that contained these facts.
    pub announced: u32,
}

/// All known targets, and the choice of one for each attempt.
#[derive(Debug)]
pub struct PeerDirectory {
    peers: sorted::SortedTable<ident::NodeId, PeerRecord>,
    routes: routing::RouteTable,
}

impl PeerDirectory {
    /// The empty directory of a node in `zone`.
    pub fn new(zone: name::ZoneName, seed: u64, policy: policy::OverloadPolicy) -> Self {
        Self {
            peers: sorted::SortedTable::default(),
            routes: routing::RouteTable::new(zone, seed, policy),
        }
    }

    /// Adds or updates a node.
    pub fn upsert(&mut self, now: time::NodeTime, node: ident::NodeId, record: PeerRecord) {
        let target = routing::TargetRecord {
            node,
            address: record.address,
            zone: record.zone.clone(),
            slots: record.slots,
            leaving: record.leaving,
            announced: record.announced,
        };
        let known_service = self.peers.get(node).map(|known| &known.service);
        if let Some(previous) = known_service.filter(|previous| **previous != record.service) {
            self.routes.remove(previous, node);
        }
        self.routes.upsert(now, &record.service, &target);
        self.peers.insert(node, record);
    }

    /// Removes a node.
    pub fn remove(&mut self, node: ident::NodeId) {
        if let Some(known) = self.peers.remove(node) {
            self.routes.remove(&known.service, node);
        }
    }

    /// All known nodes.
    pub fn iter(&self) -> std::slice::Iter<'_, (ident::NodeId, PeerRecord)> {
        self.peers.iter()
    }

    /// Chooses a node that is not excluded, or any node if all others are excluded.
    pub fn choose(
        &mut self,
        now: time::NodeTime,
        query: routing::RouteQuery<'_>,
    ) -> routing::RouteChoice {
        let choice = self.routes.choose(now, query);
        if choice != routing::RouteChoice::NoTarget || query.exclude.is_empty() {
            return choice;
        }
        let exclude = &[];
        self.routes
            .choose(now, routing::RouteQuery { exclude, ..query })
    }

    /// Chooses a node that is not excluded.
    pub fn choose_other(
        &mut self,
        now: time::NodeTime,
        query: routing::RouteQuery<'_>,
    ) -> routing::RouteChoice {
        self.routes.choose(now, query)
    }

    /// Whether a target that `query` does not exclude would be chosen.
    pub fn has_other(&mut self, now: time::NodeTime, query: routing::RouteQuery<'_>) -> bool {
        let choice = self.routes.choose(now, query);
        matches!(choice, routing::RouteChoice::Target { .. })
    }

    /// Whether requests to `service` leave the own zone because it is full, if that has changed since
    /// the last call.
    pub fn overflow_change(&mut self, service: &name::ServiceName) -> Option<bool> {
        self.routes.overflow_change(service)
    }

    /// Counts a request of `class` that was sent to `node`.
    pub fn attempt_sent(
        &mut self,
        service: &name::ServiceName,
        node: ident::NodeId,
        class: context::PriorityClass,
    ) {
        self.routes.request_sent(service, node, class);
    }

    /// Records the outcome of an attempt.
    pub fn attempt_ended(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        node: ident::NodeId,
        attempt: routing::AttemptReport<'_>,
    ) {
        self.routes.attempt_ended(now, service, node, attempt);
    }

    /// Replaces the load that is known of the target beside `node`.
    pub fn update_load(
        &mut self,
        now: time::NodeTime,
        service: &name::ServiceName,
        node: ident::NodeId,
        load: &call::LoadReport,
    ) {
        self.routes.update_load(now, service, node, load);
    }

    /// The shortest time until a target of `service` may be used within the rates that they name.
    pub fn pause_left(&self, now: time::NodeTime, service: &name::ServiceName) -> Duration {
        self.routes.pause_left(now, service)
    }

    /// The cut line below which no target of `service` accepts a request of `kind`.
    pub fn line(
        &self,
        now: time::NodeTime,
        service: &name::ServiceName,
        kind: kind::CallKind,
    ) -> Option<call::CutLine> {
        self.routes.cut_line(now, service, kind)
    }

    /// The nodes of the targets of `service`, with their addresses.
    pub fn nodes_of(&self, service: &name::ServiceName) -> Vec<(ident::NodeId, SocketAddr)> {
        self.routes.nodes(service).collect()
    }

    /// The routes to all targets, for the dump.
    pub fn routes(&self) -> &routing::RouteTable {
        &self.routes
    }
}
