//! Where logs are read from: files, folders of files, either of them gzipped, and the standard input.

use std::fs;
use std::io::{self, BufRead, Read, Seek};
use std::path::{Path, PathBuf};

use eyre::{WrapErr, eyre};

/// Bytes read at once.
const BUFFER_BYTES: usize = 256 * 1024;

/// Names the standard input on the command line.
const STANDARD_INPUT: &str = "-";

/// Logs that can be read more than once.
#[derive(Debug)]
pub struct LogSource {
    inputs: Vec<LogInput>,
}

/// One file, and the name that its lines go by where they name no node themselves.
#[derive(Debug)]
struct LogInput {
    name: String,
    body: InputBody,
}

#[derive(Debug)]
enum InputBody {
    Plain(PathBuf),
    Gzip(PathBuf),
    /// The standard input, kept in a file that has no name: it can be read only once, and the lines of a
    /// request may stand before the one that names it.
    Spooled(fs::File),
}

/// One line with its place.
#[derive(Clone, Copy, Debug)]
pub struct PlacedLine<'a> {
    /// The file, or the standard input.
    pub input: &'a str,
    /// Counted from one.
    pub number: u64,
    /// The node that wrote it, as the line or else the file names it.
    pub node: &'a str,
    /// The JSON object; where there is none, the whole line.
    pub json: &'a [u8],
}

impl LogSource {
    /// Finds the files behind `paths`; a folder stands for the files in it.
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
            return Err(eyre!("there are no files in the folders named"));
        }
        Ok(Self { inputs })
    }

    /// Hands every line to `take`, file after file.
    pub fn each_line<Take>(&self, mut take: Take) -> eyre::Result<()>
    where
        Take: FnMut(PlacedLine<'_>),
    {
        for input in &self.inputs {
            input
                .each_line(&mut take)
                .wrap_err_with(|| input.name.clone())?;
        }
        Ok(())
    }
}

impl LogInput {
    fn of(path: PathBuf) -> Self {
        let gzipped = path.extension().is_some_and(|extension| extension == "gz");
        let bare = if gzipped {
            path.with_extension("")
        } else {
            path.clone()
        };
        let stem = bare.file_stem().map(|stem| stem.to_string_lossy());
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

    fn each_line<Take>(&self, take: &mut Take) -> io::Result<()>
    where
        Take: FnMut(PlacedLine<'_>),
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
            take(self.placed(number, line.trim_ascii()));
        }
    }

    /// Tells the words before the JSON object from it; the last of them names the node.
    fn placed<'a>(&'a self, number: u64, line: &'a [u8]) -> PlacedLine<'a> {
        let start = memchr::memchr(b'{', line).unwrap_or(0);
        let words = std::str::from_utf8(&line[..start]).unwrap_or_default();
        let named = words.split_whitespace().next_back();
        PlacedLine {
            input: &self.name,
            number,
            node: named.unwrap_or(&self.name),
            json: &line[start..],
        }
    }
}

fn spool() -> eyre::Result<LogInput> {
    let mut file = tempfile::tempfile().wrap_err("no file for the standard input")?;
    io::copy(&mut io::stdin().lock(), &mut file).wrap_err("the standard input")?;
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
