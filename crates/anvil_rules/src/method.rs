//! What RFC 9110 says about methods.

/// Tells whether RFC 9110, section 9.2.2, defines `method` as idempotent.
///
/// Methods are case-sensitive, and one that the RFC doesn't name is taken as not idempotent: a
/// wrong guess then costs a retry, never a second run.
pub fn is_idempotent(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
    )
}

/// Tells whether `text` is a token of RFC 9110, section 5.6.2, as method and field names must be.
pub fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(is_token_byte)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
