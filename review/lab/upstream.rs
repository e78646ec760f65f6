//! An upstream, as a process of its own: it reports its state, runs requests, and ends when it runs
//! one that crashes it.

use std::io::{BufRead, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message};
use crate::json;

/// Time between two status reports, as the settings of the nodes say.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Requests that it runs concurrently; further ones wait, up to as many again.
const SLOTS: u32 = 34;

/// Requests whose path ends so take [`LONG_WORK`].
pub const LONG_PATH: &str = "/long";

/// Work of a long request.
const LONG_WORK: Duration = Duration::from_millis(4_000);

/// Milliseconds of the Unix clock.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// What an upstream is started with.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    /// Work of a usual request.
    pub work: Duration,
    /// A request whose path ends so crashes it; empty for none.
    pub crash_path: String,
    /// Time from the begin of such a request to the crash.
    pub crash_after: Duration,
    /// What it reports as `born`; 0 for an installation without that field.
    pub born: u64,
}

impl Options {
    pub fn to_args(&self) -> Vec<String> {
        vec![
            "upstream".to_owned(),
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.address.to_string(),
            self.control.to_string(),
            self.work.as_millis().to_string(),
            self.crash_path.clone(),
            self.crash_after.as_millis().to_string(),
            self.born.to_string(),
        ]
    }

    pub fn from_args(args: &[String]) -> Self {
        let millis = |text: &str| Duration::from_millis(text.parse().expect("milliseconds"));
        Self {
            id: args[0].clone(),
            service: args[1].clone(),
            zone: args[2].clone(),
            address: args[3].parse().expect("an address"),
            control: args[4].parse().expect("an address"),
            work: millis(&args[5]),
            crash_path: args[6].clone(),
            crash_after: millis(&args[7]),
            born: args[8].parse().expect("a time"),
        }
    }
}

struct Upstream {
    options: Options,
    running: Mutex<u32>,
    freed: Condvar,
    waiting: AtomicU64,
    draining: AtomicBool,
    sequence: AtomicU64,
}

/// Prints one line for the driver: the time, this lifetime, and what happened.
fn tell(id: &str, text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {id} {text}", unix_ms());
    let _ = out.flush();
}

/// Serves until it crashes, is killed, or is told to exit.
pub fn main(options: Options) {
    let listener = TcpListener::bind(options.address).expect("the upstream's address");
    tell(&options.id, "started");
    let upstream = Arc::new(Upstream {
        options,
        running: Mutex::new(0),
        freed: Condvar::new(),
        waiting: AtomicU64::new(0),
        draining: AtomicBool::new(false),
        sequence: AtomicU64::new(0),
    });
    let reporting = upstream.clone();
    thread::spawn(move || {
        loop {
            reporting.report();
            thread::sleep(HEARTBEAT);
        }
    });
    let commanded = upstream.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if line == "drain" {
                commanded.draining.store(true, Ordering::SeqCst);
                commanded.report();
            }
            if line == "leave" {
                commanded.leave();
                std::process::exit(0);
            }
        }
        // The driver is gone.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let upstream = upstream.clone();
        thread::spawn(move || upstream.serve(Connection::new(stream)));
    }
}

impl Upstream {
    fn report(&self) {
        let options = &self.options;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let draining = self.draining.load(Ordering::SeqCst);
        let state = if draining { "draining" } else { "ready" };
        let born = match options.born {
            0 => String::new(),
            born => format!(",\"born\":{born}"),
        };
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"max_concurrency\":{SLOTS},\
             \"state\":\"{state}\",\"warmup_left\":\"0ms\",\"sequence\":{sequence}{born}}}",
            json::quote(&options.service),
            options.address,
            json::quote(&options.zone)
        );
        let request = format!(
            "PUT /instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            options.id,
            options.control,
            body.len()
        );
        let answer = http::call(options.control, Duration::from_secs(1), request.as_bytes());
        let status = answer.map_or(0, |answer| answer.status());
        tell(
            &options.id,
            &format!(
                "reported state={state} sequence={sequence} born={} answer={status}",
                options.born
            ),
        );
    }

    /// Its last call.
    fn leave(&self) {
        let options = &self.options;
        let body = if options.born == 0 {
            String::new()
        } else {
            format!("{{\"born\":{}}}", options.born)
        };
        let request = format!(
            "DELETE /instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            options.id,
            options.control,
            body.len()
        );
        let answer = http::call(options.control, Duration::from_secs(1), request.as_bytes());
        tell(
            &options.id,
            &format!(
                "took its leave answer={}",
                answer.map_or(0, |answer| answer.status())
            ),
        );
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let Some(bytes) = self.respond(&request, &connection) else {
                return;
            };
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    /// Works for the usual time; false if the connection of the request is closed meanwhile, which
    /// ends the work.
    fn work(&self, path: &str, connection: &Connection) -> bool {
        let work = match path.ends_with(LONG_PATH) {
            true => LONG_WORK,
            false => self.options.work,
        };
        let until = Instant::now() + work;
        let stream = &connection.stream;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let pause = left
                .min(Duration::from_millis(20))
                .max(Duration::from_millis(1));
            let _ = stream.set_read_timeout(Some(pause));
            let closed = match stream.peek(&mut [0; 1]) {
                Ok(read) => read == 0,
                Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
            if closed {
                return false;
            }
        }
        let _ = stream.set_read_timeout(None);
        true
    }

    fn load(&self) -> String {
        let running = *self.running.lock().unwrap();
        format!(
            "Server-Load: {running},{},{SLOTS}\r\n",
            self.waiting.load(Ordering::SeqCst)
        )
    }

    fn respond(&self, request: &Message, connection: &Connection) -> Option<Vec<u8>> {
        let options = &self.options;
        let path = request.target().to_owned();
        if path == "/health" {
            let extra = format!("Instance-Id: {}\r\n{}", options.id, self.load());
            return Some(match self.draining.load(Ordering::SeqCst) {
                true => http::answer(503, "Service Unavailable", &extra, b""),
                false => http::answer(200, "OK", &extra, b""),
            });
        }
        let label = request.header("request-id").unwrap_or_default().to_owned();
        let echo = format!("Request-Id: {label}\r\n");
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != options.id)
        {
            let extra = format!("{echo}Instance-Id: {}\r\n", options.id);
            return Some(http::answer(421, "Misdirected Request", &extra, b""));
        }
        if !self.take_slot() {
            let extra = format!("{echo}Not-Executed: 1\r\n");
            return Some(http::answer(503, "Service Unavailable", &extra, b""));
        }
        let draining = self.draining.load(Ordering::SeqCst);
        tell(
            &options.id,
            &format!(
                "runs {label} {} {path} draining={draining} tenant={}",
                request.method(),
                request.header("tenant").unwrap_or("-")
            ),
        );
        if !options.crash_path.is_empty() && path.ends_with(&options.crash_path) {
            thread::sleep(options.crash_after);
            tell(&options.id, &format!("crashes by {label} {path}"));
            std::process::abort();
        }
        let completed = self.work(&path, connection);
        tell(
            &options.id,
            &format!("{} {label}", if completed { "completes" } else { "drops" }),
        );
        let load = self.load();
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let extra = format!("{echo}Server-Stamp: {}.{label}\r\n{load}", options.id);
        completed
            .then(|| http::answer(200, "OK", &extra, format!("answer to {label}\n").as_bytes()))
    }

    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        if *running >= SLOTS && self.waiting.load(Ordering::SeqCst) >= u64::from(SLOTS) {
            return false;
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while *running >= SLOTS {
            running = self.freed.wait(running).unwrap();
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        *running += 1;
        true
    }
}
