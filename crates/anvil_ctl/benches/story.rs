//! Reconstruction of one request from a million log lines; see docs/MEASUREMENTS.md.

use std::fs;
use std::io::{self, Write};
use std::path::Path;

use anvil_ctl::{arguments, command};

/// Number of log lines, of about 400 bytes each.
const LINES: u64 = 1_000_000;

fn main() {
    divan::main();
}

/// Writes one line for each of [`LINES`] requests that are refused at their entry nodes.
fn write_logs(path: &Path) -> io::Result<()> {
    let mut file = io::BufWriter::new(fs::File::create(path)?);
    for number in 0..LINES {
        let time = number as f64 / 10_000.0;
        writeln!(
            file,
            "{{\"time\":{time:.6},\"level\":\"INFO\",\"facts\":{{\"event\":\"call-ended\",\"request\":\"{number:016x}\",\
             \"root\":\"{number:032x}\",\"service\":\"expediente\",\"class\":\"normal\",\"lane\":189,\
             \"rule\":{{\"revision\":4,\"index\":2}},\"verdict\":\"not-run: shed\",\"status\":null,\"attempts\":2,\
             \"reached\":0,\"nodes\":[\"000000000000000a\",\"000000000000000b\"],\
             \"refused\":{{\"cut\":{{\"class\":\"normal\",\"lane\":110}}}},\"refused_by\":\"000000000000000b\",\
             \"took_ms\":7,\"left_ms\":1493,\"retry_after_ms\":480}}}}"
        )?;
    }
    file.flush()
}

#[divan::bench(sample_count = 5, sample_size = 1)]
fn million_lines(bencher: divan::Bencher<'_, '_>) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("centro-a-1.log");
    write_logs(&path).expect("the logs are written");
    let line = [
        "story".into(),
        "00000000000c0ffe".into(),
        path.into_os_string(),
    ];
    let environment = arguments::CtlEnvironment::default();
    bencher.bench_local(|| command::run(line.to_vec(), &environment));
}
