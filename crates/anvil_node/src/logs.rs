//! Structured logs: JSON lines on standard output, which never hold up a request.
//!
//! Lines wait in a bounded queue for a thread of their own. Whoever reads standard output may be slow
//! or stuck; lines that find the queue full are dropped and counted, and the log itself tells how
//! many.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use eyre::WrapErr;
use log4rs::append;
use log4rs::config;
use log4rs::encode::{self, json};

/// Lines that may wait to be written: two seconds of the most that a node writes.
const QUEUE_LINES: usize = 4_096;

/// Bytes gathered before they are written; many lines share one system call.
const BATCH_BYTES: usize = 32 * 1024;

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct QueueAppender {
    encoder: json::JsonEncoder,
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Gathers the bytes of one line.
#[derive(Debug, Default)]
struct LineBuffer(Vec<u8>);

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl encode::Write for LineBuffer {}

impl append::Append for QueueAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = LineBuffer::default();
        encode::Encode::encode(&self.encoder, &mut line, record)?;
        if self.lines.try_send(line.0).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Starts logging at `level`; fails where logging was started before.
pub fn start(level: log::LevelFilter) -> eyre::Result<()> {
    let (lines, waiting) = flume::bounded(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let appender = QueueAppender {
        encoder: json::JsonEncoder::new(),
        lines,
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
    Ok(())
}

fn write(lines: &flume::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    for first in lines {
        batch.clear();
        batch.extend_from_slice(&first);
        while batch.len() < BATCH_BYTES {
            let Ok(next) = lines.try_recv() else { break };
            batch.extend_from_slice(&next);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                format!("{{\"level\":\"WARN\",\"message\":\"log lines dropped: {lost}\"}}\n");
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
    }
}
