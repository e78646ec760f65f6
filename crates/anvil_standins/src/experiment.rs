//! Runs one scenario on one version of the system: real node processes, stand-in targets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anvil_types::name;
use bytes::Bytes;
use eyre::{WrapErr, ensure};

use crate::{client, ledger, load, mesh, mesh_target, process, report, scenario};

/// The key of every node in an experiment; it guards nothing.
const PEER_SECRET: &str = "5ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e70000";

/// The address that everything binds.
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// How often targets renew their announcements, and how long those last.
const RENEW_PERIOD: Duration = Duration::from_millis(500);
const ANNOUNCE_LEASE_MS: u64 = 2_000;

/// Longest wait for all nodes to know all targets.
const GATHER_WAIT: Duration = Duration::from_secs(20);

/// Pause between two groups of a rolling restart.
const RESTART_PAUSE: Duration = Duration::from_millis(1_500);

/// How long a target that crashed stays away.
const CRASH_PAUSE: Duration = Duration::from_secs(1);

/// A cold start of a stand-in target.
const COLD: mesh_target::ColdStart = mesh_target::ColdStart {
    span: Duration::from_secs(3),
    factor: 8.0,
};

/// One run: which mesh, which scenario, which version.
#[derive(Clone)]
pub struct ExperimentPlan {
    /// Starts each node.
    pub starter: Arc<process::NodeStarter>,
    /// The mesh.
    pub mesh: Arc<mesh::MeshPlan>,
    /// The scenario.
    pub scenario: Arc<scenario::ScenarioPlan>,
    /// The operators' rules, as YAML; without them the built-in ones decide.
    pub rules: Option<String>,
    /// The store's address.
    pub store: SocketAddr,
    /// Lines added to each node's settings, such as the switches of safeguards.
    pub extra_settings: String,
    /// Feeds load and targets.
    pub seed: u64,
}

/// One node and the target beside it.
struct MeshMember {
    zone: name::ZoneName,
    name: String,
    node: Box<dyn process::NodeHandle>,
    target: Arc<mesh_target::MeshTarget>,
}

/// A mesh that runs.
struct RunningMesh {
    plan: ExperimentPlan,
    members: Vec<MeshMember>,
    ledger: Arc<ledger::RunLedger>,
    client: client::KeptClient,
}

/// Runs the scenario and sums up what it showed.
pub async fn run(plan: ExperimentPlan) -> eyre::Result<report::RunReport> {
    let scenario = Arc::clone(&plan.scenario);
    let ledger = run_recorded(plan).await?;
    Ok(report::RunReport::of(&ledger, &scenario))
}

/// Runs the scenario and returns everything recorded.
pub async fn run_recorded(plan: ExperimentPlan) -> eyre::Result<Arc<ledger::RunLedger>> {
    let mut mesh = RunningMesh::start(plan).await?;
    let keeper = tokio::spawn(keep_targets(mesh.keepers()));
    mesh.gather(mesh.members.len()).await?;
    mesh.apply_rules().await?;
    let start = Instant::now();
    let load = mesh.load_plan();
    let callers = tokio::spawn(load::run_load(load, start));
    mesh.play_faults(start).await?;
    callers.await.wrap_err("the callers panicked")?;
    keeper.abort();
    Ok(Arc::clone(&mesh.ledger))
}

impl RunningMesh {
    async fn start(plan: ExperimentPlan) -> eyre::Result<Self> {
        let mut mesh = Self {
            members: Vec::new(),
            ledger: Arc::default(),
            client: client::KeptClient::default(),
            plan,
        };
        let plan = Arc::clone(&mesh.plan.mesh);
        let mut dealt = 0;
        for service in &plan.services {
            for _ in 0..service.instances {
                let zone = plan.zones[dealt % plan.zones.len()].clone();
                mesh.add(service, zone, dealt).await?;
                dealt += 1;
            }
        }
        Ok(mesh)
    }

    async fn add(
        &mut self,
        service: &mesh::ServicePlan,
        zone: name::ZoneName,
        place: usize,
    ) -> eyre::Result<()> {
        let target_plan = mesh_target::TargetPlan {
            service: service.clone(),
            seed: self.plan.seed.wrapping_mul(1_000) + place as u64,
            cold: COLD,
        };
        let ledger = Arc::clone(&self.ledger);
        let target = mesh_target::MeshTarget::start(target_plan, LOOPBACK, ledger).await?;
        // A target that serves long before the scenario starts is warm.
        target.warm_up();
        let name = format!("{}-{place}", service.name);
        let node = self.start_node(&name, &zone, 0)?;
        target.set_node(node.addresses().caller);
        announce(&self.client, node.addresses().admin, &target).await?;
        self.members.push(MeshMember {
            zone,
            name,
            node,
            target,
        });
        Ok(())
    }

    /// Starts a node; `caller_port` zero takes any.
    fn start_node(
        &self,
        name: &str,
        zone: &name::ZoneName,
        caller_port: u16,
    ) -> eyre::Result<Box<dyn process::NodeHandle>> {
        let seeds: Vec<String> = self
            .members
            .iter()
            .take(3)
            .map(|member| member.node.addresses().gossip.to_string())
            .collect();
        let settings = format!(
            "zone: {zone}\nregion: {region}\nadvertise: {LOOPBACK}\n\
             listen: {{caller: '{LOOPBACK}:{caller_port}', admin: '{LOOPBACK}:0', \
             peer: '{LOOPBACK}:0', gossip: '{LOOPBACK}:0'}}\n\
             peer_keys: [{{id: 1, secret: '{PEER_SECRET}'}}]\n\
             seeds: [{seeds}]\nplatform: ['{store}']\nlimits: {{caller_connections: 16384}}\n{extra}",
            region = self.plan.mesh.region,
            seeds = seeds
                .iter()
                .map(|seed| format!("'{seed}'"))
                .collect::<Vec<_>>()
                .join(", "),
            store = self.plan.store,
            extra = self.plan.extra_settings,
        );
        (self.plan.starter)(name, &settings)
    }

    /// Waits until every node knows `wanted` targets.
    async fn gather(&self, wanted: usize) -> eyre::Result<()> {
        let until = Instant::now() + GATHER_WAIT;
        for member in &self.members {
            loop {
                let known = self.known_targets(member).await.unwrap_or(0);
                if known >= wanted {
                    break;
                }
                ensure!(
                    Instant::now() < until,
                    "node {} knows {known} of {wanted} targets",
                    member.name
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn known_targets(&self, member: &MeshMember) -> eyre::Result<usize> {
        let answer = self
            .client
            .send(admin_request(
                member.node.addresses().admin,
                "GET",
                "/status",
            ))
            .await?;
        let status: serde_json::Value = serde_json::from_slice(&answer.body)?;
        let peers = status["peers"].as_array();
        Ok(peers.map_or(0, Vec::len))
    }

    async fn apply_rules(&self) -> eyre::Result<()> {
        let Some(rules) = &self.plan.rules else {
            return Ok(());
        };
        let headers = [
            ("anvil-change", format!("{:032x}", self.plan.seed + 1)),
            ("anvil-base", "0".to_owned()),
        ];
        let admin = self.members[0].node.addresses().admin;
        let until = Instant::now() + GATHER_WAIT;
        loop {
            let mut request = admin_request(admin, "POST", "/rules");
            request.headers = &headers;
            request.body = Bytes::from(rules.clone());
            let answer = self.client.send(request).await?;
            if answer.status == 200 {
                break;
            }
            // A node that has not compared its rules with its peers' takes no change yet.
            let text = String::from_utf8_lossy(&answer.body);
            ensure!(
                answer.status == 503 && Instant::now() < until,
                "the rules were refused with {}: {text}",
                answer.status
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        // Nodes take a change by gossip; the load must not start under the old rules.
        for member in &self.members {
            while self.revision(member).await.unwrap_or(0) == 0 {
                ensure!(
                    Instant::now() < until,
                    "node {} has not taken the rules",
                    member.name
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn revision(&self, member: &MeshMember) -> eyre::Result<u64> {
        let answer = self
            .client
            .send(admin_request(
                member.node.addresses().admin,
                "GET",
                "/status",
            ))
            .await?;
        let status: serde_json::Value = serde_json::from_slice(&answer.body)?;
        Ok(status["rules"]["revision"].as_u64().unwrap_or(0))
    }

    fn load_plan(&self) -> load::LoadPlan {
        let entries = self.members.iter();
        let entries = entries.map(|member| member.node.addresses().caller);
        load::LoadPlan {
            mesh: Arc::clone(&self.plan.mesh),
            scenario: Arc::clone(&self.plan.scenario),
            entries: Arc::new(entries.collect()),
            ledger: Arc::clone(&self.ledger),
            seed: self.plan.seed,
        }
    }

    fn keepers(&self) -> Vec<(Arc<mesh_target::MeshTarget>, SocketAddr)> {
        let members = self.members.iter();
        let keeper = |member: &MeshMember| {
            let admin = member.node.addresses().admin;
            (Arc::clone(&member.target), admin)
        };
        members.map(keeper).collect()
    }

    async fn play_faults(&mut self, start: Instant) -> eyre::Result<()> {
        let scenario = Arc::clone(&self.plan.scenario);
        let times = scenario.times();
        let poison = self.start_poison(start);
        tokio::time::sleep_until((start + times.pressure).into()).await;
        for fault in &scenario.faults {
            self.start_fault(fault).await?;
        }
        tokio::time::sleep_until((start + times.relief).into()).await;
        for fault in &scenario.faults {
            self.end_fault(fault).await?;
        }
        for task in poison {
            task.await.wrap_err("the poisonous caller panicked")?;
        }
        Ok(())
    }

    fn start_poison(&self, start: Instant) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        for fault in &self.plan.scenario.faults {
            if let scenario::FaultPlan::Poison { service, rate } = fault {
                let load = self.load_plan();
                let poison = load::run_poison(load, service.to_string(), *rate, start);
                tasks.push(tokio::spawn(poison));
            }
        }
        tasks
    }

    async fn start_fault(&mut self, fault: &scenario::FaultPlan) -> eyre::Result<()> {
        match fault {
            scenario::FaultPlan::Slow { service, factor } => {
                for target in self.targets_of(service) {
                    target.slow_down(*factor);
                }
            }
            scenario::FaultPlan::LoseZone { zone } => {
                for member in self.members.iter_mut().filter(|m| m.zone == *zone) {
                    member.target.crash();
                    member.node.kill();
                }
            }
            scenario::FaultPlan::ColdRestart { service } => {
                let targets = self.targets_of(service);
                for target in targets.iter().take(targets.len() / 2) {
                    target.crash();
                }
                tokio::time::sleep(CRASH_PAUSE).await;
                for target in targets.iter().take(targets.len() / 2) {
                    target.restart();
                }
            }
            scenario::FaultPlan::RollingRestart { at_once, restarts } => {
                self.restart_in_turn(*at_once, *restarts).await?;
            }
            scenario::FaultPlan::Poison { .. } => {}
        }
        Ok(())
    }

    /// Stops nodes gracefully, some at once, and puts new ones in their places.
    async fn restart_in_turn(&mut self, at_once: usize, restarts: usize) -> eyre::Result<()> {
        let count = self.members.len();
        let step = at_once.clamp(1, count);
        let mut done = 0;
        while done < restarts {
            // Members stand service by service; a stride keeps a group from emptying a service.
            let first = done / step;
            let group = (0..step).map(|turn| (first + turn * (count / step)) % count);
            let group: Vec<usize> = group.collect();
            self.stop_nodes(&group).await?;
            for place in &group {
                self.revive(*place).await?;
            }
            done += step;
            // A group follows when the one before is known, as an operator's rollout would wait.
            tokio::time::sleep(RESTART_PAUSE).await;
        }
        Ok(())
    }

    async fn stop_nodes(&mut self, group: &[usize]) -> eyre::Result<()> {
        let chosen = self.members.iter_mut().enumerate();
        let chosen = chosen.filter(|(place, _)| group.contains(place));
        tokio::task::block_in_place(|| {
            std::thread::scope(|scope| {
                let stopping: Vec<_> = chosen
                    .map(|(_, member)| scope.spawn(|| member.node.stop()))
                    .collect();
                for stopped in stopping {
                    let ended = stopped.join();
                    ended.map_err(|_| eyre::eyre!("a stop panicked"))??;
                }
                Ok(())
            })
        })
    }

    async fn end_fault(&mut self, fault: &scenario::FaultPlan) -> eyre::Result<()> {
        match fault {
            scenario::FaultPlan::Slow { service, .. } => {
                for target in self.targets_of(service) {
                    target.slow_down(1.0);
                }
            }
            scenario::FaultPlan::LoseZone { zone } => {
                for place in 0..self.members.len() {
                    if self.members[place].zone == *zone {
                        self.revive(place).await?;
                    }
                }
            }
            scenario::FaultPlan::ColdRestart { .. }
            | scenario::FaultPlan::RollingRestart { .. }
            | scenario::FaultPlan::Poison { .. } => {}
        }
        Ok(())
    }

    /// A new node process takes the place of a killed one, at the same address for callers.
    async fn revive(&mut self, place: usize) -> eyre::Result<()> {
        let member = &self.members[place];
        let port = member.node.addresses().caller.port();
        let node = self.start_node(&member.name, &member.zone, port)?;
        let member = &mut self.members[place];
        member.node = node;
        if member.target.is_down() {
            member.target.restart();
        }
        let admin = member.node.addresses().admin;
        tokio::spawn(keep_targets(vec![(Arc::clone(&member.target), admin)]));
        Ok(())
    }

    fn targets_of(&self, service: &name::ServiceName) -> Vec<Arc<mesh_target::MeshTarget>> {
        let members = self.members.iter();
        let found = members.filter(|member| member.target.service() == service);
        found.map(|member| Arc::clone(&member.target)).collect()
    }
}

/// Renews the targets' announcements and restarts those that a poisonous request crashed.
async fn keep_targets(targets: Vec<(Arc<mesh_target::MeshTarget>, SocketAddr)>) {
    let client = client::KeptClient::default();
    let mut seen: Vec<u64> = targets.iter().map(|(target, _)| target.crashes()).collect();
    loop {
        for ((target, admin), crashes) in targets.iter().zip(&mut seen) {
            if target.poisoned() && target.crashes() > *crashes {
                *crashes = target.crashes();
                let target = Arc::clone(target);
                tokio::spawn(async move {
                    tokio::time::sleep(CRASH_PAUSE).await;
                    target.restart();
                });
            }
            if !target.is_down() {
                // A node that is gone takes no announcement; its successor gets its own keeper.
                let _ = announce(&client, *admin, target).await;
            }
        }
        tokio::time::sleep(RENEW_PERIOD).await;
    }
}

async fn announce(
    client: &client::KeptClient,
    admin: SocketAddr,
    target: &mesh_target::MeshTarget,
) -> eyre::Result<()> {
    let announcement = serde_json::json!({
        "service": target.service(),
        "address": target.address(),
        "slots": target.slots(),
        "connections": target.connections(),
        "lease_ms": ANNOUNCE_LEASE_MS,
    });
    let mut request = admin_request(admin, "PUT", "/target");
    request.body = Bytes::from(announcement.to_string());
    let answer = client.send(request).await?;
    let text = String::from_utf8_lossy(&answer.body);
    ensure!(answer.status < 300, "announcement refused: {text}");
    Ok(())
}

fn admin_request<'request>(
    address: SocketAddr,
    method: &'request str,
    path: &'request str,
) -> client::ClientRequest<'request> {
    client::ClientRequest {
        address,
        method,
        path,
        headers: &[],
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
    }
}
