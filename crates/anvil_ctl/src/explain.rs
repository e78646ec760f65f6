//! `anvilctl explain`.

use anvil_rules::{explain, matcher, view};
use anvil_types::name;
use anvil_wire::call;
use eyre::{WrapErr, eyre};
use http::Uri;
use serde_json::{Value, json};

use crate::{arguments, node, outcome, render, rule_file};

/// The header that rules with a host match.
const HOST_HEADER: &str = "host";

/// The header in which a caller names the service.
const SERVICE_HEADER: &str = "anvil-service";

/// Explains which rule decides a request, by a rule file or by a node's rules.
pub fn explain(
    arguments: &arguments::ExplainArguments,
) -> Result<outcome::CtlReport, outcome::CtlFailure> {
    let request = build_request(arguments).map_err(outcome::CtlFailure::usage)?;
    let json = match &arguments.by {
        arguments::ExplainSource::File(path) => {
            let file = rule_file::RuleFile::read(path)?;
            let matcher = matcher::RuleMatcher::compile(&file.rules.document);
            let explanation = explain::explain(&matcher, &view::RequestView::of(&request));
            json!({ "service": request.service, "rule": explanation })
        }
        arguments::ExplainSource::Node(node) => explain_at_node(node, &request)?,
    };
    if arguments.json {
        return Ok(outcome::CtlReport::done(format!("{json}\n")));
    }
    Ok(outcome::CtlReport::done(render::tree(&json)))
}

fn explain_at_node(
    arguments: &arguments::NodeArguments,
    request: &call::CallRequest,
) -> Result<Value, outcome::CtlFailure> {
    let client = node::NodeClient::new(arguments)?;
    let headers: Vec<_> = request
        .headers
        .iter()
        .map(|line| (&line.name, String::from_utf8_lossy(&line.value)))
        .collect();
    let body = json!({
        "method": request.method,
        "service": request.service,
        "path": request.path,
        "headers": headers,
    });
    Ok(client.post_json("/explain", &body)?.accepted()?.json())
}

fn build_request(arguments: &arguments::ExplainArguments) -> eyre::Result<call::CallRequest> {
    let url: Uri = arguments
        .url
        .parse()
        .wrap_err_with(|| format!("{:?} is not a URL", arguments.url))?;
    let path = url.path_and_query().map_or("/", |path| path.as_str());
    let headers = arguments
        .headers
        .iter()
        .map(|(name, value)| call::HeaderLine {
            name: name.clone(),
            value: value.clone().into(),
        });
    let mut lines: Vec<_> = headers.filter(|line| line.name != SERVICE_HEADER).collect();
    if !lines.iter().any(|line| line.name == HOST_HEADER) {
        // HTTP clients set this header from the URL, and rules may match it.
        let host = url.authority().map(|authority| call::HeaderLine {
            name: HOST_HEADER.to_owned(),
            value: authority.as_str().to_owned().into(),
        });
        lines.extend(host);
    }
    Ok(call::CallRequest {
        service: service_of(&url, &arguments.headers)?,
        method: arguments.method.clone(),
        path: path.to_owned(),
        headers: lines,
        body: bytes::Bytes::new(),
    })
}

fn service_of(url: &Uri, headers: &[(String, String)]) -> eyre::Result<name::ServiceName> {
    let named = headers.iter().find(|(name, _)| name == SERVICE_HEADER);
    let label = url.host().and_then(|host| host.split('.').next());
    let text = named.map(|(_, value)| value.as_str()).or(label);
    let text = text.ok_or_else(|| {
        eyre!("name the service by the URL's host, such as http://mesa-entradas/claims")
    })?;
    name::ServiceName::new(text).wrap_err_with(|| format!("{text:?} is not a service name"))
}
