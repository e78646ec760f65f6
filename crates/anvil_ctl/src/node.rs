//! Asking a node.

use std::fs;
use std::path::Path;
use std::time::Duration;

use anvil_types::ident;
use attohttpc::RequestBuilder;
use derive_more::{Display, Error};
use eyre::WrapErr;
use serde_json::Value;

use crate::{arguments, outcome};

/// The header that names a change.
pub const CHANGE: &str = "anvil-change";

/// The header that names the revision a change was made from.
pub const BASE: &str = "anvil-base";

/// The header that names who makes a change.
pub const AUTHOR: &str = "anvil-author";

/// The header that names the revision in force.
pub const REVISION: &str = "anvil-revision";

/// Longest wait for a connection; a node that lives takes one at once.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);

/// A node's admin endpoint.
#[derive(Clone, Debug)]
pub struct NodeClient {
    url: String,
    token: Option<String>,
    timeout: Duration,
}

/// What a node answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAnswer {
    /// HTTP status.
    pub status: u16,
    /// The revision in force, where the node told it.
    pub revision: Option<ident::RuleRevision>,
    /// The body.
    pub text: String,
}

/// Why there is no answer.
#[derive(Debug, Display, Error)]
pub enum AskError {
    /// No connection came about, so the node heard nothing.
    #[display("no connection to {url}: {error}")]
    Unreachable {
        /// The node.
        url: String,
        /// Why.
        #[error(not(source))]
        error: attohttpc::Error,
    },
    /// The connection broke, so the node may have done what was asked.
    #[display("the answer of {url} was lost: {error}")]
    Lost {
        /// The node.
        url: String,
        /// Why.
        #[error(not(source))]
        error: attohttpc::Error,
    },
}

/// A change of the rules to send.
#[derive(Clone, Copy, Debug)]
pub struct ChangeRequest<'a> {
    /// The rules.
    pub text: &'a str,
    /// The change's id.
    pub change: u128,
    /// The revision it was made from.
    pub base: ident::RuleRevision,
    /// Who makes it.
    pub author: &'a str,
}

impl NodeClient {
    /// Reads the token, where there is one; asks nothing yet.
    pub fn new(arguments: &arguments::NodeArguments) -> Result<Self, outcome::CtlFailure> {
        let token = arguments.token_file.as_deref().map(read_token);
        Ok(Self {
            url: arguments.url.clone(),
            token: token.transpose().map_err(outcome::CtlFailure::usage)?,
            timeout: arguments.timeout,
        })
    }

    /// Asks for `path`.
    pub fn get(&self, path: &str) -> Result<NodeAnswer, AskError> {
        let request = attohttpc::get(format!("{}{path}", self.url));
        self.send(request, "")
    }

    /// Sends JSON to `path`.
    pub fn post_json(&self, path: &str, body: &Value) -> Result<NodeAnswer, AskError> {
        let request = attohttpc::post(format!("{}{path}", self.url));
        let request = request.header("content-type", "application/json");
        self.send(request, &body.to_string())
    }

    /// Sends a change of the rules.
    pub fn post_rules(&self, asked: &ChangeRequest<'_>) -> Result<NodeAnswer, AskError> {
        let request = attohttpc::post(format!("{}/rules", self.url))
            .header("content-type", "application/yaml")
            .header(CHANGE, format!("{:032x}", asked.change))
            .header(BASE, asked.base.to_string())
            .header(AUTHOR, printable(asked.author));
        self.send(request, asked.text)
    }

    fn send(&self, request: RequestBuilder, body: &str) -> Result<NodeAnswer, AskError> {
        let request = match &self.token {
            Some(token) => request.bearer_auth(token.as_str()),
            None => request,
        };
        let request = request
            .timeout(self.timeout)
            .connect_timeout(CONNECT_LIMIT.min(self.timeout))
            .follow_redirects(false)
            // A node is reached directly; a proxy of the operator's shell would see the token.
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .text(body);
        let response = request.send().map_err(|error| self.failed(error))?;
        let revision = response.headers().get(REVISION);
        let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
        Ok(NodeAnswer {
            status: response.status().as_u16(),
            revision: revision.map(ident::RuleRevision),
            text: response.text().map_err(|error| self.failed(error))?,
        })
    }

    /// Only a refused connection proves that the node heard nothing; every other fault may have
    /// come after it did.
    fn failed(&self, error: attohttpc::Error) -> AskError {
        let url = self.url.clone();
        let refused = matches!(
            error.kind(),
            attohttpc::ErrorKind::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused
        );
        if refused {
            return AskError::Unreachable { url, error };
        }
        AskError::Lost { url, error }
    }
}

impl NodeAnswer {
    /// The answer where the node did what was asked; else a failure in the node's words.
    pub fn accepted(self) -> Result<Self, outcome::CtlFailure> {
        if (200..300).contains(&self.status) {
            return Ok(self);
        }
        Err(self.refused())
    }

    /// A failure in the node's words.
    pub fn refused(&self) -> outcome::CtlFailure {
        let report = match self.status {
            401 => eyre::eyre!("the node wants a token: name its file with --token-file"),
            status => eyre::eyre!("the node refused with {status}: {}", self.detail()),
        };
        outcome::CtlFailure::new(outcome::ExitStatus::Refused, report)
    }

    /// The body as JSON; null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// What the node said about a refusal.
    pub fn detail(&self) -> String {
        let json = self.json();
        json["detail"].as_str().unwrap_or(&self.text).to_owned()
    }
}

impl From<AskError> for outcome::CtlFailure {
    /// For questions that change nothing: whether the node heard them makes no difference.
    fn from(error: AskError) -> Self {
        let report = eyre::Report::new(error).wrap_err("the node can't be reached");
        Self::new(outcome::ExitStatus::Unreachable, report)
    }
}

fn read_token(path: &Path) -> eyre::Result<String> {
    let text = fs::read_to_string(path);
    let text = text.wrap_err_with(|| format!("the token file {} can't be read", path.display()))?;
    Ok(text.trim().to_owned())
}

/// A header takes visible ASCII only.
fn printable(text: &str) -> String {
    let visible = |c: &char| c.is_ascii_graphic() || *c == ' ';
    text.chars().filter(visible).take(64).collect()
}
