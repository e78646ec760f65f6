//! Description of a user's mesh: its zones, services, requests and the calls of each request.

use anvil_types::{context, name};
use derive_more::{Display, Error};
use serde::Deserialize;

/// One mesh, as described in a `mesh.yaml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshPlan {
    /// The mesh's name.
    pub name: String,
    /// The region of all zones.
    pub region: name::RegionName,
    /// Availability zones; the instances of each service are distributed over them in turn.
    pub zones: Vec<name::ZoneName>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Kinds of root requests.
    pub requests: Vec<RequestPlan>,
}

/// One service of a mesh.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// The service's name.
    pub name: name::ServiceName,
    /// Number of targets.
    pub instances: usize,
    /// Concurrent requests of each target.
    pub slots: u32,
    /// Connections that each target accepts.
    pub connections: u32,
    /// Mean time of the target's own work for one request, in milliseconds.
    pub work_ms: f64,
    /// The calls that a request makes, by the request's step.
    #[serde(default)]
    pub steps: Vec<StepPlan>,
}

/// What a target does for one kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepPlan {
    /// The step, which is the first segment of the request's path.
    pub step: String,
    /// Calls made in sequence.
    pub calls: Vec<StepCall>,
}

/// One call that a target makes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepCall {
    /// The service called.
    pub service: name::ServiceName,
    /// HTTP method.
    pub method: String,
    /// The requested step.
    pub step: String,
}

/// One kind of root request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPlan {
    /// The kind's name, for reports.
    pub kind: String,
    /// The called service.
    pub service: name::ServiceName,
    /// HTTP method.
    pub method: String,
    /// The requested step.
    pub step: String,
    /// Share of all root requests, relative to the other kinds.
    pub weight: u32,
    /// The class that the rules assign to it, for reports only.
    pub class: context::PriorityClass,
}

/// Why a mesh is invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum MeshError {
    /// The text can't be parsed as a mesh.
    #[display("{reason}")]
    Text {
        /// The parser's message, with the position.
        #[error(not(source))]
        reason: String,
    },
    /// A call or request names a service that is not defined.
    #[display("service {service} is named but not defined")]
    Service {
        /// The undefined service.
        service: name::ServiceName,
    },
    /// No request has a weight.
    #[display("no request has a weight above zero")]
    Weights,
}

impl MeshPlan {
    /// Parses and checks a mesh.
    pub fn parse(text: &str) -> Result<Self, MeshError> {
        let plan: Self = serde_saphyr::from_str(text).map_err(|error| MeshError::Text {
            reason: error.to_string(),
        })?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), MeshError> {
        let steps = self.services.iter().flat_map(|service| &service.steps);
        let called = steps.flat_map(|step| &step.calls).map(|call| &call.service);
        let requested = self.requests.iter().map(|request| &request.service);
        for service in called.chain(requested) {
            if self.service(service).is_none() {
                let service = service.clone();
                return Err(MeshError::Service { service });
            }
        }
        if self.requests.iter().all(|request| request.weight == 0) {
            return Err(MeshError::Weights);
        }
        Ok(())
    }

    /// The service with the given name.
    pub fn service(&self, wanted: &name::ServiceName) -> Option<&ServicePlan> {
        self.services.iter().find(|plan| plan.name == *wanted)
    }

    /// Picks a kind of request by a random number, in proportion to the weights.
    pub fn pick(&self, random: u64) -> &RequestPlan {
        let total: u64 = self.requests.iter().map(|r| u64::from(r.weight)).sum();
        let mut left = random % total.max(1);
        for request in &self.requests {
            if left < u64::from(request.weight) {
                return request;
            }
            left -= u64::from(request.weight);
        }
        &self.requests[0]
    }
}
