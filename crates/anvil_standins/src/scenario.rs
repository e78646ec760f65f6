//! A scenario of the experiment tool: demand, faults and callers' behaviour, as YAML.

use std::time::Duration;

use anvil_types::name;
use serde::Deserialize;

/// One scenario, read from a file of `examples/scenarios/`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPlan {
    /// The scenario's name.
    pub name: String,
    /// The mesh that it runs on, as a folder of `examples/`.
    pub mesh: String,
    /// Root requests per second outside the overload phase.
    pub base_rate: f64,
    /// Duration before the overload phase, in seconds.
    pub warm_seconds: f64,
    /// Duration of the overload phase, in seconds.
    pub pressure_seconds: f64,
    /// Duration observed after the overload phase, in seconds.
    pub after_seconds: f64,
    /// Demand during the overload phase, as a multiple of the base rate.
    #[serde(default = "one")]
    pub rate_factor: f64,
    /// Faults during the overload phase.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
    /// How callers behave.
    pub callers: CallerPlan,
}

fn one() -> f64 {
    1.0
}

/// A fault that starts with the overload phase and, unless stated otherwise, ends with it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultPlan {
    /// Work at every target of the service takes `factor` times as long.
    Slow {
        /// The affected service.
        service: name::ServiceName,
        /// Factor on the work time.
        factor: f64,
    },
    /// Every target and node in the zone crashes, and restarts at the end of the overload phase.
    LoseZone {
        /// The affected zone.
        zone: name::ZoneName,
    },
    /// The first half of the service's targets crash and restart cold after a second.
    ColdRestart {
        /// The affected service.
        service: name::ServiceName,
    },
    /// Nodes are stopped gracefully and restarted in groups, repeatedly through all nodes, until
    /// the number of restarts is reached.
    RollingRestart {
        /// Number of nodes that are restarted at once.
        at_once: usize,
        /// Total number of restarts.
        restarts: usize,
    },
    /// Callers send a request that crashes each target that runs it, and resend it.
    Poison {
        /// The service that they send it to.
        service: name::ServiceName,
        /// Sends per second, each to another entry node.
        rate: f64,
    },
}

/// How stand-in callers behave.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerPlan {
    /// Longest wait for one answer, in milliseconds.
    pub timeout_ms: u64,
    /// How often a caller resends a request after failures.
    #[serde(default)]
    pub resends: u32,
    /// Pause before a resend, in milliseconds.
    #[serde(default)]
    pub pause_ms: u64,
}

/// The phase boundaries of a scenario, since its start.
#[derive(Clone, Copy, Debug)]
pub struct PhaseTimes {
    /// Start of the overload phase.
    pub pressure: Duration,
    /// End of the overload phase.
    pub relief: Duration,
    /// When callers stop sending.
    pub end: Duration,
}

impl ScenarioPlan {
    /// Parses a scenario; errors contain the position.
    pub fn parse(text: &str) -> Result<Self, serde_saphyr::Error> {
        serde_saphyr::from_str(text)
    }

    /// The phase boundaries.
    pub fn times(&self) -> PhaseTimes {
        let pressure = Duration::from_secs_f64(self.warm_seconds);
        let relief = pressure + Duration::from_secs_f64(self.pressure_seconds);
        PhaseTimes {
            pressure,
            relief,
            end: relief + Duration::from_secs_f64(self.after_seconds),
        }
    }

    /// Root requests per second at a time since the start.
    pub fn rate_at(&self, since: Duration) -> f64 {
        let times = self.times();
        if since >= times.pressure && since < times.relief {
            self.base_rate * self.rate_factor
        } else {
            self.base_rate
        }
    }
}
