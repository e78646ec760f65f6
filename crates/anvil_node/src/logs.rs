//! Structured logs: JSON lines on standard output, which never hold up a request.
//!
//! Lines wait in a bounded queue for a thread of their own. Whoever reads standard output may be slow
//! or stuck; lines that find the queue full are dropped and counted, and the log itself tells how
//! many.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use eyre::WrapErr;
use log4rs::append;
use log4rs::config;
use serde_json::json;

/// Lines that may wait to be written: two seconds of the most that a node writes.
const QUEUE_LINES: usize = 4_096;

/// Bytes gathered before they are written; many lines share one system call.
const BATCH_BYTES: usize = 32 * 1024;

/// Longest wait, at the end of the process, for the lines that are still in the queue. A reader that is
/// stuck must not keep a process that was told to stop; one that reads takes them within milliseconds.
const LAST_LINES_WAIT: Duration = Duration::from_millis(200);

/// What the writing thread is handed.
#[derive(Debug)]
enum LogEntry {
    /// One line, with its end.
    Line(Vec<u8>),
    /// Whoever waits until everything before this is written.
    Written(flume::Sender<()>),
}

/// Lets the end of the process wait for its last lines.
#[derive(Clone, Debug)]
pub struct LogQueue {
    entries: flume::Sender<LogEntry>,
}

impl LogQueue {
    /// Waits until all lines so far are written, a fifth of a second at most.
    ///
    /// Without it the line that tells of the stop would end with the process, in its queue.
    pub fn flush(&self) {
        let (written, wait) = flume::bounded(1);
        let entry = LogEntry::Written(written);
        if self.entries.try_send(entry).is_ok() {
            // A reader that takes nothing loses the last lines, as it lost those before.
            let _ = wait.recv_timeout(LAST_LINES_WAIT);
        }
    }
}

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct QueueAppender {
    entries: flume::Sender<LogEntry>,
    dropped: Arc<AtomicU64>,
}

/// One line: the time of day, the level, and the facts.
///
/// Facts that come as a JSON object are taken as they are, others as text.
fn line(record: &log::Record<'_>) -> Vec<u8> {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time = since.unwrap_or_default().as_secs_f64();
    let level = record.level();
    let message = record.args().to_string();
    let facts = match message.starts_with('{') {
        true => message,
        false => json!({ "event": "note", "text": message }).to_string(),
    };
    format!("{{\"time\":{time:.6},\"level\":\"{level}\",\"facts\":{facts}}}\n").into_bytes()
}

impl append::Append for QueueAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let entry = LogEntry::Line(line(record));
        if self.entries.try_send(entry).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Starts logging at `level`; fails where logging was started before.
pub fn start(level: log::LevelFilter) -> eyre::Result<LogQueue> {
    let (entries, waiting) = flume::bounded(QUEUE_LINES);
    let queue = LogQueue {
        entries: entries.clone(),
    };
    let dropped = Arc::new(AtomicU64::new(0));
    let appender = QueueAppender {
        entries,
        dropped: dropped.clone(),
    };
    let builder = thread::Builder::new().name("logs".to_owned());
    let writer = builder.spawn(move || write(&waiting, &dropped));
    writer.wrap_err("no thread for the log could be started")?;
    let appender = config::Appender::builder().build("output", Box::new(appender));
    let root = config::Root::builder().appender("output").build(level);
    let config = config::Config::builder().appender(appender).build(root);
    let config = config.wrap_err("the log configuration is refused")?;
    log4rs::init_config(config).wrap_err("logging was started before")?;
    Ok(queue)
}

fn write(entries: &flume::Receiver<LogEntry>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    for first in entries {
        batch.clear();
        let mut waiting = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                LogEntry::Line(line) => batch.extend_from_slice(&line),
                LogEntry::Written(written) => waiting.push(written),
            }
            next = match batch.len() < BATCH_BYTES {
                true => entries.try_recv().ok(),
                false => None,
            };
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = json!({ "event": "dropped", "lines": lost });
            let note = format!("{{\"level\":\"WARN\",\"facts\":{note}}}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        let mut output = std::io::stdout().lock();
        // Nobody reads any more; the process serves on.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        drop(waiting);
    }
}
