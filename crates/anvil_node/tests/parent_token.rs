//! Parent tokens: a mint knows its own and no others.

use anvil_core::event;
use anvil_node::target::parent;
use anvil_testkit::test_cases;

const RUN: event::RunId = event::RunId(0x1f);

fn issuer() -> parent::TokenIssuer {
    parent::TokenIssuer::new([7; 32])
}

#[test]
fn a_mint_knows_its_own() {
    for run in [event::RunId(0), RUN, event::RunId(u64::MAX)] {
        let token = issuer().issue(run);
        assert_eq!(issuer().verify(&token), Some(event::ParentToken(run)));
    }
}

// Somebody who saw one token tries others near it, to act in the name of another request.
#[test]
fn no_digit_can_be_changed() {
    let token = issuer().issue(RUN);
    for place in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[place] = if bytes[place] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        assert_eq!(issuer().verify(&changed), None, "digit {place}");
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
    no_hex => (&"x".repeat(48)),
    // 48 bytes, but the digits can't be split between characters.
    no_ascii => (&format!("{}é{}", "0".repeat(15), "0".repeat(31))),
    of_another_process => (&parent::TokenIssuer::new([8; 32]).issue(RUN)),
}
