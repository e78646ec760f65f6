//! Tokens by which a target's outgoing calls identify the run that they belong to.

use anvil_core::event;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Hex digits of the run id in a token.
const RUN_DIGITS: usize = 16;

/// Bytes of the authentication code after the run id; 128 bits can't be guessed.
const CODE_BYTES: usize = 16;

/// Issues parent tokens and verifies them.
///
/// Without the authentication code, a caller that guesses a run id would inherit the class and the
/// retries of another request. The key is drawn at random at each start and never leaves the
/// process, so only a target that received a token can send it.
#[derive(Clone)]
pub struct TokenIssuer {
    keyed: Hmac<Sha256>,
}

impl std::fmt::Debug for TokenIssuer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenIssuer")
    }
}

impl TokenIssuer {
    /// Builds an issuer from a random key.
    pub fn new(key: [u8; 32]) -> Self {
        let mut padded = [0; 64];
        padded[..key.len()].copy_from_slice(&key);
        let keyed = Hmac::new(&padded.into());
        Self { keyed }
    }

    /// The token of `run`, as header text.
    pub fn issue(&self, run: event::RunId) -> String {
        let code = u128::from_be_bytes(self.code(run));
        format!("{:016x}{code:032x}", run.0)
    }

    /// The run that `text` identifies; none unless this issuer issued the token.
    pub fn verify(&self, text: &str) -> Option<event::ParentToken> {
        if !text.is_ascii() || text.len() != RUN_DIGITS + 2 * CODE_BYTES {
            return None;
        }
        let (run, code) = text.split_at(RUN_DIGITS);
        let run = event::RunId(u64::from_str_radix(run, 16).ok()?);
        let code = u128::from_str_radix(code, 16).ok()?.to_be_bytes();
        let mut keyed = self.keyed.clone();
        keyed.update(&run.0.to_be_bytes());
        keyed.verify_truncated_left(&code).ok()?;
        Some(event::ParentToken(run))
    }

    fn code(&self, run: event::RunId) -> [u8; CODE_BYTES] {
        let mut keyed = self.keyed.clone();
        keyed.update(&run.0.to_be_bytes());
        let full_code = keyed.finalize().into_bytes();
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&full_code[..CODE_BYTES]);
        code
    }
}
