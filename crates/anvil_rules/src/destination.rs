//! The services that a rule sends matching requests to.

use anvil_types::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum number of services in a traffic split.
pub const MAX_SPLIT_PARTS: usize = 64;

/// Maximum weight of one part, so that the sum of all weights can't overflow.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// One service and its share of the requests.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{service} {weight}")]
pub struct WeightedService {
    /// The service.
    pub service: name::ServiceName,
    /// Its weight relative to the sum of all weights; with zero it receives no request.
    pub weight: u32,
}

/// The services that a rule sends its requests to.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleDestination {
    /// All requests go to this service.
    #[display("{_0}")]
    Service(name::ServiceName),
    /// Each request goes to one of these services, in proportion to their weights.
    #[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "))]
    Split(Vec<WeightedService>),
}

impl RuleDestination {
    /// Whether requests may be sent to `service`.
    pub fn includes(&self, service: &name::ServiceName) -> bool {
        match self {
            Self::Service(own) => own == service,
            Self::Split(parts) => parts.iter().any(|part| part.service == *service),
        }
    }

    /// Selects the service for a request by the random number `draw`.
    ///
    /// Each request is drawn independently, and an overloaded service keeps its share: sending what
    /// it refuses to the others would change the split that the operator configured.
    pub fn pick(&self, draw: u64) -> Option<&name::ServiceName> {
        match self {
            Self::Service(service) => Some(service),
            Self::Split(parts) => {
                let total: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
                let mut remaining = draw.checked_rem(total)?;
                for part in parts {
                    let weight = u64::from(part.weight);
                    if remaining < weight {
                        return Some(&part.service);
                    }
                    remaining -= weight;
                }
                None
            }
        }
    }
}
