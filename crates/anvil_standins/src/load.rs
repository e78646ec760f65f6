//! Stand-in callers: an open loop of requests at a given rate, with resends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand_core::{Rng, SeedableRng};

use crate::{client, ledger, mesh, mesh_target, scenario};

/// Requests that stand-in callers keep open at once, over all entry nodes.
///
/// Without a bound the naive version's backlog would exhaust the machine's sockets.
pub const OPEN_LIMIT: usize = 8_000;

/// Addresses that a caller tries where connections are refused, all within one send.
const ADDRESS_TRIES: usize = 8;

/// Everything a load needs.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The mesh, for the kinds of requests.
    pub mesh: Arc<mesh::MeshPlan>,
    /// Rates and habits.
    pub scenario: Arc<scenario::ScenarioPlan>,
    /// Entry nodes; each send goes to one at random.
    pub entries: Arc<Vec<SocketAddr>>,
    /// Where outcomes go.
    pub ledger: Arc<ledger::RunLedger>,
    /// Feeds arrivals, kinds and entry nodes.
    pub seed: u64,
    /// What the ids of root requests begin with, in hexadecimal digits; see [`root_tag`].
    pub tag: String,
}

/// What the ids of an experiment's root requests begin with: its seed, and its block of addresses.
///
/// Failure: two experiments of one seed give their requests the same ids. Symptom: a run that strayed
/// from one to the other is taken for a second run of a key. Experiments at one time hold different
/// blocks, so a stray request is known by its id.
pub fn root_tag(seed: u64, block: u16) -> String {
    format!(
        "{:012x}{block:04x}",
        seed.wrapping_add(1) & 0xffff_ffff_ffff
    )
}

/// Sends requests until the scenario's end and waits for the last one.
pub async fn run_load(plan: LoadPlan, start: Instant) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(plan.seed);
    let client = client::KeptClient::default();
    let end = plan.scenario.times().end;
    let gate = Arc::new(tokio::sync::Semaphore::new(OPEN_LIMIT));
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
        if let Ok(permit) = Arc::clone(&gate).try_acquire_owned() {
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

/// Sends `poison` to a service at a rate while the pressure lasts, each time the same request to
/// another entry node.
pub async fn run_poison(plan: LoadPlan, service: String, rate: f64, start: Instant) {
    let client = client::KeptClient::default();
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
        // What the poisonous caller is told is of no interest; what its targets suffer is.
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
    client: client::KeptClient,
    root: String,
    draws: CallerDraws,
    start: Instant,
}

impl CallerTask {
    async fn run(self) {
        let sent = self.start.elapsed();
        let habits = self.plan.scenario.callers;
        let request = self.plan.mesh.pick(self.draws.kind).clone();
        let mut sends = Vec::new();
        let ending = loop {
            let turn = u32::try_from(sends.len()).unwrap_or(u32::MAX);
            let began = self.plan.ledger.now();
            let ending = self.send(&request, turn, habits).await;
            sends.push(ledger::SendRecord {
                entry: ending.entry,
                sent: began,
                ended: self.plan.ledger.now(),
                outcome: ending.outcome,
                attempts: ending.attempts,
                reason: ending.reason.clone(),
            });
            if ending.outcome == ledger::CallerOutcome::Whole || turn >= habits.resends {
                break ending;
            }
            tokio::time::sleep(Duration::from_millis(habits.pause_ms)).await;
        };
        let kinds = &self.plan.mesh.requests;
        let kind = kinds.iter().position(|other| other.kind == request.kind);
        self.plan.ledger.caller(ledger::CallerRecord {
            root: self.root.clone(),
            kind: kind.unwrap_or(0),
            class: request.class,
            sent,
            ended: self.start.elapsed(),
            outcome: ending.outcome,
            sends,
            attempts: ending.attempts,
            rule: ending.rule,
            reason: ending.reason,
        });
    }

    async fn send(
        &self,
        request: &mesh::RequestPlan,
        sends: u32,
        habits: scenario::CallerPlan,
    ) -> SendEnding {
        let path = format!("/{}/{}", request.step, self.root);
        let mut headers = vec![
            (client::SERVICE_HEADER, request.service.to_string()),
            (client::REQUEST_HEADER, self.root.clone()),
            (client::TIMEOUT_HEADER, habits.timeout_ms.to_string()),
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
            // The node answers at its deadline; a little later the caller gives up by itself.
            timeout: Duration::from_millis(habits.timeout_ms + 100),
        };
        for refused in 1..=ADDRESS_TRIES {
            match self.client.send(sent.clone()).await {
                Ok(answer) => return self.judge(sent.address, &answer),
                Err(error) if error.is_refused() => {
                    sent.address = self.entry(sends as usize + refused);
                }
                Err(error) => return SendEnding::silent(sent.address, error.to_string()),
            }
        }
        SendEnding::silent(sent.address, "no address takes connections".to_owned())
    }

    /// Each further try goes to another entry node, as a caller behind a list of addresses does.
    fn entry(&self, tries: usize) -> SocketAddr {
        let entries = &self.plan.entries;
        entries[(self.draws.entry as usize).wrapping_add(tries) % entries.len()]
    }

    fn judge(&self, entry: SocketAddr, answer: &client::ClientAnswer) -> SendEnding {
        let attempts = answer.header(client::ATTEMPTS_HEADER);
        SendEnding {
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
                let expected = format!("{}{}", mesh_target::WHOLE_MARK, self.root);
                if answer.body == expected.as_bytes() {
                    ledger::CallerOutcome::Whole
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

/// How one send ended.
struct SendEnding {
    entry: SocketAddr,
    outcome: ledger::CallerOutcome,
    attempts: u32,
    rule: Option<String>,
    reason: Option<String>,
}

impl SendEnding {
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
