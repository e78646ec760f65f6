//! Runs one scenario on one version of the system: real node processes, stand-in targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anvil_types::name;
use bytes::Bytes;
use eyre::{WrapErr, ensure};

use crate::{client, ground, ledger, load, mesh, mesh_target, process, scenario};

mod faults;

/// The key of every node in an experiment; it guards nothing.
const PEER_SECRET: &str = "5ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e70000";

/// Ports of each member on its own address, below those that systems hand out by themselves: a node
/// that restarts finds its own free, and what callers and its target know of it stays true.
const CALLER_PORT: u16 = 8_080;
const ADMIN_PORT: u16 = 8_081;
const PEER_PORT: u16 = 8_082;
const GOSSIP_PORT: u16 = 8_083;
const TARGET_PORT: u16 = 8_084;

/// How often targets renew their announcements, and how long those last.
const RENEW_PERIOD: Duration = Duration::from_millis(500);
const ANNOUNCE_LEASE_MS: u64 = 2_000;

/// Longest wait for all nodes to know all targets.
const GATHER_WAIT: Duration = Duration::from_secs(20);

/// Pause between two looks at a node's status.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// How long a run that is ended early goes on, so that nodes write out what they know.
const LAST_WORDS: Duration = Duration::from_secs(2);

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
    /// Its place on the ground.
    place: u8,
    zone: name::ZoneName,
    name: String,
    node: Box<dyn process::NodeHandle>,
    target: Arc<mesh_target::MeshTarget>,
}

/// A mesh that runs.
struct RunningMesh {
    plan: ExperimentPlan,
    ground: ground::LoopbackGround,
    /// What the ids of this experiment's root requests begin with.
    tag: String,
    members: Vec<MeshMember>,
    ledger: Arc<ledger::RunLedger>,
    client: client::KeptClient,
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
    let mut doubled = mesh.ledger.doubled();
    tokio::select! {
        played = mesh.play(start, callers) => played?,
        // What the processes know of the key is in their logs and memory now, and is lost when they
        // go on; a run that went wrong has nothing more to show.
        Ok(_) = doubled.wait_for(|doubled| *doubled) => tokio::time::sleep(LAST_WORDS).await,
    }
    keeper.abort();
    for member in &mesh.members {
        if let Some(usage) = member.node.usage() {
            mesh.ledger.used(usage);
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
        let ground = ground::LoopbackGround::claim().wrap_err("no loopback addresses are free")?;
        let tag = load::root_tag(plan.seed, ground.block());
        let mut mesh = Self {
            ground,
            members: Vec::new(),
            ledger: Arc::new(ledger::RunLedger::tagged(tag.clone())),
            tag,
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
        dealt: usize,
    ) -> eyre::Result<()> {
        let place = u8::try_from(dealt).wrap_err("a mesh has 254 instances at most")?;
        let name = format!("{}-{place}", service.name);
        let target_plan = mesh_target::TargetPlan {
            name: name.clone(),
            service: service.clone(),
            seed: self.plan.seed.wrapping_mul(1_000) + u64::from(place),
            cold: COLD,
        };
        let ledger = Arc::clone(&self.ledger);
        let address = self.ground.port(place, TARGET_PORT);
        let target = mesh_target::MeshTarget::start(target_plan, address, ledger).await?;
        // A target that serves long before the scenario starts is warm.
        target.warm_up();
        let node = self.start_node(&name, &zone, place)?;
        target.set_node(node.addresses().caller);
        announce(&self.client, node.addresses().admin, &target).await?;
        self.members.push(MeshMember {
            place,
            zone,
            name,
            node,
            target,
        });
        Ok(())
    }

    /// Starts the node of one place.
    fn start_node(
        &self,
        name: &str,
        zone: &name::ZoneName,
        place: u8,
    ) -> eyre::Result<Box<dyn process::NodeHandle>> {
        let seeds: Vec<String> = self
            .members
            .iter()
            .take(3)
            .map(|member| format!("'{}'", member.node.addresses().gossip))
            .collect();
        let port = |port| self.ground.port(place, port);
        let settings = format!(
            "zone: {zone}\nregion: {region}\nadvertise: {address}\n\
             listen: {{caller: '{caller}', admin: '{admin}', peer: '{peer}', gossip: '{gossip}'}}\n\
             peer_keys: [{{id: 1, secret: '{PEER_SECRET}'}}]\n\
             seeds: [{seeds}]\nplatform: ['{store}']\nlimits: {{caller_connections: 16384}}\n{extra}",
            region = self.plan.mesh.region,
            address = self.ground.address(place),
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
    async fn gather(&self, wanted: usize) -> eyre::Result<()> {
        self.await_all("know all targets", |status| {
            status["peers"].as_array().map_or(0, Vec::len) >= wanted
        })
        .await
    }

    /// Waits until the status of every node passes `check`; `wanted` says in words what for.
    async fn await_all<Check>(&self, wanted: &str, check: Check) -> eyre::Result<()>
    where
        Check: Fn(&serde_json::Value) -> bool,
    {
        let until = Instant::now() + GATHER_WAIT;
        for member in &self.members {
            // A node that is just starting may not answer yet.
            while !self.status(member).await.is_ok_and(|status| check(&status)) {
                ensure!(
                    Instant::now() < until,
                    "node {} does not {wanted}",
                    member.name
                );
                tokio::time::sleep(LOOK_PAUSE).await;
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
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        // Nodes take a change by gossip; the load must not start under the old rules.
        self.await_all("hold the rules", |status| {
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

    fn keepers(&self) -> Vec<(Arc<mesh_target::MeshTarget>, SocketAddr)> {
        let members = self.members.iter();
        let keeper = |member: &MeshMember| {
            let admin = member.node.addresses().admin;
            (Arc::clone(&member.target), admin)
        };
        members.map(keeper).collect()
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
                // A node that is gone takes no announcement; its successor stands at the same address.
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
