//! What a mesh is made of and what happens to it.

use std::time::Duration;

use anvil_overload::policy;
use anvil_types::context;

/// One service and, for each kind of request, what its targets call in turn.
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    pub(crate) work: Duration,
    pub(crate) calls: &'static [(&'static str, &'static [&'static str])],
}

/// The claims mesh in its users' sizes; its deepest service holds some 290 requests a second.
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

pub(crate) const SATURATION: f64 = 290.0;

/// Kinds of request with their share in percent and their class.
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

/// What goes wrong at the targets of the deep service while the pressure lasts.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// One target works at a tenth of its speed.
    OneSlow,
    /// One target answers every request at once with a server error.
    OneFailing,
    /// All targets answer with a server error.
    AllFailing,
    /// Half of the targets crash at the beginning and come back cold.
    ColdHalf,
    /// Three runs of ten break off in the middle.
    Breaking,
}

/// What happens from outside, in seconds since the start.
#[derive(Clone)]
pub(crate) struct Plan {
    pub(crate) policy: policy::OverloadPolicy,
    pub(crate) seed: u64,
    pub(crate) until: f64,
    /// Requests a second from each point on.
    pub(crate) rates: Vec<(f64, f64)>,
    /// The service and its factor on working time, from each point on.
    pub(crate) slow: Vec<(f64, &'static str, f64)>,
    /// What goes wrong, from when to when.
    pub(crate) fault: (Fault, f64, f64),
    /// Copies that a caller sends after a failure, each a tenth of a second later.
    pub(crate) resends: u32,
    /// Requests a second that need only the first service, besides the others.
    pub(crate) side_rate: f64,
    /// When callers close their connections, where they do before their deadline.
    pub(crate) gone_after: Option<Duration>,
    /// How long callers wait.
    pub(crate) patience: Duration,
}

impl Plan {
    pub(crate) fn new(policy: policy::OverloadPolicy) -> Self {
        Self {
            policy,
            seed: 1,
            until: 12.0,
            rates: vec![(0.0, SATURATION / 2.0)],
            slow: Vec::new(),
            fault: (Fault::None, 0.0, 0.0),
            resends: 0,
            gone_after: None,
            side_rate: 0.0,
            patience: Duration::from_secs(2),
        }
    }
}
