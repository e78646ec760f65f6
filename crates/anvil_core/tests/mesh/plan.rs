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
    /// Factor on the working time of each target; targets without one work at factor one.
    pub(crate) paces: &'static [f64],
    pub(crate) calls: &'static [(&'static str, &'static [&'static str])],
}

/// Kinds of request, each with its share in percent and its class.
pub(crate) type KindTable = &'static [(&'static str, u64, context::PriorityClass)];

/// The claims mesh in its users' sizes; its deepest service can serve about 290 requests a second.
pub(crate) fn claims_mesh() -> Vec<Service> {
    let service = |name, slots, millis, calls| Service {
        name,
        targets: 4,
        slots,
        work: Duration::from_millis(millis),
        paces: &[],
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

/// The kinds of request of the claims mesh.
pub(crate) const KINDS: KindTable = &[
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

/// A mesh whose deepest service is scarce while the others are mostly idle.
///
/// Its four targets differ in speed by a factor of three, at the end of call chains of depth three.
/// A read makes eight calls to it, one after the other, a certification four and a search none.
pub(crate) fn scarce_mesh() -> Vec<Service> {
    let service = |name, targets, slots, millis, paces, calls| Service {
        name,
        targets,
        slots,
        work: Duration::from_millis(millis),
        paces,
        calls,
    };
    vec![
        service(
            "portal",
            6,
            64,
            5,
            &[],
            &[
                ("certify", &["registry", "registry"]),
                ("read", &["registry", "registry"]),
                ("read/bulk", &["registry", "registry"]),
            ],
        ),
        service(
            "registry",
            4,
            64,
            5,
            &[],
            &[
                ("certify", &["pages"]),
                ("read", &["pages", "pages"]),
                ("read/bulk", &["pages", "pages"]),
            ],
        ),
        service(
            "pages",
            4,
            64,
            5,
            &[],
            &[
                ("certify", &["archive", "archive"]),
                ("read", &["archive", "archive"]),
                ("read/bulk", &["archive", "archive"]),
            ],
        ),
        service("archive", 4, 8, 25, &[1.0, 1.4, 2.0, 3.0], &[]),
    ]
}

/// Requests a second of the scarce mesh that saturate its deepest service: 816 runs a second at
/// 5.2 runs for each request of [`SCARCE_KINDS`].
pub(crate) const SCARCE_SATURATION_PER_S: f64 = 157.0;

/// The kinds of request of the scarce mesh. The two kinds of read are one kind to the nodes, which
/// know the method and the first segment of the path only, but differ in their class.
pub(crate) const SCARCE_KINDS: KindTable = &[
    ("certify", 20, context::PriorityClass::High),
    ("read", 40, context::PriorityClass::Normal),
    ("read/bulk", 15, context::PriorityClass::Low),
    ("search", 25, context::PriorityClass::Normal),
];

pub(crate) const SCARCE_RULES: &str = "rules:
  - {name: certify, when: {path: '/certify/**'}, then: {class: high, idempotent: true, retries: 8}}
  - {name: bulk, when: {path: '/read/bulk/**'}, then: {class: low, idempotent: true, retries: 8}}
  - {name: other, when: {}, then: {class: normal, idempotent: true, retries: 8}}
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
    /// The targets refuse every second request for reasons other than load.
    HalfRefusing,
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
    /// The kinds of request that arrive.
    pub(crate) kinds: KindTable,
    /// The rules of all nodes.
    pub(crate) rules: &'static str,
    /// When all nodes restart; their targets stay.
    pub(crate) restart_at: Option<f64>,
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
            kinds: KINDS,
            rules: RULES,
            restart_at: None,
        }
    }

    /// The load of the scarce mesh: `factor` times what saturates its deepest service from second
    /// two to second eight, half of it before and afterwards.
    pub(crate) fn scarce(policy: policy::OverloadPolicy, factor: f64) -> Self {
        let normal = SCARCE_SATURATION_PER_S / 2.0;
        Self {
            until: 15.0,
            rates: vec![
                (0.0, normal),
                (2.0, SCARCE_SATURATION_PER_S * factor),
                (8.0, normal),
            ],
            kinds: SCARCE_KINDS,
            rules: SCARCE_RULES,
            ..Self::new(policy)
        }
    }
}
