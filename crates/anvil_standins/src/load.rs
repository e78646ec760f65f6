//! Stand-in callers: an open loop of requests at a given rate, with resends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand_core::{Rng, SeedableRng};

use crate::{client, ledger, mesh, mesh_target, scenario};

/// Limit of open requests of all stand-in callers.
///
/// Without it, the backlog of the naive policy would exhaust the machine's sockets.
pub const MAX_OPEN_REQUESTS: usize = 8_000;

/// Addresses that a caller tries within one send if connections are refused.
const MAX_ADDRESSES_TRIED: usize = 8;

/// The configuration of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The mesh, for the kinds of requests.
    pub mesh: Arc<mesh::MeshPlan>,
    /// The scenario, for rates and callers' behaviour.
    pub scenario: Arc<scenario::ScenarioPlan>,
    /// Entry nodes; each send goes to one at random.
    pub entries: Arc<Vec<SocketAddr>>,
    /// Records the outcomes.
    pub ledger: Arc<ledger::RunLedger>,
    /// Seed for arrivals, kinds and entry nodes.
    pub seed: u64,
    /// Prefix of the ids of root requests, in hexadecimal digits; see [`root_tag`].
    pub tag: String,
}

/// The prefix of the ids of an experiment's root requests: its seed and the number of its address
/// block.
///
/// With the seed alone, two experiments of one seed would use the same ids, and a request that
/// reached the wrong experiment would count as a second run of a key. Concurrent experiments have
/// different blocks, so such a request is recognized by its id.
pub fn root_tag(seed: u64, block: u16) -> String {
    format!(
        "{:012x}{block:04x}",
        seed.wrapping_add(1) & 0xffff_ffff_ffff
    )
}

/// Sends requests until the scenario's end and waits until all have ended.
pub async fn run_load(plan: LoadPlan, start: Instant) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(plan.seed);
    let client = client::PooledClient::default();
    let end = plan.scenario.times().end;
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_OPEN_REQUESTS));
    let mut next = Duration::ZERO;
    let mut sequence = 0_u64;
    let mut open = tokio::task::JoinSet::new();
    while next < end {
        tokio::time::sleep_until((start + next).into()).await;
        let root = root_id(&plan.tag, sequence);
        let draws = CallerDraws {
            kind: rng.next_u64(),
            entry: rng.next_u64(),
        };
        if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
            let caller = CallerTask {
                plan: plan.clone(),
                client: client.clone(),
                root,
                draws,
                start,
            };
            open.spawn(async move {
                caller.run().await;
                drop(permit);
            });
        }
        while open.try_join_next().is_some() {}
        sequence += 1;
        next += pause(&mut rng, plan.scenario.rate_at(next));
    }
    while open.join_next().await.is_some() {}
}

/// Sends the same poisonous request to a service at a fixed rate during the overload, each time
/// through another entry node.
pub async fn run_poison(plan: LoadPlan, service: String, rate: f64, start: Instant) {
    let client = client::PooledClient::default();
    let times = plan.scenario.times();
    let mut next = times.pressure;
    let mut turn = 0_usize;
    let path = format!(
        "/{}/{}",
        mesh_target::POISON_STEP,
        root_id(&plan.tag, u64::MAX)
    );
    while next < times.relief {
        tokio::time::sleep_until((start + next).into()).await;
        let request = client::ClientRequest {
            address: plan.entries[turn % plan.entries.len()],
            method: "GET",
            path: &path,
            headers: &[(client::SERVICE_HEADER, service.clone())],
            body: Bytes::new(),
            timeout: Duration::from_secs(2),
        };
        // The reply does not matter, only the effect on the targets.
        let _ = client.send(request).await;
        turn += 1;
        next = start
            .elapsed()
            .max(next + Duration::from_secs_f64(1.0 / rate));
    }
}

fn pause(rng: &mut rand_pcg::Pcg64Mcg, rate: f64) -> Duration {
    let draw = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
}

fn root_id(tag: &str, sequence: u64) -> String {
    let spread = sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{tag}{spread:016x}")
}

#[derive(Clone, Copy, Debug)]
struct CallerDraws {
    kind: u64,
    entry: u64,
}

struct CallerTask {
    plan: LoadPlan,
    client: client::PooledClient,
    root: String,
    draws: CallerDraws,
    start: Instant,
}

impl CallerTask {
    async fn run(self) {
        let sent = self.start.elapsed();
        let behaviour = self.plan.scenario.callers;
        let request = self.plan.mesh.pick(self.draws.kind).clone();
        let mut sends = Vec::new();
        let result = loop {
            let turn = u32::try_from(sends.len()).unwrap_or(u32::MAX);
            let sent_at = self.plan.ledger.now();
            let result = self.send(&request, turn, behaviour).await;
            sends.push(ledger::SendRecord {
                entry: result.entry,
                sent: sent_at,
                ended: self.plan.ledger.now(),
                outcome: result.outcome,
                attempts: result.attempts,
                reason: result.reason.clone(),
            });
            if result.outcome == ledger::CallerOutcome::Complete || turn >= behaviour.resends {
                break result;
            }
            tokio::time::sleep(Duration::from_millis(behaviour.pause_ms)).await;
        };
        let kinds = &self.plan.mesh.requests;
        let kind = kinds.iter().position(|other| other.kind == request.kind);
        self.plan.ledger.record_caller(ledger::CallerRecord {
            root: self.root.clone(),
            kind: kind.unwrap_or(0),
            class: request.class,
            sent,
            ended: self.start.elapsed(),
            outcome: result.outcome,
            sends,
            attempts: result.attempts,
            rule: result.rule,
            reason: result.reason,
        });
    }

    async fn send(
        &self,
        request: &mesh::RequestPlan,
        sends: u32,
        behaviour: scenario::CallerPlan,
    ) -> SendResult {
        let path = format!("/{}/{}", request.step, self.root);
        let mut headers = vec![
            (client::SERVICE_HEADER, request.service.to_string()),
            (client::REQUEST_HEADER, self.root.clone()),
            (client::TIMEOUT_HEADER, behaviour.timeout_ms.to_string()),
        ];
        if request.method == "POST" {
            headers.push((client::KEY_HEADER, self.root.clone()));
        }
        let mut sent = client::ClientRequest {
            address: self.entry(sends as usize),
            method: &request.method,
            path: &path,
            headers: &headers,
            body: Bytes::new(),
            // The node answers at its deadline; the caller times out slightly later.
            timeout: Duration::from_millis(behaviour.timeout_ms + 100),
        };
        for refused in 1..=MAX_ADDRESSES_TRIED {
            match self.client.send(sent.clone()).await {
                Ok(answer) => return self.classify(sent.address, &answer),
                Err(error) if error.is_refused() => {
                    sent.address = self.entry(sends as usize + refused);
                }
                Err(error) => return SendResult::silent(sent.address, error.to_string()),
            }
        }
        SendResult::silent(sent.address, "no address accepts connections".to_owned())
    }

    /// The entry node of an attempt. Each attempt uses the next one, like a caller with a list of
    /// addresses.
    fn entry(&self, attempt: usize) -> SocketAddr {
        let entries = &self.plan.entries;
        entries[(self.draws.entry as usize).wrapping_add(attempt) % entries.len()]
    }

    fn classify(&self, entry: SocketAddr, answer: &client::ClientAnswer) -> SendResult {
        let attempts = answer.header(client::ATTEMPTS_HEADER);
        SendResult {
            entry,
            outcome: self.outcome_of(answer),
            attempts: attempts.and_then(|text| text.parse().ok()).unwrap_or(0),
            rule: answer.header(client::RULE_HEADER).map(str::to_owned),
            reason: reason_of(answer),
        }
    }

    fn outcome_of(&self, answer: &client::ClientAnswer) -> ledger::CallerOutcome {
        match (answer.status, answer.header(client::OUTCOME_HEADER)) {
            (200, _) => {
                let expected = format!("{}{}", mesh_target::ANSWER_PREFIX, self.root);
                if answer.body == expected.as_bytes() {
                    ledger::CallerOutcome::Complete
                } else {
                    ledger::CallerOutcome::Foreign
                }
            }
            (_, Some("not-run")) => ledger::CallerOutcome::NotRun,
            (_, Some("may-have-run")) => ledger::CallerOutcome::MayHaveRun,
            _ => ledger::CallerOutcome::Failed,
        }
    }
}

/// The result of one send.
struct SendResult {
    entry: SocketAddr,
    outcome: ledger::CallerOutcome,
    attempts: u32,
    rule: Option<String>,
    reason: Option<String>,
}

impl SendResult {
    fn silent(entry: SocketAddr, reason: String) -> Self {
        Self {
            entry,
            outcome: ledger::CallerOutcome::Silent,
            attempts: 0,
            rule: None,
            reason: Some(reason),
        }
    }
}

/// The reason in a problem body.
fn reason_of(answer: &client::ClientAnswer) -> Option<String> {
    if answer.status == 200 {
        return None;
    }
    let problem: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    problem["reason"].as_str().map(str::to_owned)
}
