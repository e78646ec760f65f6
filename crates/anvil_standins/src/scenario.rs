//! A scenario of the experiment tool: demand, faults and callers' habits, as YAML.

use std::time::Duration;

use anvil_types::name;
use serde::Deserialize;

/// One scenario, read from a file of `examples/scenarios/`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPlan {
    /// Its name.
    pub name: String,
    /// The mesh it runs on: a folder of `examples/`.
    pub mesh: String,
    /// Root requests per second outside of the pressure.
    pub base_rate: f64,
    /// Time before the pressure, in seconds.
    pub warm_seconds: f64,
    /// Time of the pressure, in seconds.
    pub pressure_seconds: f64,
    /// Time observed after the pressure, in seconds.
    pub after_seconds: f64,
    /// Demand during the pressure, as a multiple of the base rate.
    #[serde(default = "one")]
    pub rate_factor: f64,
    /// Faults that start with the pressure.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
    /// How callers behave.
    pub callers: CallerPlan,
}

fn one() -> f64 {
    1.0
}

/// A fault that starts with the pressure and, unless it says otherwise, ends with it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultPlan {
    /// Work at every target of the service takes `factor` times as long.
    Slow {
        /// Which service.
        service: name::ServiceName,
        /// How much longer.
        factor: f64,
    },
    /// Every target and node in the zone is cut; they come back with the end of the pressure.
    LoseZone {
        /// Which zone.
        zone: name::ZoneName,
    },
    /// The first half of the service's targets crash and come back cold after a second.
    ColdRestart {
        /// Which service.
        service: name::ServiceName,
    },
    /// Nodes are stopped gracefully and started anew, some at once, until all have been; then
    /// again from the first, while the pressure lasts.
    RollingRestart {
        /// Nodes that are restarted at once.
        at_once: usize,
        /// Restarts in all.
        restarts: usize,
    },
    /// Callers send a request that crashes each target that runs it, and resend it.
    Poison {
        /// Which service they send it to.
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
    /// Times a caller sends the same request again after a failure.
    #[serde(default)]
    pub resends: u32,
    /// Pause before a resend, in milliseconds.
    #[serde(default)]
    pub pause_ms: u64,
}

/// The times that divide a scenario, since its start.
#[derive(Clone, Copy, Debug)]
pub struct PhaseTimes {
    /// When the pressure starts.
    pub pressure: Duration,
    /// When the pressure ends.
    pub relief: Duration,
    /// When callers stop.
    pub end: Duration,
}

impl ScenarioPlan {
    /// Reads a scenario; the error names the place.
    pub fn parse(text: &str) -> Result<Self, serde_saphyr::Error> {
        serde_saphyr::from_str(text)
    }

    /// The times that divide it.
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
