//! Members that stand accused, and how long they have to refute.

use std::time::Duration;

use anvil_types::{ident, time};

use crate::config;

/// Accusers beyond the first that bring the time down to its floor.
const CONFIRMATIONS: usize = 2;

/// Suspicions that a node only heard of last this many times the ceiling.
const HEARSAY_FACTOR: u32 = 2;

/// Members that a node asks again at the same time.
const ASKED_LIMIT: usize = 8;

/// Fleets below this size hold too few independent accusers to wait for.
const SMALL_FLEET: usize = 5;

/// One accused member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The member.
    pub node: ident::NodeId,
    /// When this node heard of it.
    pub since: time::NodeTime,
    /// The nodes whose probes failed, the first one first.
    pub accusers: Vec<ident::NodeId>,
    /// Whether this node's own probe failed.
    pub is_accuser: bool,
    /// When this node asks the member again, where it does.
    pub ping_at: Option<time::NodeTime>,
}

impl Suspicion {
    /// When the member counts as gone, in a fleet of `live` members.
    ///
    /// One accuser may itself be at fault, so a single accusation leaves the longer time; each
    /// independent one shortens it. The accusers ask the member again all the while and judge; the
    /// others only step in where no accuser is left to, since a refutation may still be on its way
    /// to them.
    pub fn deadline(&self, config: &config::FleetConfig, live: usize) -> time::NodeTime {
        self.since + self.span(config, live)
    }

    fn span(&self, config: &config::FleetConfig, live: usize) -> Duration {
        if !self.is_accuser {
            return config.suspicion_ceiling * HEARSAY_FACTOR;
        }
        if live < SMALL_FLEET {
            return config.suspicion_floor;
        }
        match self.accusers.len() {
            0 | 1 => config.suspicion_ceiling,
            count if count <= CONFIRMATIONS => {
                (config.suspicion_floor + config.suspicion_ceiling) / 2
            }
            _ => config.suspicion_floor,
        }
    }
}

/// What an accusation changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accusation {
    /// The member was not accused before.
    First,
    /// Another accuser, which shortens the time.
    Confirmed,
    /// Nothing new.
    Known,
}

/// All accused members, sorted by identity.
#[derive(Clone, Debug, Default)]
pub struct SuspicionList {
    list: Vec<Suspicion>,
}

impl SuspicionList {
    /// Notes that `by`'s probe of `node` failed.
    pub fn accuse(
        &mut self,
        node: ident::NodeId,
        by: ident::NodeId,
        now: time::NodeTime,
    ) -> Accusation {
        match self.place(node) {
            Err(place) => {
                let accusers = vec![by];
                let since = now;
                let entry = Suspicion {
                    node,
                    since,
                    accusers,
                    is_accuser: false,
                    ping_at: None,
                };
                self.list.insert(place, entry);
                Accusation::First
            }
            Ok(place) => {
                let accusers = &mut self.list[place].accusers;
                if accusers.len() > CONFIRMATIONS || accusers.contains(&by) {
                    return Accusation::Known;
                }
                accusers.push(by);
                Accusation::Confirmed
            }
        }
    }

    /// Lets this node ask `node` again from `now` on, being an accuser.
    pub fn ping_as_accuser(&mut self, node: ident::NodeId, now: time::NodeTime) {
        if let Ok(place) = self.place(node) {
            self.list[place].is_accuser = true;
            self.list[place].ping_at.get_or_insert(now);
        }
    }

    /// Lets this node ask members whose accusers have neither ended nor cleared them in time.
    ///
    /// A refutation that was lost on the way to this node alone would otherwise let it end a live
    /// member. Few are asked at once, so that a region's loss is no storm of pings.
    pub fn ping_unresolved(&mut self, ceiling: Duration, now: time::NodeTime) {
        let mut asking = self.list.iter().filter(|s| s.ping_at.is_some()).count();
        for entry in &mut self.list {
            let late = entry.ping_at.is_none() && entry.since + ceiling <= now;
            if late && asking < ASKED_LIMIT {
                entry.ping_at = Some(now);
                asking += 1;
            }
        }
    }

    /// Members to ask again now.
    pub fn take_due_pings(
        &mut self,
        interval: Duration,
        now: time::NodeTime,
    ) -> Vec<ident::NodeId> {
        let mut asks = Vec::new();
        for entry in &mut self.list {
            if entry.ping_at.is_some_and(|at| at <= now) {
                entry.ping_at = Some(now + interval);
                asks.push(entry.node);
            }
        }
        asks
    }

    /// Drops the accusation of `node`.
    pub fn clear(&mut self, node: ident::NodeId) {
        if let Ok(place) = self.place(node) {
            self.list.remove(place);
        }
    }

    /// The accusation of `node`, where there is one.
    pub fn get(&self, node: ident::NodeId) -> Option<&Suspicion> {
        self.place(node).ok().map(|place| &self.list[place])
    }

    /// All accusations, sorted by identity.
    pub fn all(&self) -> &[Suspicion] {
        &self.list
    }

    /// Members whose time is over.
    pub fn due(
        &self,
        config: &config::FleetConfig,
        live: usize,
        now: time::NodeTime,
    ) -> Vec<ident::NodeId> {
        let late = |s: &&Suspicion| s.deadline(config, live) <= now;
        self.list.iter().filter(late).map(|s| s.node).collect()
    }

    /// When the next time is over, or a member is asked again.
    pub fn next_deadline(
        &self,
        config: &config::FleetConfig,
        live: usize,
    ) -> Option<time::NodeTime> {
        let wakes = |s: &Suspicion| {
            let deadline = s.deadline(config, live);
            s.ping_at.map_or(deadline, |ask| ask.min(deadline))
        };
        self.list.iter().map(wakes).min()
    }

    /// Gives every accused member the whole time again.
    ///
    /// While this process was paused it could not hear the refutations, which wait in its socket;
    /// without this, it would declare the accused gone before reading them.
    pub fn restart(&mut self, now: time::NodeTime) {
        for entry in &mut self.list {
            entry.since = now;
        }
    }

    fn place(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.list.binary_search_by_key(&node, |s| s.node)
    }
}
