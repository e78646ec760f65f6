//! A small installation on loopback addresses: the project's nodes as the deploy file starts them,
//! and stand-ins for the store, the upstreams and the clients.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::store::Store;
use crate::upstream::{self, unix_ms};

/// `stability_window` of the site's bounds.
pub const STABILITY_WINDOW: u64 = 3_000;

/// `retry_budget_slack` of the site's bounds.
pub const RETRY_SLACK: &str = "48";

/// `drain` of the site's bounds.
pub const DRAIN: u64 = 2_000;

/// Time for which a crashed upstream is away.
const BACK_AFTER: Duration = Duration::from_millis(2_500);

/// The nodes that run, with the number of their machine.
static NODES: Mutex<Vec<(usize, Child)>> = Mutex::new(Vec::new());

/// Longest time that a case may take.
const LONGEST_CASE: Duration = Duration::from_secs(115);

/// One line of the record: when, and what.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: u64,
    pub text: String,
}

/// Everything that was sent, answered and run, in order of its arrival here.
#[derive(Clone, Default)]
pub struct Record {
    lines: Arc<Mutex<Vec<Line>>>,
    began: Arc<AtomicU64>,
}

impl Record {
    pub fn note(&self, text: impl Into<String>) {
        self.note_at(unix_ms(), text);
    }

    pub fn note_at(&self, at: u64, text: impl Into<String>) {
        let _ = self
            .began
            .compare_exchange(0, at, Ordering::SeqCst, Ordering::SeqCst);
        self.lines.lock().unwrap().push(Line {
            at,
            text: text.into(),
        });
    }

    pub fn lines(&self) -> Vec<Line> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.at);
        lines
    }

    /// Seconds since the first line.
    pub fn seconds(&self, at: u64) -> f64 {
        at.saturating_sub(self.began.load(Ordering::SeqCst)) as f64 / 1000.0
    }

    pub fn write(&self, file: &Path) {
        let mut text = String::new();
        for line in self.lines() {
            text.push_str(&format!("{:9.3} s  {}\n", self.seconds(line.at), line.text));
        }
        fs::write(file, text).expect("the record");
    }
}

/// One machine: a node and the upstream next to it.
pub struct Machine {
    pub name: String,
    pub service: String,
    zone: String,
    pub ip: IpAddr,
    /// The standard input of the upstream that runs; commands go there.
    upstream: Arc<Mutex<Option<Child>>>,
    /// Whether a crashed upstream is started again.
    restarts: Arc<AtomicBool>,
}

pub struct Fleet {
    pub record: Record,
    pub machines: Vec<Machine>,
    pub store: Store,
    store_address: SocketAddr,
    folder: PathBuf,
    root: PathBuf,
    port: u16,
    program: Vec<String>,
    template: String,
    labels: AtomicU64,
}

/// Ports of a machine, from the first one on.
const OUTBOUND: u16 = 0;
const READY: u16 = 1;
const CONTROL: u16 = 2;
const APP: u16 = 3;
const INTERNAL_FIRST: u16 = 4;
const INTERNAL_LAST: u16 = 7;
const PORTS: u16 = 8;

impl Fleet {
    /// A fleet with one machine for each service in `services`; `root` is the repository.
    pub fn new(root: &Path, services: &[&str], zones: &[&str]) -> Self {
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        let field = |name: &str| {
            let line = deploy
                .lines()
                .find(|line| line.starts_with(&format!("{name} = ")));
            let value = line
                .and_then(|line| line.split_once('"'))
                .map(|(_, rest)| rest);
            value
                .and_then(|rest| rest.rsplit_once('"'))
                .expect("a field of the deploy file")
                .0
                .to_owned()
        };
        let program = field("run").split(' ').map(str::to_owned).collect();
        let template = fs::read_to_string(root.join(field("template"))).expect("the template");
        let folder =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ips: Vec<IpAddr> = (0..services.len())
            .map(|index| IpAddr::V4(Ipv4Addr::new(127, 0, 0, 20 + index as u8)))
            .collect();
        let port = free_ports(&ips);
        let (store, store_address) = Store::start();
        let machines = services.iter().enumerate().map(|(index, service)| Machine {
            name: format!("machine-{index}"),
            service: (*service).to_owned(),
            zone: zones[index % zones.len()].to_owned(),
            ip: ips[index],
            upstream: Arc::default(),
            restarts: Arc::new(AtomicBool::new(true)),
        });
        let fleet = Self {
            record: Record::default(),
            machines: machines.collect(),
            store,
            store_address,
            folder,
            root: root.to_owned(),
            port,
            program,
            template,
            labels: AtomicU64::new(0x9c41_d07b_0000_0000 + (unix_ms() & 0xffff) * 0x1000),
        };
        for index in 0..fleet.machines.len() {
            fleet.write_settings(index, RETRY_SLACK);
        }
        fleet
    }

    /// Writes the settings file of a machine; `retry_slack` is the bound `retry_budget_slack`.
    pub fn write_settings(&self, index: usize, retry_slack: &str) {
        let machine = &self.machines[index];
        let settings = self.settings(machine, &machine.zone, retry_slack);
        let file = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(file, settings).expect("the settings");
        self.record.note(format!(
            "settings of {}: retry_budget_slack = {retry_slack}",
            machine.name
        ));
    }

    /// Sends a signal to the node of a machine.
    pub fn signal_node(&self, index: usize, signal: &str) {
        let nodes = NODES.lock().unwrap();
        let Some((_, node)) = nodes.iter().find(|(machine, _)| *machine == index) else {
            return;
        };
        let command = format!("kill -{signal} {}", node.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
        self.record.note(format!(
            "node {} gets SIG{signal}",
            self.machines[index].name
        ));
    }

    /// The exit code of the node of a machine, if its process has ended since it was started.
    pub fn node_ended(&self, index: usize) -> Option<i32> {
        let mut nodes = NODES.lock().unwrap();
        let position = nodes.iter().position(|(machine, _)| *machine == index)?;
        let status = nodes[position].1.try_wait().ok().flatten()?;
        nodes.remove(position);
        let code = status.code().unwrap_or(-1);
        self.record.note(format!(
            "node {} ended with code {code}",
            self.machines[index].name
        ));
        Some(code)
    }

    /// Where the clients of a machine send their requests.
    pub fn outbound(&self, machine: usize) -> SocketAddr {
        self.address(machine, OUTBOUND)
    }

    fn address(&self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, self.port + port)
    }

    /// The project's template with the platform's values.
    fn settings(&self, machine: &Machine, zone: &str, retry_slack: &str) -> String {
        let at = |port: u16| SocketAddr::new(machine.ip, self.port + port).to_string();
        let values = [
            ("zone", zone.to_owned()),
            ("region", "region-1".to_owned()),
            ("ip", machine.ip.to_string()),
            ("listen_addrs.outbound", at(OUTBOUND)),
            ("listen_addrs.ready", at(READY)),
            ("listen_addrs.control_plane", at(CONTROL)),
            (
                "internal_port_range.0",
                (self.port + INTERNAL_FIRST).to_string(),
            ),
            (
                "internal_port_range.1",
                (self.port + INTERNAL_LAST).to_string(),
            ),
            ("platform.address", self.store_address.to_string()),
            ("service", machine.service.clone()),
            (
                "heartbeat_interval",
                format!("{}ms", upstream::HEARTBEAT.as_millis()),
            ),
            ("bounds.grace", "6s".to_owned()),
            ("bounds.retry_budget_slack", retry_slack.to_owned()),
        ];
        let mut text = self.template.clone();
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "a placeholder of the template is unknown here"
        );
        text
    }

    /// Starts the node of a machine.
    pub fn start_node(&self, index: usize) {
        let name = self.machines[index].name.clone();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let mut command = Command::new(self.root.join(&self.program[0]));
        command
            .args(&self.program[1..])
            .current_dir(&self.root)
            .env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command.env("ANVILWORKS_BOOT", self.folder.join(format!("{name}.yaml")));
        command
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null());
        let child = command
            .spawn()
            .unwrap_or_else(|error| stop(&format!("the node can't be started: {error}")));
        NODES.lock().unwrap().push((index, child));
        self.record.note(format!("node {name} started"));
    }

    /// Kills the node of a machine by SIGKILL.
    pub fn kill_node(&self, index: usize) {
        let mut nodes = NODES.lock().unwrap();
        let Some(position) = nodes.iter().position(|(machine, _)| *machine == index) else {
            return;
        };
        let (_, mut node) = nodes.remove(position);
        let _ = node.kill();
        let _ = node.wait();
        self.record
            .note(format!("node {} killed", self.machines[index].name));
    }

    /// Starts the upstream of a machine. If it crashes, it is back some seconds later as a new lifetime.
    pub fn start_upstream(&self, index: usize, options: &upstream::Options) {
        let machine = &self.machines[index];
        let (record, holder) = (self.record.clone(), machine.upstream.clone());
        let restarts = machine.restarts.clone();
        let mut options = options.clone();
        options.address = self.address(index, APP);
        options.control = self.address(index, CONTROL);
        options.service = machine.service.clone();
        let name = machine.name.clone();
        thread::spawn(move || {
            let mut lifetime = 0;
            while restarts.load(Ordering::SeqCst) {
                lifetime += 1;
                let mut options = options.clone();
                options.id = format!("i-{name}-{lifetime}");
                run_upstream(&options, &holder, &record);
                record.note(format!("{} ended", options.id));
                thread::sleep(BACK_AFTER);
            }
        });
    }

    /// Starts one lifetime of the upstream of a machine with exactly these words about itself.
    pub fn start_lifetime(
        &self,
        index: usize,
        options: &upstream::Options,
    ) -> thread::JoinHandle<()> {
        let (record, holder) = (self.record.clone(), self.machines[index].upstream.clone());
        let mut options = options.clone();
        options.address = self.address(index, APP);
        options.control = self.address(index, CONTROL);
        options.service = self.machines[index].service.clone();
        thread::spawn(move || {
            run_upstream(&options, &holder, &record);
            record.note(format!("{} ended", options.id));
        })
    }

    /// Sends a command to the upstream of a machine.
    pub fn command_upstream(&self, index: usize, text: &str) {
        if let Some(child) = self.machines[index].upstream.lock().unwrap().as_mut()
            && let Some(input) = child.stdin.as_mut()
        {
            let _ = writeln!(input, "{text}");
            let _ = input.flush();
        }
    }

    /// Kills the upstream of a machine, as a crash does.
    pub fn crash_upstream(&self, index: usize) {
        if let Some(child) = self.machines[index].upstream.lock().unwrap().as_mut() {
            let _ = child.kill();
        }
    }

    /// Waits until all nodes say that they are ready.
    pub fn wait_ready(&self, limit: Duration) {
        let until = Instant::now() + limit;
        for index in 0..self.machines.len() {
            while !self.is_ready(index) {
                if Instant::now() > until {
                    self.record.note("the nodes did not become ready");
                    self.record.write(&record_file());
                    stop("the nodes did not become ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.note("all nodes are ready");
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = crate::http::call(
            self.address(index, READY),
            Duration::from_millis(500),
            request,
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// A new request id.
    pub fn label(&self) -> String {
        format!("{:016x}", self.labels.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends one request from a client of a machine and waits for the answer; with `leave`, the client
    /// closes its connection after that time.
    pub fn send(
        &self,
        machine: usize,
        host: &str,
        path: &str,
        deadline: u64,
        leave: Option<Duration>,
    ) {
        let head = format!("Host: {host}\r\nDeadline-Ms: {deadline}\r\n");
        let limit = leave.unwrap_or(Duration::from_millis(deadline + 1_500));
        self.request(machine, &self.label(), path, &head, limit, leave.is_some());
    }

    /// Sends one request with the id `label` and the header lines `head`, and waits for the answer for
    /// at most `limit`, after which the client is said to leave if it `leaves`.
    pub fn request(
        &self,
        machine: usize,
        label: &str,
        path: &str,
        head: &str,
        limit: Duration,
        leaves: bool,
    ) -> Option<u16> {
        let name = &self.machines[machine].name;
        let request = format!("GET {path} HTTP/1.1\r\nRequest-Id: {label}\r\n{head}\r\n");
        self.record
            .note(format!("client sends {label} GET {path} to {name}"));
        let reply = exchange(self.address(machine, OUTBOUND), limit, request.as_bytes());
        let status = reply
            .as_ref()
            .ok()
            .and_then(Option::as_ref)
            .map(Message::status);
        let text = match reply {
            Ok(Some(answer)) => format!("client gets {} for {label}", answer.status()),
            Ok(None) => format!("client gets nothing (the connection ended) for {label}"),
            Err(error) if leaves && is_timeout(&error) => format!("client leaves {label}"),
            Err(error) => format!("client gets nothing ({error}) for {label}"),
        };
        self.record.note(text);
        status
    }

    /// Ends all processes that were started and writes the record.
    pub fn end(&self) {
        end_nodes();
        for machine in &self.machines {
            machine.restarts.store(false, Ordering::SeqCst);
            if let Some(child) = machine.upstream.lock().unwrap().as_mut() {
                let _ = child.kill();
            }
        }
        thread::sleep(Duration::from_millis(300));
        self.record.write(&record_file());
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("the nodes' logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

fn exchange(
    address: SocketAddr,
    limit: Duration,
    request: &[u8],
) -> std::io::Result<Option<Message>> {
    let mut connection = Connection::open(address, limit)?;
    connection.write(request)?;
    connection.read()
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

fn run_upstream(options: &upstream::Options, holder: &Arc<Mutex<Option<Child>>>, record: &Record) {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    command
        .args(options.to_args())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn().expect("an upstream");
    let output = child.stdout.take().expect("its output");
    *holder.lock().unwrap() = Some(child);
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        if let Some((at, text)) = line.split_once(' ') {
            record.note_at(at.parse().unwrap_or(0), text);
        }
    }
    if let Some(mut child) = holder.lock().unwrap().take() {
        let _ = child.wait();
    }
}

/// The first of [`PORTS`] ports that are free at all of `ips`.
fn free_ports(ips: &[IpAddr]) -> u16 {
    let mut base = 21_000 + (std::process::id() % 2_000) as u16 * 8;
    for _ in 0..1_000 {
        let ports = base..base + PORTS;
        let is_free = |port: u16| {
            ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        if ports.clone().all(is_free) {
            return base;
        }
        base = if base > 40_000 { 21_000 } else { base + PORTS };
    }
    stop("no free ports")
}

/// The file that the case writes.
pub fn record_file() -> PathBuf {
    PathBuf::from(std::env::var_os("RECORD").unwrap_or_else(|| "record.txt".into()))
}

/// Ends the case as one that could not run.
pub fn stop(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    end_nodes();
    // The upstreams end when their standard input is closed.
    std::process::exit(2);
}

/// Ends the case if it takes too long, or if this program fails.
pub fn watch() {
    std::panic::set_hook(Box::new(|panic| stop(&panic.to_string())));
    thread::spawn(|| {
        thread::sleep(LONGEST_CASE);
        stop("the case took too long");
    });
}

fn end_nodes() {
    let mut nodes = NODES
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for (_, mut node) in nodes.drain(..) {
        let _ = node.kill();
        let _ = node.wait();
    }
}
