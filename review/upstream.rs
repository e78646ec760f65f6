//! An upstream beside a node: its status reports, and a server whose answers a case decides.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Node, Record};
use crate::http::{self, Connection, Message};

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    control: SocketAddr,
    slots: u32,
    sequence: AtomicU64,
    stopped: AtomicBool,
    /// The ids of the requests that ran here, in order.
    pub ran: Mutex<Vec<String>>,
    pub record: Record,
}

/// What follows a request on its connection.
pub enum Next {
    Keep,
    Close,
}

/// Serves one request, whose head was read; the body is still to be read.
pub type Serve = dyn Fn(&Upstream, &mut Connection, &Message) -> Next + Send + Sync;

impl Upstream {
    /// Starts an upstream on the machine of `node`.
    pub fn start(node: &Node, slots: u32, record: &Record, serve: Arc<Serve>) -> Arc<Self> {
        let listener = TcpListener::bind(node.app).unwrap();
        let upstream = Arc::new(Self {
            id: format!("i-{}", node.name),
            address: listener.local_addr().unwrap(),
            service: node.service,
            zone: node.zone,
            control: node.control,
            slots,
            sequence: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            ran: Mutex::default(),
            record: record.clone(),
        });
        let shared = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, serve) = (shared.clone(), serve.clone());
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.head() {
                        if let Some(refusal) = shared.other_instance(&request) {
                            let _ = connection.send(refusal.as_bytes());
                            return;
                        }
                        if let Next::Close = serve(&shared, &mut connection, &request) {
                            return;
                        }
                    }
                });
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            while !beating.stopped.load(Ordering::Relaxed) {
                beating.report("ready");
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        upstream
    }

    fn other_instance(&self, request: &Message) -> Option<String> {
        let expected = request.header("expect-instance")?;
        (expected != self.id).then(|| {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            )
        })
    }

    /// Sends one status report; whether it was acknowledged.
    pub fn report(&self, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"max_concurrency\":{},\"state\":\"{state}\",\"warmup_left\":\"0ms\",\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.slots
        );
        let target = format!("/instances/{}", self.id);
        let headers = "Content-Type: application/json\r\n";
        let timeout = Duration::from_secs(1);
        let sent = http::call(
            self.control,
            "PUT",
            &target,
            headers,
            body.as_bytes(),
            timeout,
        );
        sent.is_ok_and(|answer| answer.status() == 200)
    }

    /// The number of runs of all these upstreams.
    pub fn runs(upstreams: &[Arc<Self>]) -> usize {
        upstreams
            .iter()
            .map(|upstream| upstream.ran.lock().unwrap().len())
            .sum()
    }

    /// Ends the status reports.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Notes that a request begins to run here.
    pub fn begin(&self, request: &Message) -> String {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        self.ran.lock().unwrap().push(id.clone());
        self.record
            .line(&format!("{} runs {id} {}", self.id, request.target()));
        id
    }
}
