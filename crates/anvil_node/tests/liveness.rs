//! Whether a silent connection to another node is told from a quiet one.

use anvil_node::peer::liveness;
use liveness::LivenessAction;

/// What the next `checks` checks call for.
fn checks(
    liveness: &liveness::LinkLiveness,
    silent: &mut u32,
    checks: usize,
) -> Vec<LivenessAction> {
    (0..checks).map(|_| liveness.check(silent)).collect()
}

#[test]
fn a_connection_that_lost_its_other_end_is_given_up() {
    // A caller's call is out, the network has dropped the connection, and no reset comes. One look
    // finds nothing new yet, the next probes, two later the connection is given up.
    let (liveness, mut silent) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    let checks = checks(&liveness, &mut silent, 4);
    let expected = [
        LivenessAction::None,
        LivenessAction::Probe,
        LivenessAction::None,
        LivenessAction::Close,
    ];
    assert_eq!(checks, expected);
}

#[test]
fn a_slow_target_costs_no_connection() {
    // A run takes seconds and nothing else crosses the connection. The other end answers the
    // probes, so the call is left alone.
    let (liveness, mut silent) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    for _ in 0..10 {
        let checks = checks(&liveness, &mut silent, 3);
        assert!(!checks.contains(&LivenessAction::Close));
        liveness.frame_received(false);
    }
}

#[test]
fn a_paused_process_gives_its_peers_the_time_to_speak() {
    // The process stood still for seconds; answers of that time lie unread in its sockets. Looks
    // are counted, not time, so one look behind the pause condemns nobody.
    let (liveness, mut silent) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    checks(&liveness, &mut silent, 2);
    liveness.frame_received(true);
    assert_eq!(liveness.check(&mut silent), LivenessAction::None);
    assert!(!liveness.awaits_answers());
}

#[test]
fn a_connection_on_which_nothing_is_due_is_not_looked_at() {
    let liveness = liveness::LinkLiveness::default();
    assert!(!liveness.awaits_answers());
    liveness.call_sent();
    liveness.call_sent();
    liveness.frame_received(true);
    assert!(liveness.awaits_answers());
    liveness.frame_received(true);
    // An answer to a call that went out on another connection of the two nodes.
    liveness.frame_received(true);
    assert!(!liveness.awaits_answers());
}

#[test]
fn an_answer_on_another_connection_is_not_awaited_for_ever() {
    // The answer came on the other connection of the two nodes. The end of this one, minutes later,
    // must not count as the loss of a call.
    let (liveness, mut silent) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    for _ in 0..70 {
        assert_ne!(liveness.check(&mut silent), LivenessAction::Close);
        liveness.frame_received(false);
    }
    assert!(!liveness.awaits_answers());
}
