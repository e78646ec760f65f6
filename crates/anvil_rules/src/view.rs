//! The parts of a request that conditions may read, borrowed.

use anvil_wire::call;

/// A request as the matcher sees it; nothing is copied.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// The service asked for.
    pub service: &'a str,
    /// HTTP method, as sent.
    pub method: &'a str,
    /// Path without its query, which conditions don't see.
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

    /// The host that the caller asked, without its port; none where it named none.
    pub fn host(&self) -> Option<&'a str> {
        let line = self.headers.iter().find(|line| line.name == "host")?;
        let text = std::str::from_utf8(&line.value).ok()?.trim();
        Some(without_port(text))
    }
}

/// The host up to its port; the colons of an address in brackets are no port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The path up to its query.
///
/// It is compared as sent, without decoding: two spellings of one path are two paths to a rule,
/// and the target decides whether they mean the same.
pub fn without_query(path: &str) -> &str {
    let end = path.bytes().position(|byte| byte == b'?' || byte == b'#');
    end.map_or(path, |end| &path[..end])
}
