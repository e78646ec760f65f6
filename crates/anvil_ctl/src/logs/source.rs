//! Sources of logs: files, which may be gzipped, folders of files, and the standard input.

use std::fs;
use std::io::{self, BufRead, Read, Seek};
use std::path::{Path, PathBuf};

use eyre::{WrapErr, eyre};

/// Size of the read buffer.
const BUFFER_BYTES: usize = 256 * 1024;

/// The name of the standard input on the command line.
const STANDARD_INPUT: &str = "-";

/// Logs that can be read more than once.
#[derive(Debug)]
pub struct LogSource {
    inputs: Vec<LogInput>,
}

/// One file, and the node name of lines that name no node themselves.
#[derive(Debug)]
struct LogInput {
    name: String,
    body: InputBody,
}

#[derive(Debug)]
enum InputBody {
    Plain(PathBuf),
    Gzip(PathBuf),
    /// The standard input, copied to an unnamed temporary file. It can be read only once, but two
    /// passes are needed, since lines of a request may precede the one that names it.
    Spooled(fs::File),
}

/// One line with its position.
#[derive(Clone, Copy, Debug)]
pub struct SourceLine<'a> {
    /// The name of the input.
    pub input: &'a str,
    /// Line number, counted from one.
    pub number: u64,
    /// The node that wrote it, named by the line or else by the file.
    pub node: &'a str,
    /// The JSON object, or the whole line if there is none.
    pub json: &'a [u8],
}

impl LogSource {
    /// Opens `paths`; a folder stands for the files in it.
    pub fn open(paths: &[PathBuf]) -> eyre::Result<Self> {
        let mut inputs = Vec::new();
        for path in paths {
            if path.as_os_str() == STANDARD_INPUT {
                inputs.push(spool()?);
            } else if path.is_dir() {
                inputs.extend(files_of(path)?.into_iter().map(LogInput::of));
            } else {
                fs::metadata(path).wrap_err_with(|| format!("{}", path.display()))?;
                inputs.push(LogInput::of(path.clone()));
            }
        }
        if inputs.is_empty() {
            return Err(eyre!("the given folders contain no files"));
        }
        Ok(Self { inputs })
    }

    /// Passes every line to `visit`, file after file.
    pub fn each_line<Visit>(&self, mut visit: Visit) -> eyre::Result<()>
    where
        Visit: FnMut(SourceLine<'_>),
    {
        for input in &self.inputs {
            input
                .each_line(&mut visit)
                .wrap_err_with(|| input.name.clone())?;
        }
        Ok(())
    }
}

impl LogInput {
    fn of(path: PathBuf) -> Self {
        let gzipped = path.extension().is_some_and(|extension| extension == "gz");
        let uncompressed = if gzipped {
            path.with_extension("")
        } else {
            path.clone()
        };
        let stem = uncompressed.file_stem().map(|stem| stem.to_string_lossy());
        Self {
            name: stem.unwrap_or_default().into_owned(),
            body: if gzipped {
                InputBody::Gzip(path)
            } else {
                InputBody::Plain(path)
            },
        }
    }

    fn reader(&self) -> io::Result<Box<dyn Read + '_>> {
        Ok(match &self.body {
            InputBody::Plain(path) => Box::new(fs::File::open(path)?),
            InputBody::Gzip(path) => {
                Box::new(flate2::read::MultiGzDecoder::new(fs::File::open(path)?))
            }
            InputBody::Spooled(file) => {
                let mut file = file;
                file.rewind()?;
                Box::new(file)
            }
        })
    }

    fn each_line<Visit>(&self, visit: &mut Visit) -> io::Result<()>
    where
        Visit: FnMut(SourceLine<'_>),
    {
        let mut reader = io::BufReader::with_capacity(BUFFER_BYTES, self.reader()?);
        let mut line = Vec::new();
        let mut number = 0;
        loop {
            line.clear();
            if reader.read_until(b'\n', &mut line)? == 0 {
                return Ok(());
            }
            number += 1;
            visit(self.locate(number, line.trim_ascii()));
        }
    }

    /// Splits a line into the words before the JSON object, of which the last names the node, and
    /// the object.
    fn locate<'a>(&'a self, number: u64, line: &'a [u8]) -> SourceLine<'a> {
        let start = memchr::memchr(b'{', line).unwrap_or(0);
        let words = std::str::from_utf8(&line[..start]).unwrap_or_default();
        let name = words.split_whitespace().next_back();
        SourceLine {
            input: &self.name,
            number,
            node: name.unwrap_or(&self.name),
            json: &line[start..],
        }
    }
}

fn spool() -> eyre::Result<LogInput> {
    let mut file =
        tempfile::tempfile().wrap_err("can't create a temporary file for the standard input")?;
    io::copy(&mut io::stdin().lock(), &mut file).wrap_err("can't read the standard input")?;
    Ok(LogInput {
        name: "standard-input".to_owned(),
        body: InputBody::Spooled(file),
    })
}

fn files_of(folder: &Path) -> eyre::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(folder).wrap_err_with(|| format!("{}", folder.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry
            .wrap_err_with(|| format!("{}", folder.display()))?
            .path();
        if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
