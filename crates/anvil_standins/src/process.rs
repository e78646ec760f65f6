//! A real node process, started and stopped by tests and experiments.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use eyre::{WrapErr, bail, ensure};
use nix::sys::signal;
use nix::unistd;
use serde::Deserialize;

use crate::ledger;

/// Longest wait for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// One tick of the processor times in proc(5).
const TICK: Duration = Duration::from_millis(10);

/// Longest wait for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for all threads of a process to be suspended.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit of logs with one name in one folder; far more than the starts of any run.
const MAX_STARTS: u32 = 100_000;

/// Interval between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The listening addresses of a node, from its ready file.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct NodeAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators and the local target.
    pub admin: SocketAddr,
    /// For other nodes over TCP.
    pub peer: SocketAddr,
    /// For other nodes over UDP.
    pub gossip: SocketAddr,
}

/// A node of an experiment, in its own process or in this one.
pub trait NodeHandle: Send {
    /// Where it listens.
    fn addresses(&self) -> NodeAddresses;

    /// Kills it and waits until it has ended.
    fn kill(&mut self);

    /// Its processor time and memory so far; none if the node has no process of its own.
    fn usage(&self) -> Option<ledger::UsageRecord>;

    /// Stops it gracefully and waits until it has ended. Fails if that takes too long or ends with
    /// an error.
    fn stop(&mut self) -> eyre::Result<()>;
}

/// Starts a node from its name and its settings as YAML.
pub type NodeStarter = dyn Fn(&str, &str) -> eyre::Result<Box<dyn NodeHandle>> + Send + Sync;

impl NodeHandle for NodeProcess {
    fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    fn kill(&mut self) {
        end(&mut self.child);
    }

    fn usage(&self) -> Option<ledger::UsageRecord> {
        Some(ledger::UsageRecord {
            cpu: TICK * u32::try_from(self.cpu_ticks().ok()?).ok()?,
            resident_bytes: self.resident_bytes().ok()?,
        })
    }

    fn stop(&mut self) -> eyre::Result<()> {
        self.terminate()?;
        let clean = self.wait_end(STOP_TIMEOUT)?;
        ensure!(clean, "the process ended with an error");
        Ok(())
    }
}

/// A node process, which is killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    addresses: NodeAddresses,
    log: PathBuf,
}

/// How to start a node process.
#[derive(Clone, Debug)]
pub struct ProcessPlan<'plan> {
    /// The node's program.
    pub binary: &'plan Path,
    /// The folder of its files.
    pub folder: &'plan Path,
    /// The name of its files. Each start has its own files, beginning with `NAME.1.log`.
    pub name: &'plan str,
    /// Its settings, as YAML.
    pub settings: &'plan str,
}

impl NodeProcess {
    /// Starts a node and waits until it is ready.
    ///
    /// Fails if the process ends or isn't ready in time; its log stays in `folder`.
    pub fn start(plan: &ProcessPlan<'_>) -> eyre::Result<Self> {
        let files = StartFiles::claim(plan)?;
        fs::write(&files.settings, plan.settings).wrap_err("the settings can't be written")?;
        let mut child = Command::new(plan.binary)
            .arg("--settings")
            .arg(&files.settings)
            .arg("--ready-file")
            .arg(&files.ready)
            .stdin(Stdio::null())
            .stdout(files.output.try_clone()?)
            .stderr(files.output)
            .spawn()
            .wrap_err_with(|| format!("{} can't be started", plan.binary.display()))?;
        let addresses = match wait_ready(&mut child, &files.ready) {
            Ok(addresses) => addresses,
            Err(error) => {
                let threads = thread_states(child.id());
                end(&mut child);
                let log = fs::read_to_string(&files.log).unwrap_or_else(|error| error.to_string());
                let name = plan.name;
                return Err(error.wrap_err(format!("node {name}: {threads}; its log: {log}")));
            }
        };
        Ok(Self {
            child,
            addresses,
            log: files.log,
        })
    }

    /// The log of this process alone.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Where it listens.
    pub fn addresses(&self) -> &NodeAddresses {
        &self.addresses
    }

    /// Kills it and waits until it has ended.
    pub fn kill(&mut self) {
        end(&mut self.child);
    }

    /// Requests a graceful stop.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(signal::Signal::SIGTERM)
    }

    /// Requests a check of its settings file.
    pub fn hang_up(&self) -> eyre::Result<()> {
        self.signal(signal::Signal::SIGHUP)
    }

    /// Suspends it and waits until each of its threads has stopped.
    ///
    /// The signal takes effect with a delay: a thread that runs on another processor continues for
    /// a moment, and a request that is sent at once could still be answered.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal(signal::Signal::SIGSTOP)?;
        let until = Instant::now() + PAUSE_TIMEOUT;
        while !self.is_stopped()? {
            ensure!(Instant::now() < until, "the process does not stop");
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Whether each thread is stopped, by the state after the name in parentheses, see proc(5).
    fn is_stopped(&self) -> eyre::Result<bool> {
        let tasks = format!("/proc/{}/task", self.child.id());
        for task in fs::read_dir(tasks)? {
            let stat = match fs::read_to_string(task?.path().join("stat")) {
                Ok(stat) => stat,
                // A thread ended between the two reads; the next check decides.
                Err(error) if matches!(error.kind(), io::ErrorKind::NotFound) => return Ok(false),
                Err(error) => return Err(error.into()),
            };
            let state = stat.rsplit(')').next().unwrap_or_default();
            if !state.trim_start().starts_with('T') {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Resumes it after [`Self::pause`].
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(signal::Signal::SIGCONT)
    }

    /// Waits until the process has ended by itself, and returns whether its exit code was zero.
    pub fn wait_end(&mut self, limit: Duration) -> eyre::Result<bool> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            thread::sleep(POLL_INTERVAL);
        }
        bail!("the process did not end in {limit:?}")
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        self.memory_figure("VmRSS:")
    }

    /// The largest resident memory so far, in bytes.
    pub fn peak_bytes(&self) -> eyre::Result<u64> {
        self.memory_figure("VmHWM:")
    }

    fn memory_figure(&self, name: &str) -> eyre::Result<u64> {
        let status = fs::read_to_string(self.proc_file("status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let Some(kilobytes) = line.and_then(|line| line.split_whitespace().next()) else {
            bail!("the process has no memory figure");
        };
        Ok(kilobytes.parse::<u64>()? * 1024)
    }

    /// Number of open descriptors.
    pub fn open_descriptors(&self) -> eyre::Result<usize> {
        Ok(fs::read_dir(self.proc_file("fd"))?.count())
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> eyre::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Processor time used so far, in ticks of 10 ms.
    pub fn cpu_ticks(&self) -> eyre::Result<u64> {
        let stat = fs::read_to_string(self.proc_file("stat"))?;
        // The name in parentheses may contain spaces; user and system time are the 12th and 13th
        // fields after it.
        let Some((_, rest)) = stat.rsplit_once(')') else {
            bail!("the process has no time figure");
        };
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user: u64 = fields.get(11).unwrap_or(&"").parse()?;
        let system: u64 = fields.get(12).unwrap_or(&"").parse()?;
        Ok(user + system)
    }

    fn proc_file(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.child.id()))
    }

    fn signal(&self, signal: signal::Signal) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id())?;
        signal::kill(unistd::Pid::from_raw(id), signal)?;
        Ok(())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

/// The files of one start, which no other start uses.
///
/// If two runs of one test shared a folder and its files, each would read the addresses of the
/// other's process or remove its ready file, and wait for a node that is already ready.
struct StartFiles {
    settings: PathBuf,
    ready: PathBuf,
    log: PathBuf,
    /// The log, open.
    output: fs::File,
}

impl StartFiles {
    /// Claims the first number without a log. Logs of earlier starts are kept, since they are
    /// needed after the successor has started.
    fn claim(plan: &ProcessPlan<'_>) -> eyre::Result<Self> {
        for start in 1..=MAX_STARTS {
            let file = |suffix: &str| plan.folder.join(format!("{}.{start}.{suffix}", plan.name));
            let log = file("log");
            let output = match fs::File::create_new(&log) {
                Ok(output) => output,
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => continue,
                Err(error) => return Err(error).wrap_err_with(|| log.display().to_string()),
            };
            let ready = file("ready");
            match fs::remove_file(&ready) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
                _ => {}
            }
            return Ok(Self {
                settings: file("yaml"),
                ready,
                log,
                output,
            });
        }
        bail!("{} has {MAX_STARTS} logs already", plan.name)
    }
}

/// The name, state and wait channel of each thread of a process, from proc(5).
fn thread_states(process: u32) -> String {
    let Ok(tasks) = fs::read_dir(format!("/proc/{process}/task")) else {
        return "no process".to_owned();
    };
    let threads = tasks.flatten().map(|task| {
        let read = |file| fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let stat = read("stat");
        let state = stat.rsplit(')').next().unwrap_or_default().trim_start();
        let state = state.chars().next().unwrap_or('?');
        format!("{}:{state}:{}", read("comm").trim(), read("wchan"))
    });
    threads.collect::<Vec<_>>().join(" ")
}

fn end(child: &mut Child) {
    // Both fail only if the process has already ended.
    let _ = child.kill();
    let _ = child.wait();
}

fn wait_ready(child: &mut Child, ready: &Path) -> eyre::Result<NodeAddresses> {
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until {
        if let Some(status) = child.try_wait()? {
            bail!("ended at once: {status}");
        }
        if let Ok(text) = fs::read_to_string(ready)
            && let Ok(addresses) = serde_json::from_str(&text)
        {
            return Ok(addresses);
        }
        thread::sleep(POLL_INTERVAL);
    }
    bail!("is not ready after {READY_TIMEOUT:?}")
}
