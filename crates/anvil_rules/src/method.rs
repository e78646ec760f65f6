//! HTTP methods and tokens as defined by RFC 9110.

/// Whether RFC 9110, section 9.2.2, defines `method` as idempotent.
///
/// Methods are case-sensitive, and a method that the RFC doesn't define counts as not idempotent.
/// If that is wrong, a retry is lost, but no request runs twice.
pub fn is_idempotent(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
    )
}

/// Whether `text` is a token of RFC 9110, section 5.6.2, as method and field names must be.
pub fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(is_token_byte)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
