//! Parsing of the command line.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use anvil_rules::duration;
use anvil_types::ident;
use eyre::{WrapErr, bail, eyre};
use pico_args::Arguments;

use crate::{help, outcome};

/// Default of `--timeout`. A node itself waits up to ten seconds for its reducer and the store; a
/// shorter timeout would lose its answer.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Default of `--wait-limit`.
const DEFAULT_WAIT_LIMIT: Duration = Duration::from_secs(60);

/// The environment variables that the command uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CtlEnvironment {
    /// `ANVIL_NODE`.
    pub node: Option<String>,
    /// `ANVIL_TOKEN_FILE`.
    pub token_file: Option<PathBuf>,
    /// `USER`.
    pub user: Option<String>,
}

impl CtlEnvironment {
    /// Reads the process's environment.
    pub fn from_process() -> Self {
        Self {
            node: std::env::var("ANVIL_NODE").ok(),
            token_file: std::env::var_os("ANVIL_TOKEN_FILE").map(PathBuf::from),
            user: std::env::var("USER").ok(),
        }
    }
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CtlCommand {
    /// Show help.
    Help(help::HelpTopic),
    /// Check files.
    Check {
        /// Paths of the rule files.
        files: Vec<PathBuf>,
    },
    /// Apply a rule file.
    Apply(Box<ApplyArguments>),
    /// Show part of a node's state.
    Show {
        /// The part to show.
        what: ShowTopic,
        /// The node and how to reach it.
        node: NodeArguments,
    },
    /// Explain a request.
    Explain(Box<ExplainArguments>),
    /// Reconstruct a request from logs.
    Story(StoryArguments),
}

/// The request to reconstruct, and the logs to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoryArguments {
    /// The caller's id of the request, or the root request's id.
    pub request: String,
    /// Log files and folders; `-` is the standard input.
    pub logs: Vec<PathBuf>,
}

/// The part of a node's state to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShowTopic {
    /// The rules in force.
    Rules,
    /// The rule changes that the node retains.
    History,
    /// A summary of the fleet.
    Status,
    /// The node's complete state.
    Dump,
}

/// The node to use, and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeArguments {
    /// URL of the node's admin endpoint.
    pub url: String,
    /// The file that contains the admin token.
    pub token_file: Option<PathBuf>,
    /// Timeout of each request.
    pub timeout: Duration,
    /// Whether the node's JSON is printed unchanged.
    pub json: bool,
}

/// Arguments of `apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyArguments {
    /// The rule file.
    pub file: PathBuf,
    /// Longest wait for all nodes, if `--wait` is given.
    pub wait: Option<Duration>,
    /// The revision that the file is based on.
    pub base: Option<ident::RuleRevision>,
    /// The change's id; if none is given, a new one is generated.
    pub change: Option<u128>,
    /// The author of the change.
    pub author: String,
    /// The node that gets the change.
    pub node: NodeArguments,
}

/// Arguments of `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainArguments {
    /// The request's method.
    pub method: String,
    /// The request's URL.
    pub url: String,
    /// The request's headers.
    pub headers: Vec<(String, String)>,
    /// The rules that decide.
    pub by: ExplainSource,
    /// Whether the explanation is printed as JSON.
    pub json: bool,
}

/// The source of the rules for `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainSource {
    /// A rule file.
    File(PathBuf),
    /// The rules in force at a node.
    Node(NodeArguments),
}

/// Parses the command line, without the program's name.
pub fn parse(
    words: Vec<OsString>,
    environment: &CtlEnvironment,
) -> Result<CtlCommand, outcome::CtlFailure> {
    let parser = ArgumentParser {
        arguments: Arguments::from_vec(words),
        environment,
    };
    parser.command().map_err(outcome::CtlFailure::usage)
}

struct ArgumentParser<'a> {
    arguments: Arguments,
    environment: &'a CtlEnvironment,
}

impl ArgumentParser<'_> {
    fn command(mut self) -> eyre::Result<CtlCommand> {
        let wants_help = self.arguments.contains(["-h", "--help"]);
        let name = self.arguments.subcommand()?;
        let topic = match name.as_deref() {
            None if wants_help => help::HelpTopic::Overview,
            None => bail!("a command is needed; see anvilctl --help"),
            Some("help") => return Ok(CtlCommand::Help(help::HelpTopic::Overview)),
            Some("check") => help::HelpTopic::Check,
            Some("apply") => help::HelpTopic::Apply,
            Some("rules") => help::HelpTopic::Rules,
            Some("status") => help::HelpTopic::Status,
            Some("dump") => help::HelpTopic::Dump,
            Some("explain") => help::HelpTopic::Explain,
            Some("story") => help::HelpTopic::Story,
            Some(other) => bail!("unknown command {other:?}; see anvilctl --help"),
        };
        if wants_help {
            return Ok(CtlCommand::Help(topic));
        }
        match topic {
            help::HelpTopic::Overview => Ok(CtlCommand::Help(topic)),
            help::HelpTopic::Check => self.check(),
            help::HelpTopic::Apply => self.apply(),
            help::HelpTopic::Rules => self.rules(),
            help::HelpTopic::Status => self.show(ShowTopic::Status),
            help::HelpTopic::Dump => self.show(ShowTopic::Dump),
            help::HelpTopic::Explain => self.explain(),
            help::HelpTopic::Story => self.story(),
        }
    }

    fn story(mut self) -> eyre::Result<CtlCommand> {
        let request: Option<String> = self.arguments.opt_free_from_str()?;
        let logs = self.files()?;
        match request {
            Some(request) if !request.is_empty() && !logs.is_empty() => {
                Ok(CtlCommand::Story(StoryArguments { request, logs }))
            }
            _ => bail!("a request's id and its logs are needed; see anvilctl story --help"),
        }
    }

    /// The remaining arguments as files; `-` is the standard input.
    fn files(self) -> eyre::Result<Vec<PathBuf>> {
        let files: Vec<PathBuf> = self.arguments.finish().iter().map(PathBuf::from).collect();
        let is_option = |file: &&PathBuf| {
            let name = file.to_string_lossy();
            name.starts_with('-') && name != "-"
        };
        match files.iter().find(is_option) {
            Some(option) => bail!("unknown option {}", option.display()),
            None => Ok(files),
        }
    }

    fn check(self) -> eyre::Result<CtlCommand> {
        let files = self.files()?;
        if files.is_empty() {
            bail!("a rule file is needed; see anvilctl check --help");
        }
        Ok(CtlCommand::Check { files })
    }

    fn apply(mut self) -> eyre::Result<CtlCommand> {
        let waits = self.arguments.contains("--wait");
        let limit = self.duration("--wait-limit")?.unwrap_or(DEFAULT_WAIT_LIMIT);
        let base: Option<u64> = self.arguments.opt_value_from_str("--base")?;
        let change = self.arguments.opt_value_from_fn("--change", parse_change)?;
        let author: Option<String> = self.arguments.opt_value_from_str("--author")?;
        let author = author.or_else(|| self.environment.user.clone());
        let node = self.node()?;
        let file = self.free_path()?;
        let arguments = ApplyArguments {
            file,
            wait: waits.then_some(limit),
            base: base.map(ident::RuleRevision),
            change,
            author: author.unwrap_or_default(),
            node,
        };
        self.finish(CtlCommand::Apply(Box::new(arguments)))
    }

    fn rules(mut self) -> eyre::Result<CtlCommand> {
        let what = match self.arguments.subcommand()?.as_deref() {
            Some("show") => ShowTopic::Rules,
            Some("history") => ShowTopic::History,
            _ => bail!("rules takes show or history; see anvilctl rules --help"),
        };
        self.show(what)
    }

    fn show(mut self, what: ShowTopic) -> eyre::Result<CtlCommand> {
        let node = self.node()?;
        self.finish(CtlCommand::Show { what, node })
    }

    fn explain(mut self) -> eyre::Result<CtlCommand> {
        let headers = self
            .arguments
            .values_from_fn(["-H", "--header"], parse_header)?;
        let file: Option<String> = self.arguments.opt_value_from_str("--rules")?;
        let (by, json) = match file {
            Some(file) => {
                let json = self.arguments.contains("--json");
                (ExplainSource::File(PathBuf::from(file)), json)
            }
            None => {
                let node = self
                    .node()
                    .wrap_err("without --rules FILE, the rules of a node are used")?;
                let json = node.json;
                (ExplainSource::Node(node), json)
            }
        };
        let missing = || eyre!("a method and a URL are needed; see anvilctl explain --help");
        let method: Option<String> = self.arguments.opt_free_from_str()?;
        let url: Option<String> = self.arguments.opt_free_from_str()?;
        let arguments = ExplainArguments {
            method: method.ok_or_else(missing)?,
            url: url.ok_or_else(missing)?,
            headers,
            by,
            json,
        };
        self.finish(CtlCommand::Explain(Box::new(arguments)))
    }

    fn node(&mut self) -> eyre::Result<NodeArguments> {
        let url: Option<String> = self.arguments.opt_value_from_str("--node")?;
        let url = url.or_else(|| self.environment.node.clone());
        let url = url.ok_or_else(|| eyre!("name a node with --node URL or $ANVIL_NODE"))?;
        if !url.starts_with("http://") {
            bail!("--node {url}: a node's admin endpoint begins with http://");
        }
        let token_file: Option<String> = self.arguments.opt_value_from_str("--token-file")?;
        let token_file = token_file.map(PathBuf::from);
        Ok(NodeArguments {
            url: url.trim_end_matches('/').to_owned(),
            token_file: token_file.or_else(|| self.environment.token_file.clone()),
            timeout: self.duration("--timeout")?.unwrap_or(DEFAULT_TIMEOUT),
            json: self.arguments.contains("--json"),
        })
    }

    fn duration(&mut self, name: &'static str) -> eyre::Result<Option<Duration>> {
        Ok(self.arguments.opt_value_from_fn(name, parse_duration)?)
    }

    fn free_path(&mut self) -> eyre::Result<PathBuf> {
        let text: Option<String> = self.arguments.opt_free_from_str()?;
        let text = text.ok_or_else(|| eyre!("a rule file is needed; see anvilctl apply --help"))?;
        if text.starts_with('-') {
            bail!("unknown option {text}");
        }
        Ok(PathBuf::from(text))
    }

    fn finish(self, command: CtlCommand) -> eyre::Result<CtlCommand> {
        let rest = self.arguments.finish();
        match rest.first() {
            None => Ok(command),
            Some(first) => bail!("unexpected argument {first:?}"),
        }
    }
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let duration = duration::parse(text).filter(|duration| !duration.is_zero());
    duration.ok_or_else(|| "a duration such as 500ms or 30s is expected".to_owned())
}

fn parse_change(text: &str) -> Result<u128, String> {
    u128::from_str_radix(text, 16).map_err(|_| "up to 32 hex digits are expected".to_owned())
}

fn parse_header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text
        .split_once(':')
        .ok_or_else(|| "a header such as 'x-kind: claim' is expected".to_owned())?;
    let name = name.trim().to_ascii_lowercase();
    Ok((name, value.trim().to_owned()))
}
