//! The node's own queue and budget in front of the store: what they keep from it, and whose requests.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use anvil_core::event;
use anvil_node::{clock, counters, engine, store as edge};
use anvil_store::platform;
use anvil_testkit::test_cases;
use anvil_types::store;

/// Time after which an answer counts as missing.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// Requests of other parts that are sent first, more than there are threads for them.
const OTHER_REQUESTS: u64 = 24;

/// Which requests a store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreBehaviour {
    /// It answers each one at once.
    AnswersAll,
    /// It answers those about the rules, and none of the others until the test ends.
    AnswersRulesOnly,
}

#[derive(Debug)]
struct ScriptedStore {
    behaviour: StoreBehaviour,
    /// Disconnected when the test ends.
    ended: flume::Receiver<()>,
}

impl platform::PlatformStore for ScriptedStore {
    fn carry_out(&self, request: &store::StoreRequest) -> store::StoreOutcome {
        let is_about_rules = match request {
            store::StoreRequest::List { prefix, .. }
            | store::StoreRequest::Watch { prefix, .. } => *prefix == rules_key(),
            _ => false,
        };
        if self.behaviour == StoreBehaviour::AnswersRulesOnly && !is_about_rules {
            let _ = self.ended.recv();
            return store::StoreOutcome::Unknown;
        }
        store::StoreOutcome::Done(store::StoreReply::Listed {
            entries: Vec::new(),
            seen: store::StoreVersion(1),
            more: false,
        })
    }
}

struct QueueUnderTest {
    queue: edge::StoreQueue,
    answers: flume::Receiver<engine::EngineInput>,
    counters: counters::EdgeCounters,
    _ended: flume::Sender<()>,
}

fn rules_key() -> store::StoreKey {
    store::StoreKey::new("rules-of-the-operator")
}

impl QueueUnderTest {
    fn start(behaviour: StoreBehaviour) -> Self {
        let (end, ended) = flume::bounded(0);
        let (sender, answers) = flume::unbounded();
        let client = ScriptedStore { behaviour, ended };
        let counters = counters::EdgeCounters::new().unwrap();
        let clock = clock::NodeClock::start();
        let queue = edge::StoreQueue::start(Some(Arc::new(client)), clock, &sender, &counters);
        Self {
            queue: queue.unwrap(),
            answers,
            counters,
            _ended: end,
        }
    }

    fn submit_others(&self, requester: store::StoreRequester) {
        for sequence in 1..=OTHER_REQUESTS {
            let id = store::StoreId {
                requester,
                sequence,
            };
            let key = store::StoreKey::new("another-key");
            // Whether these are refused does not matter here.
            let _ = self.queue.submit(id, store::StoreRequest::Get { key });
        }
    }

    /// Submits a request and waits for its outcome; none if it does not come in time.
    fn outcome_of(
        &self,
        id: store::StoreId,
        request: store::StoreRequest,
    ) -> Option<store::StoreOutcome> {
        let refused = self.queue.submit(id, request);
        if let Some(event::NodeEvent::StoreAnswered { outcome, .. }) = refused {
            return Some(outcome);
        }
        while let Ok(input) = self.answers.recv_timeout(ANSWER_LIMIT) {
            if let engine::EngineInput::Event(event::NodeEvent::StoreAnswered {
                id: answered,
                outcome,
            }) = input
                && answered == id
            {
                return Some(outcome);
            }
        }
        None
    }
}

fn read() -> store::StoreRequest {
    store::StoreRequest::List {
        prefix: rules_key(),
        after: None,
        limit: 1,
    }
}

fn watch() -> store::StoreRequest {
    store::StoreRequest::Watch {
        prefix: rules_key(),
        seen: store::StoreVersion(1),
        wait: Duration::from_millis(7_500),
    }
}

/// The id of the request of the rules with this number.
fn rules_id(sequence: u64) -> store::StoreId {
    store::StoreId {
        requester: store::StoreRequester::Rules,
        sequence,
    }
}

fn is_done(outcome: Option<&store::StoreOutcome>) -> bool {
    matches!(outcome, Some(store::StoreOutcome::Done(_)))
}

// Guards against rules that are not read because the calls of another part use up the budget.
fn the_rules_are_asked_for_after_many_calls(
    requester: store::StoreRequester,
    request: store::StoreRequest,
) {
    let tested = QueueUnderTest::start(StoreBehaviour::AnswersAll);
    tested.submit_others(requester);
    let outcome = tested.outcome_of(rules_id(1), request);
    assert!(is_done(outcome.as_ref()), "{outcome:?}");
}

// Guards against rules that are not read because the calls of another part wait for their answers.
fn the_rules_are_asked_for_beside_calls_without_answers(
    requester: store::StoreRequester,
    request: store::StoreRequest,
) {
    let tested = QueueUnderTest::start(StoreBehaviour::AnswersRulesOnly);
    tested.submit_others(requester);
    let outcome = tested.outcome_of(rules_id(1), request);
    assert!(is_done(outcome.as_ref()), "{outcome:?}");
}

// Guards against watches and reads that the node refuses itself after a series of quick changes.
fn no_request_of_a_series_is_refused(request: &store::StoreRequest) {
    let tested = QueueUnderTest::start(StoreBehaviour::AnswersAll);
    let outcomes = (1..=20).map(|number| tested.outcome_of(rules_id(number), request.clone()));
    let refused = outcomes.filter(|outcome| !is_done(outcome.as_ref()));
    assert_eq!(refused.count(), 0);
}

test_cases! {
    the_rules_are_asked_for_after_many_calls:
    a_read_after_calls_of_the_quarantine => (store::StoreRequester::Quarantine, read()),
    a_watch_after_calls_of_the_quarantine => (store::StoreRequester::Quarantine, watch()),
    a_read_after_calls_of_the_members => (store::StoreRequester::Fleet, read()),
    a_watch_after_calls_of_the_members => (store::StoreRequester::Fleet, watch()),
    a_read_after_calls_of_the_keys => (store::StoreRequester::Keys, read()),
}

test_cases! {
    the_rules_are_asked_for_beside_calls_without_answers:
    a_read_beside_calls_of_the_quarantine => (store::StoreRequester::Quarantine, read()),
    a_read_beside_calls_of_the_members => (store::StoreRequester::Fleet, read()),
    a_read_beside_calls_of_the_keys => (store::StoreRequester::Keys, read()),
    a_watch_beside_calls_of_the_keys => (store::StoreRequester::Keys, watch()),
}

test_cases! {
    no_request_of_a_series_is_refused:
    a_series_of_watches => (&watch()),
    a_series_of_reads => (&read()),
}

// Guards against requests that the node holds back without a sign.
#[test]
fn refused_requests_are_counted() {
    let tested = QueueUnderTest::start(StoreBehaviour::AnswersAll);
    tested.submit_others(store::StoreRequester::Quarantine);
    // The calls have one queue, so the last one is answered after the others.
    let last = store::StoreId {
        requester: store::StoreRequester::Quarantine,
        sequence: OTHER_REQUESTS + 1,
    };
    let key = store::StoreKey::new("another-key");
    let outcome = tested.outcome_of(last, store::StoreRequest::Get { key });
    assert_eq!(outcome, Some(store::StoreOutcome::Unavailable));
    let families = tested.counters.registry().gather();
    let refused = families
        .iter()
        .filter(|family| family.name() == "anvil_store_refused_total");
    let counts = refused.flat_map(|family| family.get_metric());
    let total: f64 = counts.map(|metric| metric.get_counter().get_value()).sum();
    assert!(total >= 1.0, "{total}");
}
