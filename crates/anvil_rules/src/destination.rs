//! Where a rule sends the requests that it matches.

use anvil_types::name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Most services that one rule divides its requests among.
pub const MAX_SPLIT_PARTS: usize = 64;

/// Largest weight of one part; all parts together stay far below what a sum can hold.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// One service and its share of the requests.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{service} {weight}")]
pub struct WeightedService {
    /// The service.
    pub service: name::ServiceName,
    /// Its share of all weights; zero sends it nothing.
    pub weight: u32,
}

/// The services that a rule sends its requests to.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleDestination {
    /// All to this one.
    #[display("{_0}")]
    Service(name::ServiceName),
    /// Each to one of these, in proportion to their weights.
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

    /// The service of a request whose random draw is `draw`.
    ///
    /// Each request draws for itself, and a service that is short of room keeps its share: moving
    /// what it refuses to the others would undo the division that the operator ordered.
    pub fn pick(&self, draw: u64) -> Option<&name::ServiceName> {
        match self {
            Self::Service(service) => Some(service),
            Self::Split(parts) => {
                let whole: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
                let mut left = draw.checked_rem(whole)?;
                for part in parts {
                    let weight = u64::from(part.weight);
                    if left < weight {
                        return Some(&part.service);
                    }
                    left -= weight;
                }
                None
            }
        }
    }
}
