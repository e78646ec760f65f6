//! Joining, and the exchange of digests that mends what datagrams lost.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{digest, effect, fleet, member, roster};

/// Time between two attempts to join.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Ends between two exchanges that count as a storm.
const STORM_ENDS: u32 = 16;

/// Quiet time behind the last end of a storm before digests are compared.
const STORM_QUIET: Duration = Duration::from_secs(4);

/// Claims of one bulk message that are still repeated by datagrams.
///
/// A few may be news to everybody; many are old news that only the receiver missed, and repeating
/// them would flood a healthy fleet each time somebody joins.
const REPEAT_LIMIT: usize = 32;

/// Below this size a node takes the whole fleet instead of comparing digests.
const NEWCOMER_MEMBERS: usize = 10;

/// The members that a peer knows alive, in the buckets in which the two differ.
struct PeerHeaders<'a> {
    head: gossip::GossipHead,
    buckets: u32,
    differing: &'a [u32],
    headers: &'a [gossip::MemberHeader],
}

/// Claims of a peer, and the identities whose claims it lacks.
struct PeerClaims<'a> {
    head: gossip::GossipHead,
    updates: &'a [gossip::MemberUpdate],
    wanted: &'a [ident::NodeId],
}

impl fleet::FleetState {
    /// Takes a bulk message of a peer.
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
        self.on_head(now, message.head(), &mut out);
        let sender = self.table.get(peer).map(|m| m.facts.udp);
        if let Some(from) = sender {
            self.hear_revision(now, from, message.head(), &mut out);
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
                let told = PeerHeaders {
                    head: *head,
                    buckets: *buckets,
                    differing,
                    headers,
                };
                self.on_headers(now, &told, &mut out);
            }
            gossip::SyncMessage::Members {
                head,
                updates,
                wanted,
                last,
            } => {
                let told = PeerClaims {
                    head: *head,
                    updates,
                    wanted,
                };
                self.on_members(now, &told, &mut out);
                if *last {
                    self.members_compared(now, *head, &mut out);
                }
            }
            gossip::SyncMessage::Changes {
                snapshot, changes, ..
            } => {
                if let Some(snapshot) = snapshot {
                    self.take_snapshot(snapshot, &mut out);
                }
                self.take_changes(changes, &mut out);
            }
        }
        self.push_now(now, &mut out);
        out
    }

    /// Joins through the node at `address`, beside the seeds and the store's contacts.
    pub fn join(&mut self, address: SocketAddr) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        self.join_through(address, &mut out);
        out
    }

    /// Asks a seed to be let in, until any member has answered.
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

    /// Asks the node at `address`, whichever it is, to be let in.
    pub(super) fn join_through(&mut self, address: SocketAddr, out: &mut Vec<effect::FleetEffect>) {
        let updates = self.claim(self.local).into_iter().collect();
        self.send(address, gossip::GossipKind::Join, updates, out);
    }

    /// Compares digests with a random member.
    pub(super) fn sync_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let storm = self.timers.storm_sync.take_if(|due| *due <= now);
        if now < self.timers.sync && storm.is_none() {
            return;
        }
        self.recent_ends = 0;
        self.timers.storm_sync = None;
        let newcomer = self.table.live() <= NEWCOMER_MEMBERS;
        // A node that starts among many that start has only the part that its first peer knew.
        let hasty = newcomer || self.early_syncs > 0;
        let compared = self.roster.is_compared();
        let interval = match (compared, hasty) {
            (false, _) => roster::COMPARE_RETRY_INTERVAL,
            (true, true) => self.config.sync_interval / 10,
            (true, false) => self.config.sync_interval,
        };
        self.timers.sync = now + interval + self.choice.span(interval / 4);
        let partner = if compared {
            self.sync_partner()
        } else {
            self.compared_partner()
        };
        let Some(peer) = partner else {
            return;
        };
        if compared {
            self.early_syncs = self.early_syncs.saturating_sub(1);
        }
        let sums = if newcomer {
            Vec::new()
        } else {
            digest::sums(&self.table, digest::bucket_count(self.table.live()))
        };
        let head = self.head();
        let sender = self.introduction();
        let digest = gossip::SyncMessage::Digest { head, sums, sender };
        self.send_sync(peer, digest, out);
    }

    /// With whom digests are compared next: a random member at first, then one of a few.
    ///
    /// A bulk message opens a connection that stays. Random partners would make a node of a large
    /// fleet collect thousands of connections within a day. The members that follow at halved
    /// distances around the sorted identities are `log2(n)` and seldom change, and news still
    /// crosses the fleet in as many steps.
    fn sync_partner(&mut self) -> Option<ident::NodeId> {
        if self.early_syncs > 0 || self.table.live() <= NEWCOMER_MEMBERS {
            let drawn = self.table.draw_live(&mut self.choice, &[self.local])?;
            return Some(drawn.node);
        }
        let distances = self.table.live().ilog2() as usize + 1;
        let halvings = self.choice.below(distances);
        let distance = 1 << (u64::BITS as usize - 1 - halvings);
        let from = ident::NodeId(self.local.0.wrapping_add(distance));
        Some(self.table.successor(from, self.local)?.node)
    }

    /// Notes an end; after many, digests are compared as soon as it has been quiet for a while.
    ///
    /// In a zone's loss each claim has less room on the datagrams, so here and there a node misses
    /// one and would send work to a target that is gone until the next regular exchange.
    pub(super) fn note_end(&mut self, now: time::NodeTime) {
        self.recent_ends += 1;
        if self.recent_ends >= STORM_ENDS {
            let pause = STORM_QUIET + self.choice.span(STORM_QUIET / 2);
            self.timers.storm_sync = Some(now + pause);
        }
    }

    /// Forgets the members that were gone long ago.
    pub(super) fn trim_when_due(&mut self, now: time::NodeTime) {
        if now < self.timers.trim {
            return;
        }
        self.timers.trim = now + self.config.reconnect_interval;
        if self.joined && self.table.live() == 1 {
            // Everybody is gone, so nobody will speak to this node first: join anew.
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
            self.send_everything(peer, out);
            return;
        }
        if !digest::is_bucket_count(sums.len()) {
            return;
        }
        let own = digest::sums(&self.table, sums.len());
        let pairs = own.iter().zip(sums).enumerate();
        let differing = pairs.filter(|(_, (own, theirs))| own != theirs);
        let differing: Vec<u32> = differing.map(|(place, _)| place as u32).collect();
        // A newcomer waits to hear that it knows all.
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

    fn send_everything(&mut self, peer: ident::NodeId, out: &mut Vec<effect::FleetEffect>) {
        let live = self.table.all().iter().filter(|m| m.state.is_live());
        let live: Vec<_> = live.map(|m| m.node).collect();
        self.send_claims(peer, &live, Vec::new(), true, out);
    }

    fn on_headers(
        &mut self,
        now: time::NodeTime,
        told: &PeerHeaders<'_>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let buckets = told.buckets as usize;
        if !digest::is_bucket_count(buckets) {
            return;
        }
        let mut theirs = told.headers.to_vec();
        theirs.sort_unstable_by_key(|header| header.node);
        let own = digest::headers(&self.table, buckets, told.differing);
        let mut telling: Vec<_> = own
            .iter()
            .filter(|own| {
                let place = theirs.binary_search_by_key(&own.node, |header| header.node);
                place.is_err()
            })
            .map(|own| own.node)
            .collect();
        let mut wanted = Vec::new();
        for header in &theirs {
            let theirs = (header.incarnation, member::MemberState::Alive);
            match self.table.get(header.node) {
                None => wanted.push(header.node),
                Some(record) if record.rank() < theirs => wanted.push(header.node),
                Some(record) if record.rank() > theirs => telling.push(header.node),
                Some(_) => {}
            }
        }
        if wanted.is_empty() {
            self.members_compared(now, told.head, out);
        }
        if telling.is_empty() && wanted.is_empty() {
            return;
        }
        self.send_claims(told.head.from, &telling, wanted, true, out);
    }

    fn on_members(
        &mut self,
        now: time::NodeTime,
        told: &PeerClaims<'_>,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.repeating = told.updates.len() <= REPEAT_LIMIT;
        for update in told.updates {
            self.apply(now, update, out);
        }
        self.repeating = true;
        let mut telling = self.ended_since(told.updates);
        telling.extend(told.wanted);
        if !telling.is_empty() {
            let last = !told.wanted.is_empty();
            self.send_claims(told.head.from, &telling, Vec::new(), last, out);
        }
    }

    /// The members that a peer claims alive and this node knows to have ended since.
    ///
    /// Ended members stand in no digest and no header, so the peer learns of the end only if its
    /// claim is answered; it would otherwise send work there until its own probe fails.
    fn ended_since(&self, updates: &[gossip::MemberUpdate]) -> Vec<ident::NodeId> {
        let ended = updates.iter().filter(|update| {
            let claimed = (update.incarnation, member::claimed_state(&update.status));
            let known = self.table.get(update.node);
            known.is_some_and(|record| !record.state.is_live() && record.rank() > claimed)
        });
        let claimed_alive = ended.filter(|update| member::claimed_state(&update.status).is_live());
        claimed_alive.map(|update| update.node).collect()
    }

    /// Sends the claims about `nodes`, in as many messages as they need, and asks for `wanted`; `last` says
    /// that the receiver then knows all members that this node knows alive.
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
                    .filter_map(|node| self.whole_claim(*node))
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
