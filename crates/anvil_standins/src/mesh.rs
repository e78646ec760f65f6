//! A user's mesh as data: its zones, services, requests and what each request calls.

use anvil_types::{context, name};
use derive_more::{Display, Error};
use serde::Deserialize;

/// One mesh, read from a `mesh.yaml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshPlan {
    /// The mesh's name.
    pub name: String,
    /// The region all zones lie in.
    pub region: name::RegionName,
    /// Availability zones; the instances of each service are dealt to them in turn.
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
    /// Its name.
    pub name: name::ServiceName,
    /// Number of targets.
    pub instances: usize,
    /// Requests that each target runs at once.
    pub slots: u32,
    /// Connections that each target accepts.
    pub connections: u32,
    /// Mean time of the target's own work for one request, in milliseconds.
    pub work_ms: f64,
    /// What a request calls on its way, by the request's step.
    #[serde(default)]
    pub steps: Vec<StepPlan>,
}

/// What a target does for one kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepPlan {
    /// The step, as it stands first in the request's path.
    pub step: String,
    /// Calls made one after the other.
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
    /// The step asked for.
    pub step: String,
}

/// One kind of root request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPlan {
    /// The kind's name, for reports.
    pub kind: String,
    /// The service asked for.
    pub service: name::ServiceName,
    /// HTTP method.
    pub method: String,
    /// The step asked for.
    pub step: String,
    /// Share of all root requests, relative to the other kinds.
    pub weight: u32,
    /// The class that the rules give it, for reports only.
    pub class: context::PriorityClass,
}

/// Why a mesh was refused.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum MeshError {
    /// The text is no mesh.
    #[display("{reason}")]
    Text {
        /// What the parser said, with the place.
        #[error(not(source))]
        reason: String,
    },
    /// A call or request names a service that the mesh lacks.
    #[display("service {service} is named but not defined")]
    Service {
        /// The name.
        service: name::ServiceName,
    },
    /// No request has a weight.
    #[display("no request has a weight above zero")]
    Weights,
}

impl MeshPlan {
    /// Reads and checks a mesh.
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
        let asked = self.requests.iter().map(|request| &request.service);
        for service in called.chain(asked) {
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

    /// The service of that name.
    pub fn service(&self, wanted: &name::ServiceName) -> Option<&ServicePlan> {
        self.services.iter().find(|plan| plan.name == *wanted)
    }

    /// The kind that a number below the sum of all weights falls on.
    pub fn pick(&self, draw: u64) -> &RequestPlan {
        let total: u64 = self.requests.iter().map(|r| u64::from(r.weight)).sum();
        let mut left = draw % total.max(1);
        for request in &self.requests {
            if left < u64::from(request.weight) {
                return request;
            }
            left -= u64::from(request.weight);
        }
        &self.requests[0]
    }
}
