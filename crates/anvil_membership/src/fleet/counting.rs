//! Carries out a census: splits it into parts and sums their replies.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_types::{ident, time};
use anvil_wire::gossip;

use crate::{census, effect, fleet};

impl fleet::FleetState {
    /// Starts to count on how many members this node's revision is in force; [`Self::census`]
    /// returns the result.
    ///
    /// Does nothing while an earlier count of an operator is open.
    pub fn count_revision(&mut self, now: time::NodeTime) -> Vec<effect::FleetEffect> {
        let mut out = Vec::new();
        let mut open = self.census.open.iter();
        if open.any(|open| open.requester == census::CensusRequester::Operator) {
            return out;
        }
        let count = gossip::CensusCount::default();
        let all_nodes = (ident::NodeId(0), ident::NodeId(u64::MAX));
        let revision = self.revision();
        let requester = census::CensusRequester::Operator;
        self.begin_census(
            now,
            requester,
            revision,
            count,
            all_nodes,
            census::TIMEOUT,
            &mut out,
        );
        out
    }

    /// The last complete count that an operator requested through this node.
    pub fn census(&self) -> Option<&census::CensusResult> {
        self.census.last.as_ref()
    }

    /// Handles a request or a reply of a count.
    pub(super) fn on_census(
        &mut self,
        now: time::NodeTime,
        from: SocketAddr,
        message: &gossip::CensusMessage,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        match message {
            gossip::CensusMessage::Query {
                census,
                revision,
                first,
                last,
                wait_millis,
            } => {
                let requester = census::CensusRequester::Member {
                    to: from,
                    census: *census,
                };
                let timeout = Duration::from_millis(u64::from(*wait_millis)).min(census::TIMEOUT);
                let part = (*first, *last);
                let count = gossip::CensusCount::default();
                self.begin_census(now, requester, *revision, count, part, timeout, out);
            }
            gossip::CensusMessage::Reply { census, count } => {
                self.on_part_reply(now, *census, count, out);
            }
        }
    }

    /// Retries silent parts, and ends the counts whose deadline has passed.
    pub(super) fn census_when_due(
        &mut self,
        now: time::NodeTime,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        self.retry_parts(now, out);
        while let Some(index) = self
            .census
            .open
            .iter()
            .position(|open| open.deadline <= now)
        {
            let mut open = self.census.open.remove(index);
            open.count_missing_as_silent();
            self.end_census(now, open, out);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn begin_census(
        &mut self,
        now: time::NodeTime,
        requester: census::CensusRequester,
        revision: ident::RuleRevision,
        mut count: gossip::CensusCount,
        part: (ident::NodeId, ident::NodeId),
        timeout: Duration,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        if self.census.open.len() >= census::OPEN_LIMIT {
            return;
        }
        if self.revision() >= revision {
            count.holding += 1;
        } else {
            count.behind += 1;
            census::note_lagging(&mut count, self.local);
        }
        let members = self.table.range(part.0, part.1).iter();
        let members = members.filter(|m| m.state.is_live() && m.node != self.local);
        let members: Vec<_> = members.map(|m| m.node).collect();
        let size = members.len().div_ceil(census::PARTS).max(1);
        // A part that spans this node's id would make the part's counter count this node again.
        let (before, after) = members.split_at(members.partition_point(|n| *n < self.local));
        let parts = before.chunks(size).chain(after.chunks(size));
        let parts = parts.map(|members| census::OpenPart {
            members: members.to_vec(),
            counter: self.local,
            answered: false,
        });
        let part_timeout = timeout * census::PART_TIMEOUT_SHARE / census::PART_TIMEOUT_WHOLE;
        let mut open = census::OpenCensus {
            number: self.census.next_number,
            requester,
            revision,
            count,
            parts: parts.collect(),
            retry_at: Some(now + timeout / 2),
            part_timeout,
            deadline: now + timeout,
        };
        self.census.next_number = open.number.wrapping_add(open.parts.len() as u32);
        self.request_parts(&mut open, out);
        if open.is_complete() {
            self.end_census(now, open, out);
        } else {
            self.census.open.push(open);
        }
    }

    /// Requests the parts without a reply from other members, once.
    ///
    /// A counter may have just crashed; without the retry its whole part would count as silent.
    fn retry_parts(&mut self, now: time::NodeTime, out: &mut Vec<effect::FleetEffect>) {
        let mut open_counts = std::mem::take(&mut self.census.open);
        for open in &mut open_counts {
            if open.retry_at.take_if(|due| *due <= now).is_some() {
                self.request_parts(open, out);
            }
        }
        self.census.open = open_counts;
    }

    /// Requests each part without a reply from one of its members, a different one than before.
    fn request_parts(&mut self, open: &mut census::OpenCensus, out: &mut Vec<effect::FleetEffect>) {
        for (index, part) in open
            .parts
            .iter_mut()
            .enumerate()
            .filter(|(_, p)| !p.answered)
        {
            let previous = part.counter;
            let candidates = part.members.iter().filter(|node| **node != previous);
            let candidates: Vec<_> = candidates.copied().collect();
            let (Some(first), Some(last)) = (part.members.first(), part.members.last()) else {
                continue;
            };
            let Some(counter) = candidates.get(self.choice.below(candidates.len())).copied() else {
                continue;
            };
            part.counter = counter;
            let message = gossip::CensusMessage::Query {
                census: open.number.wrapping_add(index as u32),
                revision: open.revision,
                first: *first,
                last: *last,
                wait_millis: u32::try_from(open.part_timeout.as_millis()).unwrap_or(u32::MAX),
            };
            if let Some(to) = self.table.get(counter).map(|m| m.facts.udp) {
                self.send(to, gossip::GossipKind::Census(message), Vec::new(), out);
            }
        }
    }

    fn on_part_reply(
        &mut self,
        now: time::NodeTime,
        number: u32,
        count: &gossip::CensusCount,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let index = self.census.open.iter().position(|open| {
            let part_index = number.wrapping_sub(open.number) as usize;
            open.parts
                .get(part_index)
                .is_some_and(|part| !part.answered)
        });
        let Some(index) = index else {
            return;
        };
        let open = &mut self.census.open[index];
        let part_index = number.wrapping_sub(open.number) as usize;
        open.parts[part_index].answered = true;
        open.add(count);
        if open.is_complete() {
            let open = self.census.open.remove(index);
            self.end_census(now, open, out);
        }
    }

    fn end_census(
        &mut self,
        now: time::NodeTime,
        open: census::OpenCensus,
        out: &mut Vec<effect::FleetEffect>,
    ) {
        let census::OpenCensus {
            requester,
            revision,
            count,
            ..
        } = open;
        match requester {
            census::CensusRequester::Operator => {
                let at = now;
                self.census.last = Some(census::CensusResult {
                    revision,
                    count,
                    at,
                });
            }
            census::CensusRequester::Member { to, census } => {
                let reply = gossip::CensusMessage::Reply { census, count };
                self.send(to, gossip::GossipKind::Census(reply), Vec::new(), out);
            }
        }
    }
}
