//! Runs one scenario on one version of the system with real node processes and stand-in targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anvil_types::name;
use bytes::Bytes;
use eyre::{WrapErr, ensure};

use crate::{client, ledger, load, loopback, mesh, mesh_target, process, scenario};

mod faults;

/// The peer key of every node in an experiment; it protects nothing.
const PEER_SECRET: &str = "5ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e70000";

/// Ports of each member on its own address. They are below the ephemeral ports of the system, so
/// that a restarting node finds its ports free and keeps its addresses for callers and its target.
const CALLER_PORT: u16 = 8_080;
const ADMIN_PORT: u16 = 8_081;
const PEER_PORT: u16 = 8_082;
const GOSSIP_PORT: u16 = 8_083;
const TARGET_PORT: u16 = 8_084;

/// Interval at which targets renew their announcements.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// How long an announcement is valid.
const ANNOUNCE_LEASE_MS: u64 = 2_000;

/// Longest wait for all nodes to know all targets.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two requests for a node's status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a run that is ended early continues, so that nodes write their logs.
const LOG_FLUSH_TIME: Duration = Duration::from_secs(2);

/// How long a crashed target takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// The cold start of stand-in targets.
const COLD_START: mesh_target::ColdStart = mesh_target::ColdStart {
    duration: Duration::from_secs(3),
    factor: 8.0,
};

/// One run: the mesh, the scenario and the version of the system.
#[derive(Clone)]
pub struct ExperimentPlan {
    /// Starts each node.
    pub starter: Arc<process::NodeStarter>,
    /// The mesh.
    pub mesh: Arc<mesh::MeshPlan>,
    /// The scenario.
    pub scenario: Arc<scenario::ScenarioPlan>,
    /// The operators' rules, as YAML; if there are none, the built-in defaults apply.
    pub rules: Option<String>,
    /// The store's address.
    pub store: SocketAddr,
    /// Lines added to each node's settings, such as switches of safeguards.
    pub extra_settings: String,
    /// Seed of the load and of the targets.
    pub seed: u64,
}

/// One node and the target beside it.
struct MeshMember {
    /// Index of its address in the experiment's loopback block.
    address_index: u8,
    zone: name::ZoneName,
    name: String,
    node: Box<dyn process::NodeHandle>,
    target: Arc<mesh_target::MeshTarget>,
}

/// A running mesh.
struct RunningMesh {
    plan: ExperimentPlan,
    block: loopback::LoopbackBlock,
    /// Prefix of the ids of this experiment's root requests.
    tag: String,
    members: Vec<MeshMember>,
    ledger: Arc<ledger::RunLedger>,
    client: client::PooledClient,
}

/// Runs the scenario and returns everything recorded.
pub async fn run_recorded(plan: ExperimentPlan) -> eyre::Result<Arc<ledger::RunLedger>> {
    let mut mesh = RunningMesh::start(plan).await?;
    let supervisor = tokio::spawn(supervise_targets(mesh.targets()));
    mesh.wait_for_targets(mesh.members.len()).await?;
    mesh.apply_rules().await?;
    let start = Instant::now();
    let load = mesh.load_plan();
    let callers = tokio::spawn(load::run_load(load, start));
    let mut key_ran_twice = mesh.ledger.key_ran_twice();
    tokio::select! {
        played = mesh.play(start, callers) => played?,
        // A key that runs twice is an error, which ends the run: the logs and the memory of the
        // processes still contain its cause, which would be lost if they continued.
        Ok(_) = key_ran_twice.wait_for(|twice| *twice) => tokio::time::sleep(LOG_FLUSH_TIME).await,
    }
    supervisor.abort();
    for member in &mesh.members {
        if let Some(usage) = member.node.usage() {
            mesh.ledger.record_usage(usage);
        }
    }
    Ok(Arc::clone(&mesh.ledger))
}

impl RunningMesh {
    async fn play(
        &mut self,
        start: Instant,
        callers: tokio::task::JoinHandle<()>,
    ) -> eyre::Result<()> {
        self.play_faults(start).await?;
        callers.await.wrap_err("the callers panicked")
    }

    async fn start(plan: ExperimentPlan) -> eyre::Result<Self> {
        let block = loopback::LoopbackBlock::claim().wrap_err("no loopback addresses are free")?;
        let tag = load::root_tag(plan.seed, block.number());
        let mut mesh = Self {
            block,
            members: Vec::new(),
            ledger: Arc::new(ledger::RunLedger::with_tag(tag.clone())),
            tag,
            client: client::PooledClient::default(),
            plan,
        };
        let plan = Arc::clone(&mesh.plan.mesh);
        let mut started = 0;
        for service in &plan.services {
            for _ in 0..service.instances {
                let zone = plan.zones[started % plan.zones.len()].clone();
                mesh.add(service, zone, started).await?;
                started += 1;
            }
        }
        Ok(mesh)
    }

    async fn add(
        &mut self,
        service: &mesh::ServicePlan,
        zone: name::ZoneName,
        index: usize,
    ) -> eyre::Result<()> {
        let address_index =
            u8::try_from(index).wrap_err("a mesh can have at most 254 instances")?;
        let name = format!("{}-{address_index}", service.name);
        let target_plan = mesh_target::TargetPlan {
            name: name.clone(),
            service: service.clone(),
            seed: self.plan.seed.wrapping_mul(1_000) + u64::from(address_index),
            cold: COLD_START,
        };
        let ledger = Arc::clone(&self.ledger);
        let address = self.block.port(address_index, TARGET_PORT);
        let target = mesh_target::MeshTarget::start(target_plan, address, ledger).await?;
        // The scenario assumes targets that started long before it.
        target.warm_up();
        let node = self.start_node(&name, &zone, address_index)?;
        target.set_node(node.addresses().caller);
        announce(&self.client, node.addresses().admin, &target).await?;
        self.members.push(MeshMember {
            address_index,
            zone,
            name,
            node,
            target,
        });
        Ok(())
    }

    /// Starts the node of one address index.
    fn start_node(
        &self,
        name: &str,
        zone: &name::ZoneName,
        address_index: u8,
    ) -> eyre::Result<Box<dyn process::NodeHandle>> {
        let seeds: Vec<String> = self
            .members
            .iter()
            .take(3)
            .map(|member| format!("'{}'", member.node.addresses().gossip))
            .collect();
        let port = |port| self.block.port(address_index, port);
        let settings = format!(
            "zone: {zone}\nregion: {region}\nadvertise: {address}\n\
             listen: {{caller: '{caller}', admin: '{admin}', peer: '{peer}', gossip: '{gossip}'}}\n\
             peer_keys: [{{id: 1, secret: '{PEER_SECRET}'}}]\n\
             seeds: [{seeds}]\nplatform: ['{store}']\nlimits: {{caller_connections: 16384}}\n{extra}",
            region = self.plan.mesh.region,
            address = self.block.address(address_index),
            caller = port(CALLER_PORT),
            admin = port(ADMIN_PORT),
            peer = port(PEER_PORT),
            gossip = port(GOSSIP_PORT),
            seeds = seeds.join(", "),
            store = self.plan.store,
            extra = self.plan.extra_settings,
        );
        (self.plan.starter)(name, &settings)
    }

    /// Waits until every node knows `wanted` targets.
    async fn wait_for_targets(&self, wanted: usize) -> eyre::Result<()> {
        self.await_all("know all targets", |status| {
            status["peers"].as_array().map_or(0, Vec::len) >= wanted
        })
        .await
    }

    /// Waits until the status of every node passes `check`, which `wanted` describes for error
    /// messages.
    async fn await_all<Check>(&self, wanted: &str, check: Check) -> eyre::Result<()>
    where
        Check: Fn(&serde_json::Value) -> bool,
    {
        let until = Instant::now() + READY_TIMEOUT;
        for member in &self.members {
            // A starting node may not answer yet.
            while !self.status(member).await.is_ok_and(|status| check(&status)) {
                ensure!(
                    Instant::now() < until,
                    "node {} does not {wanted}",
                    member.name
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn status(&self, member: &MeshMember) -> eyre::Result<serde_json::Value> {
        let admin = member.node.addresses().admin;
        let request = admin_request(admin, "GET", "/status");
        let answer = self.client.send(request).await?;
        Ok(serde_json::from_slice(&answer.body)?)
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
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let mut request = admin_request(admin, "POST", "/rules");
            request.headers = &headers;
            request.body = Bytes::from(rules.clone());
            let answer = self.client.send(request).await?;
            if answer.status == 200 {
                break;
            }
            // A node that has not compared its rules with its peers' accepts no change yet.
            let text = String::from_utf8_lossy(&answer.body);
            ensure!(
                answer.status == 503 && Instant::now() < until,
                "the rules were refused with {}: {text}",
                answer.status
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        // Nodes get the change by gossip; the load must not start under the old rules.
        self.await_all("have the rules", |status| {
            status["rules"]["revision"].as_u64() > Some(0)
        })
        .await
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
            tag: self.tag.clone(),
        }
    }

    fn targets(&self) -> Vec<(Arc<mesh_target::MeshTarget>, SocketAddr)> {
        let members = self.members.iter();
        let target = |member: &MeshMember| {
            let admin = member.node.addresses().admin;
            (Arc::clone(&member.target), admin)
        };
        members.map(target).collect()
    }
}

/// Renews the targets' announcements and restarts targets that a poisonous request crashed.
async fn supervise_targets(targets: Vec<(Arc<mesh_target::MeshTarget>, SocketAddr)>) {
    let client = client::PooledClient::default();
    let mut handled: Vec<u64> = targets.iter().map(|(target, _)| target.crashes()).collect();
    loop {
        for ((target, admin), crashes) in targets.iter().zip(&mut handled) {
            if target.poisoned() && target.crashes() > *crashes {
                *crashes = target.crashes();
                let target = Arc::clone(target);
                tokio::spawn(async move {
                    tokio::time::sleep(RESTART_TIME).await;
                    target.restart();
                });
            }
            if !target.is_down() {
                // A stopped node accepts no announcement; its successor has the same address.
                let _ = announce(&client, *admin, target).await;
            }
        }
        tokio::time::sleep(RENEW_INTERVAL).await;
    }
}

async fn announce(
    client: &client::PooledClient,
    admin: SocketAddr,
    target: &mesh_target::MeshTarget,
) -> eyre::Result<()> {
    let announcement = serde_json::json!({
        "service": target.service(),
        "address": target.address(),
        "slots": target.slots(),
        "connections": target.connections(),
        "lease_ms": ANNOUNCE_LEASE_MS,
        "warm": target.is_warm(),
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
