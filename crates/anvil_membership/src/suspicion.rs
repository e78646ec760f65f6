//! Suspect members, and the time that they have to refute.

use std::time::Duration;

use anvil_types::{ident, time};

use crate::config;

/// Number of accusers beyond the first that shorten the time to its minimum.
const CONFIRMATIONS: usize = 2;

/// Multiple of the longest time after which a node that is not an accuser itself declares the
/// suspect dead.
const SECONDHAND_FACTOR: u32 = 2;

/// Number of pinged suspects up to which a node starts to ping suspects that it did not accuse.
const PINGED_LIMIT: usize = 8;

/// Size of the fleet below which it has too few members for independent accusers.
const SMALL_FLEET: usize = 5;

/// A suspect member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The member's id.
    pub node: ident::NodeId,
    /// When this node first received an accusation.
    pub since: time::NodeTime,
    /// The nodes whose probes failed, in the order in which this node learned of them.
    pub accusers: Vec<ident::NodeId>,
    /// Whether this node is an accuser itself.
    pub is_accuser: bool,
    /// When this node pings the member next, if it does so.
    pub ping_at: Option<time::NodeTime>,
}

impl Suspicion {
    /// When the member is declared dead, in a fleet of `live` members.
    ///
    /// A single accuser may be at fault itself, so each independent accuser shortens the time. The
    /// accusers keep pinging the member and declare it dead. The other nodes, which a refutation
    /// may not have reached yet, declare it dead only if no accuser has done so by a later
    /// deadline.
    pub fn deadline(&self, config: &config::FleetConfig, live: usize) -> time::NodeTime {
        self.since + self.span(config, live)
    }

    fn span(&self, config: &config::FleetConfig, live: usize) -> Duration {
        if !self.is_accuser {
            return config.suspicion_ceiling * SECONDHAND_FACTOR;
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

/// The effect of an accusation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accusation {
    /// The member was not suspect before.
    First,
    /// It came from another accuser, which shortens the time.
    Confirmed,
    /// It changed nothing.
    Known,
}

/// All suspect members, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct SuspicionList {
    list: Vec<Suspicion>,
}

impl SuspicionList {
    /// Records that `by` accuses `node`.
    pub fn accuse(
        &mut self,
        node: ident::NodeId,
        by: ident::NodeId,
        now: time::NodeTime,
    ) -> Accusation {
        match self.search(node) {
            Err(index) => {
                let accusers = vec![by];
                let since = now;
                let entry = Suspicion {
                    node,
                    since,
                    accusers,
                    is_accuser: false,
                    ping_at: None,
                };
                self.list.insert(index, entry);
                Accusation::First
            }
            Ok(index) => {
                let accusers = &mut self.list[index].accusers;
                if accusers.len() > CONFIRMATIONS || accusers.contains(&by) {
                    return Accusation::Known;
                }
                accusers.push(by);
                Accusation::Confirmed
            }
        }
    }

    /// Marks this node as an accuser of `node`, which it pings from `now` on.
    pub fn ping_as_accuser(&mut self, node: ident::NodeId, now: time::NodeTime) {
        if let Ok(index) = self.search(node) {
            self.list[index].is_accuser = true;
            self.list[index].ping_at.get_or_insert(now);
        }
    }

    /// Starts to ping suspects that are unresolved for longer than `ceiling`, although this node is
    /// not an accuser.
    ///
    /// If only this node missed a refutation, it would otherwise declare a live member dead. The
    /// number of these suspects is limited, so that the loss of a region does not cause a flood of
    /// pings.
    pub fn ping_unresolved(&mut self, ceiling: Duration, now: time::NodeTime) {
        let mut pinged = self.list.iter().filter(|s| s.ping_at.is_some()).count();
        for entry in &mut self.list {
            let late = entry.ping_at.is_none() && entry.since + ceiling <= now;
            if late && pinged < PINGED_LIMIT {
                entry.ping_at = Some(now);
                pinged += 1;
            }
        }
    }

    /// Returns the suspects to ping now, and schedules their next pings.
    pub fn take_due_pings(
        &mut self,
        interval: Duration,
        now: time::NodeTime,
    ) -> Vec<ident::NodeId> {
        let mut due = Vec::new();
        for entry in &mut self.list {
            if entry.ping_at.is_some_and(|at| at <= now) {
                entry.ping_at = Some(now + interval);
                due.push(entry.node);
            }
        }
        due
    }

    /// Removes the suspicion of `node`.
    pub fn clear(&mut self, node: ident::NodeId) {
        if let Ok(index) = self.search(node) {
            self.list.remove(index);
        }
    }

    /// The suspicion of `node`, if there is one.
    pub fn get(&self, node: ident::NodeId) -> Option<&Suspicion> {
        self.search(node).ok().map(|index| &self.list[index])
    }

    /// All suspicions, sorted by member id.
    pub fn all(&self) -> &[Suspicion] {
        &self.list
    }

    /// Suspects whose deadline has passed.
    pub fn due(
        &self,
        config: &config::FleetConfig,
        live: usize,
        now: time::NodeTime,
    ) -> Vec<ident::NodeId> {
        let late = |s: &&Suspicion| s.deadline(config, live) <= now;
        self.list.iter().filter(late).map(|s| s.node).collect()
    }

    /// When the next deadline or ping is due.
    pub fn next_deadline(
        &self,
        config: &config::FleetConfig,
        live: usize,
    ) -> Option<time::NodeTime> {
        let wakes = |s: &Suspicion| {
            let deadline = s.deadline(config, live);
            s.ping_at.map_or(deadline, |ping| ping.min(deadline))
        };
        self.list.iter().map(wakes).min()
    }

    /// Restarts the time of every suspect.
    ///
    /// Refutations that arrived while this process was paused are still unread in its socket.
    /// Without the restart, it would declare the suspects dead before it reads them.
    pub fn restart(&mut self, now: time::NodeTime) {
        for entry in &mut self.list {
            entry.since = now;
        }
    }

    fn search(&self, node: ident::NodeId) -> Result<usize, usize> {
        self.list.binary_search_by_key(&node, |s| s.node)
    }
}
