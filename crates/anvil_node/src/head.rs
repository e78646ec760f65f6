//! Parsing shared by the heads of requests and of answers, on top of `httparse`.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// The header lines of a parsed head; none if one is malformed.
pub fn header_map(lines: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(line.value).ok()?;
        headers.append(name, value);
    }
    Some(headers)
}

/// Whether the head announces that the connection closes after this message.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get_all(header::CONNECTION).iter().any(|value| {
        let value = value.to_str().unwrap_or_default();
        let mut words = value.split(',');
        words.any(|word| word.trim().eq_ignore_ascii_case("close"))
    })
}

/// The stated length of a body; none if it is not a plain decimal number, which parsers could
/// interpret differently.
pub fn parse_content_length(stated: &HeaderValue) -> Option<usize> {
    let digits = stated.as_bytes().iter().all(u8::is_ascii_digit);
    let text = stated.to_str().ok().filter(|_| digits)?;
    text.parse().ok()
}
