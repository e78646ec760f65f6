//! Whether a silent connection to another node is told from a quiet one.

use anvil_node::peer::pulse;
use pulse::PulseLook;

/// What the next `looks` looks call for.
fn looks(pulse: &pulse::LinkPulse, silent: &mut u32, looks: usize) -> Vec<PulseLook> {
    (0..looks).map(|_| pulse.look(silent)).collect()
}

#[test]
fn a_connection_that_lost_its_other_end_is_given_up() {
    // A caller's call is out, the network has dropped the connection, and no reset comes. One look
    // finds nothing new yet, the next probes, two later the connection is given up.
    let (pulse, mut silent) = (pulse::LinkPulse::default(), 0);
    pulse.call_sent();
    let looks = looks(&pulse, &mut silent, 4);
    let expected = [
        PulseLook::Fine,
        PulseLook::Probe,
        PulseLook::Fine,
        PulseLook::Silent,
    ];
    assert_eq!(looks, expected);
}

#[test]
fn a_slow_target_costs_no_connection() {
    // A run takes seconds and nothing else crosses the connection. The other end answers the
    // probes, so the call is left alone.
    let (pulse, mut silent) = (pulse::LinkPulse::default(), 0);
    pulse.call_sent();
    for _ in 0..10 {
        let looks = looks(&pulse, &mut silent, 3);
        assert!(!looks.contains(&PulseLook::Silent));
        pulse.frame_heard(false);
    }
}

#[test]
fn a_paused_process_gives_its_peers_the_time_to_speak() {
    // The process stood still for seconds; answers of that time lie unread in its sockets. Looks
    // are counted, not time, so one look behind the pause condemns nobody.
    let (pulse, mut silent) = (pulse::LinkPulse::default(), 0);
    pulse.call_sent();
    looks(&pulse, &mut silent, 2);
    pulse.frame_heard(true);
    assert_eq!(pulse.look(&mut silent), PulseLook::Fine);
    assert!(!pulse.awaits());
}

#[test]
fn a_connection_on_which_nothing_is_due_is_not_looked_at() {
    let pulse = pulse::LinkPulse::default();
    assert!(!pulse.awaits());
    pulse.call_sent();
    pulse.call_sent();
    pulse.frame_heard(true);
    assert!(pulse.awaits());
    pulse.frame_heard(true);
    // An answer to a call that went out on another connection of the two nodes.
    pulse.frame_heard(true);
    assert!(!pulse.awaits());
}

#[test]
fn an_answer_on_another_connection_is_not_awaited_for_ever() {
    // The answer came on the other connection of the two nodes. The end of this one, minutes later,
    // must not count as the loss of a call.
    let (pulse, mut silent) = (pulse::LinkPulse::default(), 0);
    pulse.call_sent();
    for _ in 0..70 {
        assert_ne!(pulse.look(&mut silent), PulseLook::Silent);
        pulse.frame_heard(false);
    }
    assert!(!pulse.awaits());
}
