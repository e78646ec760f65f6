//! Node processes, started with the command of the deploy file and its settings template, and the
//! record of a run.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap();
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// One machine: a node and the addresses of its settings.
pub struct Node {
    pub name: String,
    pub zone: &'static str,
    pub service: &'static str,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    /// The address of the application on this machine.
    pub app: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Node {
    /// Writes the settings of a machine whose application belongs to `service`.
    pub fn new(
        folder: &Path,
        name: &str,
        zone: &'static str,
        service: &'static str,
        ip: Ipv4Addr,
        store: SocketAddr,
    ) -> Self {
        // The ports of the platform's example. Each machine has an address of its own, so that no
        // other socket takes its ports.
        let address = |port: u16| SocketAddr::from((ip, port));
        let values = [
            ("zone", zone.to_owned()),
            ("region", "region-a".to_owned()),
            ("ip", ip.to_string()),
            ("service", service.to_owned()),
            ("listen_addrs.outbound", address(8304).to_string()),
            ("listen_addrs.ready", address(8302).to_string()),
            ("listen_addrs.control_plane", address(8306).to_string()),
            ("internal_port_range.0", "7620".to_owned()),
            ("internal_port_range.1", "7635".to_owned()),
            ("platform.address", store.to_string()),
            ("heartbeat_interval", "1500ms".to_owned()),
            ("bounds.grace", "6s".to_owned()),
            ("bounds.retry_budget_slack", "47".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/node.yaml").unwrap();
        for (field, value) in &values {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        assert!(
            !text.contains("{{"),
            "a field of the settings template is not known here"
        );
        let settings = folder.join(format!("{name}.boot"));
        fs::write(&settings, text).unwrap();
        Self {
            name: name.to_owned(),
            zone,
            service,
            outbound: address(8304),
            ready: address(8302),
            control: address(8306),
            app: address(8301),
            settings,
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
        }
    }

    /// Starts the process as the deploy file says.
    pub fn start(&self) {
        let deploy = fs::read_to_string("deploy/system.toml").unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.unwrap().trim().trim_matches('"').to_owned();
        let mut words = run.split(' ');
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let mut command = Command::new(words.next().unwrap());
        command
            .args(words)
            .env_clear()
            .env("ANVILWORKS_BOOT", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        *self.child.lock().unwrap() = Some(command.spawn().unwrap());
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// The resident memory of the process in mebibytes.
    pub fn memory_mb(&self) -> usize {
        let child = self.child.lock().unwrap();
        let Some(child) = &*child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
        kib.unwrap_or(0_usize) / 1024
    }

    /// Waits until the process has ended, and kills it at the end of `grace`.
    pub fn wait(&self, grace: Duration) -> bool {
        let until = Instant::now() + grace;
        while !self.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        let ended = self.has_ended();
        self.end();
        ended
    }

    /// Ends the process.
    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let asked = http::call(self.ready, "GET", "/readiness", "", b"", timeout);
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the readiness question is answered with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}
