//! Operators' requests to one node: dump, status, counters, rules, explanation.

use anvil_overload::kind;
use anvil_wire::call;
use serde_json::json;

use crate::{answer, applying, calls, contexts, effect, event, reducer, runs};

impl reducer::NodeReducer {
    pub(crate) fn operator_request_arrived(
        &mut self,
        handle: event::OperatorHandle,
        request: event::OperatorRequest,
    ) {
        let json = match request {
            event::OperatorRequest::Dump => self.dump(),
            event::OperatorRequest::Status => {
                let status = self.status();
                self.count_rollout();
                status
            }
            event::OperatorRequest::Counters => self.all_counters(),
            event::OperatorRequest::Explain(request) => self.explain(&request),
            event::OperatorRequest::History => self.history(),
            event::OperatorRequest::Rules => {
                let rules = self.book.document().clone();
                return self.answer_operator(handle, Ok(answer::AnswerBody::Rules(rules)));
            }
            event::OperatorRequest::Apply {
                rules,
                change,
                author,
                base,
            } => {
                let requested = applying::RequestedChange {
                    rules,
                    change,
                    author,
                    base,
                };
                return self.apply_requested(handle, &requested);
            }
        };
        self.answer_operator(handle, Ok(answer::AnswerBody::Json(json.to_string())));
    }

    /// Sends an answer together with the revision in force.
    pub(crate) fn answer_operator(
        &mut self,
        handle: event::OperatorHandle,
        answer: Result<answer::AnswerBody, answer::OperatorRefusal>,
    ) {
        let revision = self.book.revision();
        let answer = answer.map(|body| answer::OperatorAnswer { body, revision });
        let effect = effect::NodeEffect::AnswerOperator { handle, answer };
        self.effects.push(effect);
    }

    fn dump(&self) -> serde_json::Value {
        let calls: Vec<_> = self
            .calls
            .iter()
            .map(|(id, call)| call_json(*id, call))
            .collect();
        let runs: Vec<_> = self
            .runs
            .iter()
            .map(|(id, run)| run_json(*id, run))
            .collect();
        json!({
            "status": self.status(),
            "counters": self.all_counters(),
            "members": self.fleet_members(),
            "calls": calls,
            "runs": runs,
            "overload": self.overload,
            "appointments": self.overload.appointments.view(),
            "routes": self.directory.routes(),
            "keys": self.key_dump(),
            "accounts": self.accounts_dump(),
            "unreadable": {
                "rules": self.book.unreadable_rules(),
                "accounts": self.book.has_partial_accounts(),
            },
            "notices": self.notices_dump(),
            "unconfirmed_targets": self.unconfirmed_dump(),
        })
    }

    /// The counters of the reducer, of membership, of the key owner and of the quotas.
    fn all_counters(&self) -> serde_json::Value {
        let mut counters = json!(self.counters);
        counters["keys"] = self.key_counters();
        counters["quota"] = json!(self.quota_counters());
        counters["named_rate"] = self.rate_gauges();
        counters["refused_calls"] = self.refused_call_gauges();
        counters["pace"] = self.pace_gauges();
        counters["placement"] = json!(self.directory.routes().placement_counts());
        counters["account"] = self.fair_lane_gauges();
        for (name, value) in self.fleet.counters().pairs() {
            counters[name] = value.into();
        }
        counters
    }

    fn status(&self) -> serde_json::Value {
        let peers: Vec<_> = self
            .directory
            .iter()
            .map(|(node, peer)| {
                json!({
                    "node": node.to_string(),
                    "address": peer.address,
                    "service": peer.service,
                    "leaving": peer.leaving,
                })
            })
            .collect();
        json!({
            "node": self.config.node.to_string(),
            "zone": self.config.zone,
            "region": self.config.region,
            "phase": format!("{:?}", self.phase),
            "rules": self.rules_status(),
            "open_calls": self.calls.len(),
            "running": self.runs.running(),
            "queued": self.runs.queued(),
            "fleet": self.fleet_status(),
            "peers": peers,
        })
    }

    fn explain(&self, request: &call::CallRequest) -> serde_json::Value {
        let fingerprint = contexts::fingerprint_of(request);
        let kind = kind::CallKind::of(request);
        let line = self.directory.line(self.now, &request.service, kind);
        let refusals: Vec<_> = self
            .overload
            .refusals
            .records()
            .iter()
            .filter(|note| note.service == request.service)
            .collect();
        json!({
            "service": request.service,
            "revision": self.book.revision(),
            "rule": self.book.explain(request),
            "cut_line": line,
            "admitted_shares": self.admitted_shares(line.as_ref()),
            "quarantine": self.quarantine_of(fingerprint),
            "recent_refusals": refusals,
        })
    }
}

fn call_json(sequence: u64, call: &calls::OpenCall) -> serde_json::Value {
    json!({
        "sequence": sequence,
        "request": call.context.request.to_string(),
        "service": call.request.service,
        "class": call.context.class,
        "attempts": call.attempts,
        "retries_left": call.allowance.available(),
        "deadline_micros": call.deadline,
        "stage": format!("{:?}", call.stage),
        "rule": call.rule,
    })
}

fn run_json(id: u64, run: &runs::TargetRun) -> serde_json::Value {
    json!({
        "run": id,
        "request": run.context.request.to_string(),
        "from": run.peer.to_string(),
        "class": run.context.class,
        "depth": run.context.depth,
        "deadline_micros": run.deadline,
        "stage": format!("{:?}", run.stage),
    })
}
