//! Services, load and faults of a simulated mesh.

use std::time::Duration;

use anvil_overload::policy;
use anvil_types::context;

/// One service and, for each kind of request, the services that its targets call in sequence.
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    pub(crate) work: Duration,
    pub(crate) calls: &'static [(&'static str, &'static [&'static str])],
}

/// The claims mesh in its users' sizes; its deepest service can serve about 290 requests a second.
pub(crate) fn claims_mesh() -> Vec<Service> {
    let service = |name, slots, millis, calls| Service {
        name,
        targets: 4,
        slots,
        work: Duration::from_millis(millis),
        calls,
    };
    vec![
        service(
            "portal-ciudadano",
            40,
            10,
            &[
                ("claim", &["mesa-entradas"]),
                ("hearing", &["audiencias"]),
                ("status", &["mesa-entradas"]),
                ("evidence", &["expediente"]),
                ("poison", &["expediente"]),
            ],
        ),
        service(
            "mesa-entradas",
            40,
            10,
            &[
                ("claim", &["audiencias", "expediente"]),
                ("status", &["expediente"]),
            ],
        ),
        service(
            "audiencias",
            40,
            10,
            &[("claim", &["expediente"]), ("hearing", &["expediente"])],
        ),
        service("expediente", 8, 100, &[]),
    ]
}

/// Requests a second that saturate the deepest service.
pub(crate) const SATURATION_PER_S: f64 = 290.0;

/// Kinds of request, each with its share in percent and its class.
pub(crate) const KINDS: [(&str, u64, context::PriorityClass); 4] = [
    ("claim", 10, context::PriorityClass::Critical),
    ("hearing", 25, context::PriorityClass::High),
    ("status", 50, context::PriorityClass::Normal),
    ("evidence", 15, context::PriorityClass::Low),
];

pub(crate) const RULES: &str = "rules:
  - {name: claim, when: {path: '/claim/**'}, then: {class: critical, idempotent: false, retries: 3}}
  - {name: hearing, when: {path: '/hearing/**'}, then: {class: high, idempotent: true, retries: 3}}
  - {name: evidence, when: {path: '/evidence/**'}, then: {class: low, idempotent: true, retries: 3}}
  - {name: other, when: {}, then: {class: normal, idempotent: true, retries: 3}}
";

/// A fault at the targets of the deepest service.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// One target works at a tenth of its speed.
    OneSlow,
    /// One target answers every request at once with a server error.
    OneFailing,
    /// All targets answer with a server error.
    AllFailing,
    /// Half of the targets crash at the beginning and restart cold.
    ColdHalf,
    /// Three runs of ten break in the middle of their answer.
    Breaking,
}

/// Load and faults of a simulation; times are in seconds since the start.
#[derive(Clone)]
pub(crate) struct Plan {
    pub(crate) policy: policy::OverloadPolicy,
    pub(crate) seed: u64,
    pub(crate) until: f64,
    /// Start times, each with the requests a second from then on.
    pub(crate) rates: Vec<(f64, f64)>,
    /// Start times, each with a service and the factor on its working time from then on.
    pub(crate) slow: Vec<(f64, &'static str, f64)>,
    /// The fault, with its start and end.
    pub(crate) fault: (Fault, f64, f64),
    /// Copies that a caller sends after failures, each 100 ms after the last failure.
    pub(crate) resends: u32,
    /// Additional requests a second that need only the first service.
    pub(crate) side_rate: f64,
    /// Time after which callers disconnect, if they do so before their deadline.
    pub(crate) disconnect_after: Option<Duration>,
    /// The callers' timeout.
    pub(crate) client_timeout: Duration,
}

impl Plan {
    pub(crate) fn new(policy: policy::OverloadPolicy) -> Self {
        Self {
            policy,
            seed: 1,
            until: 12.0,
            rates: vec![(0.0, SATURATION_PER_S / 2.0)],
            slow: Vec::new(),
            fault: (Fault::None, 0.0, 0.0),
            resends: 0,
            disconnect_after: None,
            side_rate: 0.0,
            client_timeout: Duration::from_secs(2),
        }
    }
}
