//! Detection of unresponsive connections to other nodes.

use anvil_node::peer::liveness;
use liveness::LivenessAction;

/// The actions of the next `count` checks.
fn check_actions(
    liveness: &liveness::LinkLiveness,
    misses: &mut u32,
    count: usize,
) -> Vec<LivenessAction> {
    (0..count).map(|_| liveness.check(misses)).collect()
}

#[test]
fn an_unresponsive_connection_is_closed() {
    // A call was sent, and the network has dropped the connection without a reset. The first check
    // still counts the sent call, the second probes, and the fourth closes the connection.
    let (liveness, mut misses) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    let actions = check_actions(&liveness, &mut misses, 4);
    let expected = [
        LivenessAction::None,
        LivenessAction::Probe,
        LivenessAction::None,
        LivenessAction::Close,
    ];
    assert_eq!(actions, expected);
}

#[test]
fn a_slow_target_does_not_close_the_connection() {
    // A run takes seconds and nothing else is sent on the connection. The other end answers the
    // probes, so the connection stays open.
    let (liveness, mut misses) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    for _ in 0..10 {
        let actions = check_actions(&liveness, &mut misses, 3);
        assert!(!actions.contains(&LivenessAction::Close));
        liveness.frame_received(false);
    }
}

#[test]
fn a_pause_of_the_process_closes_no_connection() {
    // The process was paused for seconds; answers of that time are still unread in its sockets.
    // Checks are counted instead of time, so a single check after the pause closes nothing.
    let (liveness, mut misses) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    check_actions(&liveness, &mut misses, 2);
    liveness.frame_received(true);
    assert_eq!(liveness.check(&mut misses), LivenessAction::None);
    assert!(!liveness.awaits_answers());
}

#[test]
fn a_connection_without_unanswered_calls_is_not_checked() {
    let liveness = liveness::LinkLiveness::default();
    assert!(!liveness.awaits_answers());
    liveness.call_sent();
    liveness.call_sent();
    liveness.frame_received(true);
    assert!(liveness.awaits_answers());
    liveness.frame_received(true);
    // An answer to a call that was sent on another connection of the two nodes.
    liveness.frame_received(true);
    assert!(!liveness.awaits_answers());
}

#[test]
fn unanswered_calls_expire() {
    // The answer arrived on another connection of the two nodes. The end of this one, minutes
    // later, must not count as the loss of a call.
    let (liveness, mut misses) = (liveness::LinkLiveness::default(), 0);
    liveness.call_sent();
    for _ in 0..70 {
        assert_ne!(liveness.check(&mut misses), LivenessAction::Close);
        liveness.frame_received(false);
    }
    assert!(!liveness.awaits_answers());
}
