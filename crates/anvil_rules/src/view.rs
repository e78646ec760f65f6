//! The parts of a request that conditions can match.

use anvil_wire::call;

/// The parts of a request that conditions can match, borrowed without copying.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// The requested service.
    pub service: &'a str,
    /// HTTP method, as sent.
    pub method: &'a str,
    /// Path without its query, which conditions ignore.
    pub path: &'a str,
    /// Header lines in order, names in lower case.
    pub headers: &'a [call::HeaderLine],
}

impl<'a> RequestView<'a> {
    /// Borrows the parts of `request`.
    pub fn of(request: &'a call::CallRequest) -> Self {
        Self {
            service: request.service.as_str(),
            method: &request.method,
            path: without_query(&request.path),
            headers: &request.headers,
        }
    }

    /// The host that the caller requested, without its port, if it sent one.
    pub fn host(&self) -> Option<&'a str> {
        let line = self.headers.iter().find(|line| line.name == "host")?;
        let text = std::str::from_utf8(&line.value).ok()?.trim();
        Some(without_port(text))
    }
}

/// Removes the port from a host, but not a part of an IPv6 address in brackets.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Removes the query from a path.
///
/// Paths are compared as sent, without percent-decoding: two encodings of a path are two different
/// paths to a rule, and the target decides whether they are equivalent.
pub fn without_query(path: &str) -> &str {
    let end = path.bytes().position(|byte| byte == b'?' || byte == b'#');
    end.map_or(path, |end| &path[..end])
}
