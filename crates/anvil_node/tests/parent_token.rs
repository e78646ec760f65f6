//! Parent tokens: an issuer accepts its own tokens and no others.

use anvil_core::event;
use anvil_node::target::parent;
use anvil_testkit::test_cases;

const RUN: event::RunId = event::RunId(0x1f);

fn issuer() -> parent::TokenIssuer {
    parent::TokenIssuer::new([7; 32])
}

#[test]
fn issued_tokens_are_verified() {
    for run in [event::RunId(0), RUN, event::RunId(u64::MAX)] {
        let token = issuer().issue(run);
        assert_eq!(issuer().verify(&token), Some(event::ParentToken(run)));
    }
}

// A caller that has seen one token must not be able to derive the token of another run.
#[test]
fn altered_tokens_are_refused() {
    let token = issuer().issue(RUN);
    for index in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[index] = if bytes[index] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        assert_eq!(issuer().verify(&changed), None, "digit {index}");
    }
}

fn refused(text: &str) {
    assert_eq!(issuer().verify(text), None);
}

test_cases! {
    refused:
    empty => (""),
    short => (&issuer().issue(RUN)[..47]),
    long => (&format!("{}0", issuer().issue(RUN))),
    zeros => (&"0".repeat(48)),
    not_hex => (&"x".repeat(48)),
    // 48 bytes, but the position of the split is inside a character.
    not_ascii => (&format!("{}é{}", "0".repeat(15), "0".repeat(31))),
    of_another_process => (&parent::TokenIssuer::new([8; 32]).issue(RUN)),
}
