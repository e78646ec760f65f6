//! Joining, and digest exchanges that repair the loss of datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{digest, effect, fleet, member, roster};

/// Interval of attempts to join.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Number of departures between two digest exchanges that counts as a mass departure.
const MASS_DEPARTURE_COUNT: u32 = 16;

/// Time without departures after a mass departure before digests are compared.
const MASS_DEPARTURE_QUIET_PERIOD: Duration = Duration::from_secs(4);

/// Maximum number of claims in a bulk message for them to be relayed by datagrams.
///
/// A few claims may be new to the whole fleet. Many are old ones that only the receiver missed, and
/// relaying them would flood a healthy fleet with datagrams at each join.
const RELAY_LIMIT: usize = 32;

/// Number of known members up to which a node requests all members instead of comparing digests.
const FULL_SYNC_MEMBERS: usize = 10;

/// The live members of a peer's table in the buckets that differ.
struct PeerHeaders<'a> {
    head: gossip::GossipHead,
    buckets: u32,
    differing: &'a [u32],
    headers: &'a [gossip::MemberHeader],
}

/// Claims of a peer, and the members whose claims it requests.
struct PeerClaims<'a> {
    head: gossip::GossipHead,
    updates: &'a [gossip::MemberUpdate],
    wanted: &'a [ident::NodeId],
}

impl fleet::FleetState {
    /// Handles a bulk message of a peer.
    pub fn on_sync(
        &mut self,
        now: time::NodeTime,
        peer: ident::NodeId,
        message: &gossip::SyncMessage,
    ) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        if self.left || message.head().from != peer {
            return out;
        }
        self.note_pause(now, &mut out);
        self.counters.syncs_received += 1;
        self.note_sender(now, message.head(), &mut out);
        let sender = self.table.get(peer).map(|m| m.facts.udp);
        if let Some(from) = sender {
            self.on_revision(now, from, message.head(), &mut out);
        }
        match message {
            gossip::SyncMessage::Digest { head, sums, sender } => {
                for update in sender {
                    self.apply(now, update, &mut out);
                }
                self.on_digest(*head, sums, &mut out);
            }
            gossip::SyncMessage::Headers {
                head,
                buckets,
                differing,
                headers,
            } => {
                let received = PeerHeaders {
                    head: *head,
                    buckets: *buckets,
                    differing,
                    headers,
                };
                self.on_headers(now, &received, &mut out);
            }
            gossip::SyncMessage::Members {
                head,
                updates,
                wanted,
                last,
            } => {
                let received = PeerClaims {
                    head: *head,
                    updates,
                    wanted,
                };
                self.on_members(now, &received, &mut out);
                if *last {
                    self.on_members_compared(now, *head, &mut out);
                }
            }
            gossip::SyncMessage::Changes {
                snapshot, changes, ..
            } => {
                let path = effect::RulePath::Peer(peer);
                if let Some(snapshot) = snapshot {
                    self.apply_snapshot(now, path, snapshot, &mut out);
                }
                self.apply_changes(now, path, changes, &mut out);
            }
        }
        self.send_rumour_if_due(now, &mut out);
        out
    }

    /// Joins through the node at `address`, in addition to the seeds and the store's contacts.
    pub fn join(&mut self, address: SocketAddr) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        self.join_through(address, &mut out);
        out
    }

    /// Sends a join request to a random seed, until a member has answered.
    pub(super) fn join_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.joined || now < self.timers.join {
            return;
        }
        self.timers.join = now + JOIN_INTERVAL;
        let seeds = &self.config.seeds;
        let drawn = seeds.get(self.choice.below(seeds.len())).copied();
        if let Some(seed) = drawn {
            self.join_through(seed, out);
        }
    }

    /// Sends a join request to the node at `address`, whatever its id.
    pub(super) fn join_through(&mut self, address: SocketAddr, out: &mut Vec<effect::FleetEffect>) {
        let updates = self.claim(self.local).into_iter().collect();
        self.send(address, gossip::GossipKind::Join, updates, out);
    }

    /// Compares digests with a peer.
    pub(super) fn sync_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let after_departures = self.timers.mass_departure_sync.take_if(|due| *due <= now);
        if now < self.timers.sync && after_departures.is_none() {
            return;
        }
        self.recent_departures = 0;
        self.timers.mass_departure_sync = None;
        let full_sync = self.table.live() <= FULL_SYNC_MEMBERS;
        // A node that starts together with many others knows only the members of its first peer.
        let frequent = full_sync || self.early_syncs > 0;
        let compared = self.roster.is_compared();
        let interval = match (compared, frequent) {
            (false, _) => roster::COMPARE_RETRY_INTERVAL,
            (true, true) => self.config.sync_interval / 10,
            (true, false) => self.config.sync_interval,
        };
        self.timers.sync = now + interval + self.choice.span(interval / 4);
        let peer = if compared {
            self.sync_peer()
        } else {
            self.comparison_peer()
        };
        let Some(peer) = peer else {
            return;
        };
        if compared {
            self.early_syncs = self.early_syncs.saturating_sub(1);
        }
        let sums = if full_sync {
            Vec::new()
        } else {
            digest::sums(&self.table, digest::bucket_count(self.table.live()))
        };
        let head = self.head();
        let sender = self.starting_claim();
        let digest = gossip::SyncMessage::Digest { head, sums, sender };
        self.send_sync(peer, digest, out);
    }

    /// The peer to compare digests with: a random member at first, then one of a few.
    ///
    /// A bulk message opens a connection that stays open. With random peers, a node of a large
    /// fleet would collect thousands of connections within a day. Instead, the ids form a ring, and
    /// the peers are the successors at distances of a half, a quarter, an eighth and so on of the
    /// ring. They are `log2(n)` members that seldom change, and updates still reach the whole fleet
    /// in `log2(n)` steps.
    fn sync_peer(&mut self) -> Option<ident::NodeId> {
        if self.early_syncs > 0 || self.table.live() <= FULL_SYNC_MEMBERS {
            let drawn = self.table.draw_live(&mut self.choice, &[self.local])?;
            return Some(drawn.node);
        }
        let distances = self.table.live().ilog2() as usize + 1;
        let halvings = self.choice.below(distances);
        let distance = 1 << (u64::BITS as usize - 1 - halvings);
        let from = ident::NodeId(self.local.0.wrapping_add(distance));
        Some(self.table.successor(from, self.local)?.node)
    }

    /// Counts a departure; after a mass departure, schedules an extra digest exchange.
    ///
    /// When a zone is lost, each claim gets less room on the datagrams, so some nodes miss one.
    /// Until the next regular exchange, they would send requests to a dead target.
    pub(super) fn note_departure(&mut self, now: time::NodeTime) {
        self.recent_departures += 1;
        if self.recent_departures >= MASS_DEPARTURE_COUNT {
            let pause =
                MASS_DEPARTURE_QUIET_PERIOD + self.choice.span(MASS_DEPARTURE_QUIET_PERIOD / 2);
            self.timers.mass_departure_sync = Some(now + pause);
        }
    }

    /// Removes the members that departed long ago.
    pub(super) fn trim_when_due(&mut self, now: time::NodeTime) {
        if now < self.timers.trim {
            return;
        }
        self.timers.trim = now + self.config.reconnect_interval;
        if self.joined && self.table.live() == 1 {
            // All other members departed, so none will contact this node: join again.
            self.joined = false;
            self.contacts.list_at = now;
        }
        let span = self.config.tombstone_span.as_micros();
        let span = u64::try_from(span).unwrap_or(u64::MAX);
        let before = time::NodeTime(now.0.saturating_sub(span));
        self.table.trim(before, self.config.tombstone_limit);
    }

    fn on_digest(
        &mut self,
        head: gossip::GossipHead,
        sums: &[u32],
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let peer = head.from;
        if sums.is_empty() {
            self.send_all_live(peer, out);
            return;
        }
        if !digest::is_bucket_count(sums.len()) {
            return;
        }
        let own = digest::sums(&self.table, sums.len());
        let pairs = own.iter().zip(sums).enumerate();
        let differing = pairs.filter(|(_, (own, theirs))| own != theirs);
        let differing: Vec<u32> = differing.map(|(index, _)| index as u32).collect();
        // A peer that is not ready waits for the reply that nothing differs.
        if differing.is_empty() && head.ready {
            return;
        }
        let headers = digest::headers(&self.table, sums.len(), &differing);
        let message = gossip::SyncMessage::Headers {
            head: self.head(),
            buckets: sums.len() as u32,
            differing,
            headers,
        };
        self.send_sync(peer, message, out);
    }

    fn send_all_live(&mut self, peer: ident::NodeId, out: &mut Vec<effect::FleetEffect>) {
        let live = self.table.all().iter().filter(|m| m.state.is_live());
        let live: Vec<_> = live.map(|m| m.node).collect();
        self.send_claims(peer, &live, Vec::new(), true, out);
    }

    fn on_headers(
        &mut self,
        now: time::NodeTime,
        received: &PeerHeaders<'_>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let buckets = received.buckets as usize;
        if !digest::is_bucket_count(buckets) {
            return;
        }
        let mut theirs = received.headers.to_vec();
        theirs.sort_unstable_by_key(|header| header.node);
        let own = digest::headers(&self.table, buckets, received.differing);
        let mut to_send: Vec<_> = own
            .iter()
            .filter(|own| {
                let index = theirs.binary_search_by_key(&own.node, |header| header.node);
                index.is_err()
            })
            .map(|own| own.node)
            .collect();
        let mut wanted = Vec::new();
        for header in &theirs {
            let theirs = (header.incarnation, member::MemberState::Alive);
            match self.table.get(header.node) {
                None => wanted.push(header.node),
                Some(record) if record.rank() < theirs => wanted.push(header.node),
                Some(record) if record.rank() > theirs => to_send.push(header.node),
                Some(_) => {}
            }
        }
        if wanted.is_empty() {
            self.on_members_compared(now, received.head, out);
        }
        if to_send.is_empty() && wanted.is_empty() {
            return;
        }
        self.send_claims(received.head.from, &to_send, wanted, true, out);
    }

    fn on_members(
        &mut self,
        now: time::NodeTime,
        received: &PeerClaims<'_>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.relaying = received.updates.len() <= RELAY_LIMIT;
        for update in received.updates {
            self.apply(now, update, out);
        }
        self.relaying = true;
        let mut to_send = self.departed_since(received.updates);
        to_send.extend(received.wanted);
        if !to_send.is_empty() {
            let last = !received.wanted.is_empty();
            self.send_claims(received.head.from, &to_send, Vec::new(), last, out);
        }
    }

    /// The members that a peer claims to be alive and that this node knows to have departed.
    ///
    /// Digests and headers do not include departed members, so the peer learns of the departure
    /// only by an answer to its claim. Otherwise it would send requests to the member until its own
    /// probe fails.
    fn departed_since(&self, updates: &[gossip::MemberUpdate]) -> Vec<ident::NodeId> {
        let departed = updates.iter().filter(|update| {
            let claimed = (update.incarnation, member::claimed_state(&update.status));
            let known = self.table.get(update.node);
            known.is_some_and(|record| !record.state.is_live() && record.rank() > claimed)
        });
        let claimed_alive =
            departed.filter(|update| member::claimed_state(&update.status).is_live());
        claimed_alive.map(|update| update.node).collect()
    }

    /// Sends the claims about `nodes` in as many messages as needed, and requests the claims about
    /// `wanted`.
    ///
    /// `last` states that the receiver then knows all members that this node knows to be alive.
    fn send_claims(
        &mut self,
        peer: ident::NodeId,
        nodes: &[ident::NodeId],
        wanted: Vec<ident::NodeId>,
        last: bool,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let nodes = &nodes[..nodes.len().min(gossip::MAX_MEMBER_HEADERS)];
        let mut wanted = Some(wanted);
        let mut parts = nodes.chunks(gossip::MAX_BULK_UPDATES).peekable();
        loop {
            let part = parts.next().unwrap_or_default();
            let message = gossip::SyncMessage::Members {
                head: self.head(),
                updates: part
                    .iter()
                    .filter_map(|node| self.full_claim(*node))
                    .collect(),
                wanted: wanted.take().unwrap_or_default(),
                last: last && parts.peek().is_none(),
            };
            self.send_sync(peer, message, out);
            if parts.peek().is_none() {
                return;
            }
        }
    }

    pub(super) fn send_sync(
        &mut self,
        peer: ident::NodeId,
        message: gossip::SyncMessage,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let Some(address) = self.table.get(peer).map(|m| m.facts.tcp) else {
            return;
        };
        self.counters.syncs_sent += 1;
        out.push(effect::FleetEffect::SendSync {
            peer,
            address,
            message,
        });
    }
}
