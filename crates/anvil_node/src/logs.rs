//! Structured logs: JSON lines on standard output, which never block a request.
//!
//! Lines wait in a bounded queue for a separate thread. The reader of standard output may be slow
//! or stuck; if the queue is full, lines are dropped and counted, and the log states how many.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use eyre::WrapErr;
use log4rs::append;
use log4rs::config;
use serde_json::json;

/// Maximum number of lines that wait to be written: two seconds of the highest rate at which a node
/// logs.
const QUEUE_LINES: usize = 4_096;

/// Bytes collected per write; many lines share one system call.
const BATCH_BYTES: usize = 32 * 1024;

/// Longest wait for the queued lines when the process exits. A stuck reader must not delay the
/// exit; a reader that works takes the lines within milliseconds.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Entries of the queue of the writing thread.
#[derive(Debug)]
enum LogEntry {
    /// One line, with its line end.
    Line(Vec<u8>),
    /// A flush: signalled once everything before it is written.
    Flush(flume::Sender<()>),
}

/// Lets the process wait for its last lines before it exits.
#[derive(Clone, Debug)]
pub struct LogQueue {
    entries: flume::Sender<LogEntry>,
}

impl LogQueue {
    /// Waits until all lines so far are written, at most 200 ms.
    ///
    /// Without it, the line that reports the stop would be lost in the queue when the process
    /// exits.
    pub fn flush(&self) {
        let (written, wait) = flume::bounded(1);
        let entry = LogEntry::Flush(written);
        if self.entries.try_send(entry).is_ok() {
            // If the reader is stuck, the last lines are lost like those before.
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct QueueAppender {
    entries: flume::Sender<LogEntry>,
    dropped: Arc<AtomicU64>,
}

/// Formats one line: the time of day, the level, and the facts.
///
/// A message that is a JSON object becomes the facts as it is; any other becomes a text.
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

/// Starts logging at `level`; fails if logging was started before.
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
        let mut flushes = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                LogEntry::Line(line) => batch.extend_from_slice(&line),
                LogEntry::Flush(written) => flushes.push(written),
            }
            next = match batch.len() < BATCH_BYTES {
                true => entries.try_recv().ok(),
                false => None,
            };
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let note = json!({ "event": "dropped", "lines": dropped_lines });
            let note = format!("{{\"level\":\"WARN\",\"facts\":{note}}}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        let mut output = std::io::stdout().lock();
        // The reader has closed its end; the process keeps serving.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        drop(flushes);
    }
}
