//! The context that a call passes down its chain: created at the root and restricted at each hop.

use anvil_overload::{dependency, kind};
use anvil_rules::view;
use anvil_types::{context, ident, treatment};
use anvil_wire::call;
use xxhash_rust::xxh3;

use crate::{accounts, entry, event, reducer};

/// A request after the rules have selected its service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoutedRequest<'a> {
    /// The request, with the selected service.
    pub(crate) request: &'a call::CallRequest,
    /// Its fingerprint as the caller sent it.
    pub(crate) fingerprint: ident::RequestFingerprint,
}

impl reducer::NodeReducer {
    pub(crate) fn root_context(
        &mut self,
        routed: &RoutedRequest<'_>,
        treatment: &treatment::RuleTreatment,
        by_rule: Option<context::PriorityClass>,
        hints: &event::CallerHints,
        identity: &accounts::CallerIdentity,
    ) -> context::CallContext {
        let random_id = u128::from(self.random()) << 64 | u128::from(self.random());
        let id = hints.request.unwrap_or(ident::RequestId(random_id));
        let lane = self.root_lane(id, identity);
        let lane = by_rule.map_or(lane, |class| lane.with_class_band(class));
        let wait = hints.timeout.unwrap_or(treatment.deadline);
        context::CallContext {
            request: id,
            class: treatment.class,
            rule_class: by_rule,
            lane,
            remaining_micros: entry::micros(wait.min(treatment.deadline)),
            retries_left: treatment.chain_retries,
            depth: 0,
            idempotent: treatment.idempotent,
            repeat: false,
            key: key_of(routed.request, hints),
            fingerprint: routed.fingerprint,
        }
    }

    /// The context of a call that the local target makes on behalf of `run`; none if that run has
    /// ended.
    pub(crate) fn child_context(
        &mut self,
        run: event::RunId,
        sequence: u64,
        routed: &RoutedRequest<'_>,
        treatment: &treatment::RuleTreatment,
        hints: &event::CallerHints,
    ) -> Option<context::CallContext> {
        let now = self.now;
        let parent = self.runs.get_mut(run)?;
        // The retries are taken out of the parent's allowance until the child's answer returns the
        // unspent ones, so parallel children can't spend the same retry twice.
        let overlap = self.overload.call_overlap(parent.kind);
        let max = treatment.chain_retries;
        let granted = match overlap {
            Some(overlap) => {
                let sharers = overlap.saturating_sub(parent.waits.open());
                parent.allowance.lend_share(sequence, sharers, max)
            }
            None => parent.allowance.lend_child(sequence, max),
        };
        let needed = dependency::NeededCall {
            service: routed.request.service.clone(),
            kind: kind::CallKind::of(routed.request),
        };
        parent.waits.begin(now, needed);
        let remaining = parent.deadline.since(now);
        let wait = hints.timeout.unwrap_or(treatment.deadline);
        let wait = wait.min(treatment.deadline).min(remaining);
        Some(context::CallContext {
            request: parent.context.request,
            class: parent.context.class,
            rule_class: parent.context.rule_class,
            lane: parent.context.lane,
            remaining_micros: entry::micros(wait),
            retries_left: granted,
            depth: parent.context.depth.saturating_add(1),
            idempotent: treatment.idempotent,
            repeat: parent.context.repeat,
            key: key_of(routed.request, hints),
            fingerprint: routed.fingerprint,
        })
    }
}

fn key_of(request: &call::CallRequest, hints: &event::CallerHints) -> Option<ident::RequestKey> {
    let key = hints.key.as_ref()?;
    Some(ident::RequestKey::of(request.service.as_str(), key))
}

/// The fingerprint of a request as its caller sent it.
///
/// Rules may send the same request to one service now and to another one later. What is known of it
/// holds for both, so the service that a rule selects is no part of the fingerprint; the service and
/// the host that the caller names are.
pub(crate) fn fingerprint_of(request: &call::CallRequest) -> ident::RequestFingerprint {
    let mut hasher = xxh3::Xxh3::new();
    let host = view::RequestView::of(request).host().unwrap_or_default();
    for part in [
        request.service.as_str(),
        host,
        &request.method,
        &request.path,
    ] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&request.body);
    ident::RequestFingerprint(hasher.digest())
}
