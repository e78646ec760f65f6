//! A node with scripted answers, and input files for commands.

use std::ffi::OsString;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;

use anvil_ctl::{arguments, command, outcome};
use rouille::{Request, Response, Server};

/// The scripted node's answer to every request with one method and path.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedAnswer {
    pub(crate) method: &'static str,
    pub(crate) path: &'static str,
    pub(crate) status: u16,
    pub(crate) body: String,
}

pub(crate) fn answer(
    method: &'static str,
    path: &'static str,
    status: u16,
    body: &str,
) -> ScriptedAnswer {
    let body = body.to_owned();
    ScriptedAnswer {
        method,
        path,
        status,
        body,
    }
}

/// A node that gives scripted answers and records the requests that it receives.
pub(crate) struct ScriptedNode {
    pub(crate) url: String,
    received: Arc<Mutex<Vec<String>>>,
    stop: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ScriptedNode {
    /// Serves on a free port; the revision in force is 7.
    pub(crate) fn start(script: Vec<ScriptedAnswer>) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let record = Arc::clone(&received);
        let server = Server::new("127.0.0.1:0", move |request| {
            record.lock().expect("no panic").push(summary(request));
            reply(&script, request)
        });
        let server = server.expect("a free port");
        let url = format!("http://{}", server.server_addr());
        let (thread, stop) = server.stoppable();
        Self {
            url,
            received,
            stop,
            thread: Some(thread),
        }
    }

    /// Method, path, `anvil-` headers and `authorization` header of each request received.
    pub(crate) fn received(&self) -> Vec<String> {
        self.received.lock().expect("no panic").clone()
    }
}

impl Drop for ScriptedNode {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn summary(request: &Request) -> String {
    let headers = request.headers().filter(|(name, _)| {
        let name = name.to_ascii_lowercase();
        name.starts_with("anvil-") || name == "authorization"
    });
    let mut headers: Vec<String> = headers
        .map(|(name, value)| format!(" {}={value}", name.to_ascii_lowercase()))
        .collect();
    headers.sort();
    format!("{} {}{}", request.method(), request.url(), headers.concat())
}

fn reply(script: &[ScriptedAnswer], request: &Request) -> Response {
    let matches = |answer: &&ScriptedAnswer| {
        answer.method == request.method() && answer.path == request.url()
    };
    match script.iter().find(matches) {
        Some(answer) => Response::text(answer.body.clone())
            .with_status_code(answer.status)
            .with_unique_header("anvil-revision", "7"),
        None => Response::empty_404(),
    }
}

pub(crate) fn environment() -> arguments::CtlEnvironment {
    arguments::CtlEnvironment {
        node: None,
        token_file: None,
        user: Some("ana".to_owned()),
    }
}

/// Runs a command line; words are separated by single spaces.
pub(crate) fn run(line: &str) -> outcome::CtlReport {
    let words = line.split(' ').map(OsString::from).collect();
    command::run(words, &environment())
}

/// The path of a file in the repository.
#[allow(dead_code, reason = "only some test files read it")]
pub(crate) fn repository_file(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join(path).display().to_string()
}

/// Writes a temporary file and returns its path.
pub(crate) fn write_file(name: &str, text: &str) -> String {
    // Tests run in parallel, so each file gets its own directory.
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let unique = format!(
        "{}-{}",
        std::process::id(),
        COUNT.fetch_add(1, Ordering::Relaxed)
    );
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(unique);
    std::fs::create_dir_all(&directory).expect("the directory can be made");
    let path = directory.join(name);
    std::fs::write(&path, text).expect("the directory is there");
    path.display().to_string()
}
