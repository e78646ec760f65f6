//! HTTP client of a node's admin endpoint.

use std::fs;
use std::path::Path;
use std::time::Duration;

use anvil_http::answer;
use anvil_types::ident;
use attohttpc::RequestBuilder;
use derive_more::{Display, Error};
use eyre::WrapErr;
use serde_json::Value;

use crate::{arguments, outcome};

/// The header with the id of a change.
pub const CHANGE_HEADER: &str = "anvil-change";

/// The header with the revision that a change is based on.
pub const BASE_HEADER: &str = "anvil-base";

/// The header with the author of a change.
pub const AUTHOR_HEADER: &str = "anvil-author";

/// The header with the revision in force.
pub const REVISION_HEADER: &str = "anvil-revision";

/// Longest wait for a connection, which a running node accepts at once.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest body of an answer, in bytes; the dump of a node in a large fleet takes some megabytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// A node's admin endpoint.
#[derive(Clone, Debug)]
pub struct NodeClient {
    url: String,
    token: Option<String>,
    timeout: Duration,
}

/// An answer of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAnswer {
    /// HTTP status.
    pub status: u16,
    /// The revision in force, if the answer has one.
    pub revision: Option<ident::RuleRevision>,
    /// The body.
    pub text: String,
}

/// Why a request got no answer.
#[derive(Debug, Display, Error)]
pub enum RequestError {
    /// The connection was refused, so the node did not receive the request.
    #[display("no connection to {url}: {error}")]
    Unreachable {
        /// URL of the node.
        url: String,
        /// The cause.
        #[error(not(source))]
        error: attohttpc::Error,
    },
    /// The connection failed later, so the node may have carried out the request.
    #[display("the answer of {url} was lost: {error}")]
    Lost {
        /// URL of the node.
        url: String,
        /// The cause.
        #[error(not(source))]
        error: answer::AnswerError,
    },
}

/// A change of the rules.
#[derive(Clone, Copy, Debug)]
pub struct ChangeRequest<'a> {
    /// The rules as YAML.
    pub text: &'a str,
    /// The change's id.
    pub change: u128,
    /// The revision it is based on.
    pub base: ident::RuleRevision,
    /// Its author.
    pub author: &'a str,
}

impl NodeClient {
    /// Creates a client and reads the token file, if there is one; sends no request.
    pub fn new(arguments: &arguments::NodeArguments) -> Result<Self, outcome::CtlFailure> {
        let token = arguments.token_file.as_deref().map(read_token);
        Ok(Self {
            url: arguments.url.clone(),
            token: token.transpose().map_err(outcome::CtlFailure::usage)?,
            timeout: arguments.timeout,
        })
    }

    /// Gets `path`.
    pub fn get(&self, path: &str) -> Result<NodeAnswer, RequestError> {
        let request = attohttpc::get(format!("{}{path}", self.url));
        self.send(request, "")
    }

    /// Sends JSON to `path`.
    pub fn post_json(&self, path: &str, body: &Value) -> Result<NodeAnswer, RequestError> {
        let request = attohttpc::post(format!("{}{path}", self.url));
        let request = request.header("content-type", "application/json");
        self.send(request, &body.to_string())
    }

    /// Sends a change of the rules.
    pub fn post_rules(&self, change: &ChangeRequest<'_>) -> Result<NodeAnswer, RequestError> {
        let request = attohttpc::post(format!("{}/rules", self.url))
            .header("content-type", "application/yaml")
            .header(CHANGE_HEADER, format!("{:032x}", change.change))
            .header(BASE_HEADER, change.base.to_string())
            .header(AUTHOR_HEADER, printable(change.author));
        self.send(request, change.text)
    }

    fn send(&self, request: RequestBuilder, body: &str) -> Result<NodeAnswer, RequestError> {
        let request = match &self.token {
            Some(token) => request.bearer_auth(token.as_str()),
            None => request,
        };
        let request = request
            .timeout(self.timeout)
            .connect_timeout(CONNECT_TIMEOUT.min(self.timeout))
            .follow_redirects(false)
            // A proxy that is set in the operator's shell would see the token.
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .text(body);
        let response = request.send().map_err(|error| self.classify(error))?;
        let answer =
            answer::read_whole(response, MAX_BODY_BYTES).map_err(|error| self.lost(error))?;
        let revision = answer.headers.get(REVISION_HEADER);
        let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
        let text = String::from_utf8(answer.body).map_err(answer::AnswerError::from);
        Ok(NodeAnswer {
            status: answer.status.as_u16(),
            revision: revision.map(ident::RuleRevision),
            text: text.map_err(|error| self.lost(error))?,
        })
    }

    /// Only a refused connection proves that the node did not receive the request; any other error
    /// may have occurred after it did.
    fn classify(&self, error: attohttpc::Error) -> RequestError {
        let refused = matches!(
            error.kind(),
            attohttpc::ErrorKind::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused
        );
        if refused {
            let url = self.url.clone();
            return RequestError::Unreachable { url, error };
        }
        self.lost(error.into())
    }

    fn lost(&self, error: answer::AnswerError) -> RequestError {
        let url = self.url.clone();
        RequestError::Lost { url, error }
    }
}

impl NodeAnswer {
    /// Returns the answer if its status is 2xx, else a failure with the node's message.
    pub fn accepted(self) -> Result<Self, outcome::CtlFailure> {
        if (200..300).contains(&self.status) {
            return Ok(self);
        }
        Err(self.refused())
    }

    /// A failure with the node's message.
    pub fn refused(&self) -> outcome::CtlFailure {
        let report = match self.status {
            401 => eyre::eyre!("the node requires a token: give its file with --token-file"),
            status => eyre::eyre!("the node refused with {status}: {}", self.detail()),
        };
        outcome::CtlFailure::new(outcome::ExitStatus::Refused, report)
    }

    /// The body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// The node's message about a refusal.
    pub fn detail(&self) -> String {
        let json = self.json();
        json["detail"].as_str().unwrap_or(&self.text).to_owned()
    }
}

impl From<RequestError> for outcome::CtlFailure {
    /// For requests that change nothing, so that it does not matter whether the node received them.
    fn from(error: RequestError) -> Self {
        let report = eyre::Report::new(error).wrap_err("the node can't be reached");
        Self::new(outcome::ExitStatus::Unreachable, report)
    }
}

fn read_token(path: &Path) -> eyre::Result<String> {
    let text = fs::read_to_string(path);
    let text = text.wrap_err_with(|| format!("the token file {} can't be read", path.display()))?;
    Ok(text.trim().to_owned())
}

/// Removes what a header value can't contain; only visible ASCII and spaces remain.
fn printable(text: &str) -> String {
    let visible = |c: &char| c.is_ascii_graphic() || *c == ' ';
    text.chars().filter(visible).take(64).collect()
}
