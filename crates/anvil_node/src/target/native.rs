//! The node's own dialect towards its target: `anvil-` headers.

use std::time::Duration;

use anvil_core::{effect, event};
use anvil_edge::target;
use bytes::Bytes;
use http::response;

use super::parent;
use crate::caller::header;

/// Speaks the node's own dialect towards the target.
#[derive(Clone, Debug)]
pub struct NativeTargets {
    /// Issues the token that the target sends on its own calls.
    pub issuer: parent::TokenIssuer,
}

impl target::TargetDialect for NativeTargets {
    fn build(&self, order: &effect::RunOrder) -> Option<http::Request<Bytes>> {
        let mut built = target::plain_request(order)?;
        let headers = built.headers_mut();
        if !headers.contains_key(http::header::HOST) {
            let host = order.request.service.as_str().parse().ok()?;
            headers.insert(http::header::HOST, host);
        }
        let millis = whole_millis(order.timeout).into();
        headers.insert(header::TIMEOUT, millis);
        let parent = self.issuer.issue(order.run).parse().ok()?;
        headers.insert(header::PARENT, parent);
        if let Some(account) = &order.account {
            let account = account.as_str().parse().ok()?;
            headers.insert(header::ACCOUNT_NAME, account);
        }
        let root = order.root.to_string().parse().ok()?;
        headers.insert(header::REQUEST_ID, root);
        Some(built)
    }

    fn identity(&self, order: &effect::RunOrder, head: &response::Parts) -> event::AnswerIdentity {
        let mut returned = head.headers.get_all(header::PARENT).iter().peekable();
        if returned.peek().is_none() {
            return event::AnswerIdentity::Unnamed;
        }
        let expected = self.issuer.issue(order.run);
        match returned.all(|token| token.as_bytes() == expected.as_bytes()) {
            true => event::AnswerIdentity::Named,
            false => event::AnswerIdentity::Other,
        }
    }

    fn names_answers(&self) -> bool {
        false
    }

    fn classify(
        &self,
        order: &effect::RunOrder,
        head: &response::Parts,
        _: target::ConnectionUse,
    ) -> target::AnswerMeaning {
        if self.identity(order, head) == event::AnswerIdentity::Other {
            return target::AnswerMeaning::Unrelated;
        }
        let marked = head.headers.get(header::NOT_RUN);
        let refused = head.status == http::StatusCode::SERVICE_UNAVAILABLE
            && marked.is_some_and(|value| value == "1");
        match refused {
            true => target::AnswerMeaning::Refused,
            false => target::AnswerMeaning::Answer,
        }
    }

    fn statement(&self, head: &response::Parts) -> event::TargetStatement {
        target::statement_of(
            &head.headers,
            header::TARGET_RATE,
            header::TARGET_LEAVING,
            header::TARGET_LOAD,
        )
    }

    fn close_meaning(&self) -> target::CloseMeaning {
        target::CloseMeaning::Truncated
    }

    fn build_check(&self, _: &effect::CheckOrder) -> Option<http::Request<Bytes>> {
        None
    }

    fn check_outcome(&self, _: &effect::CheckOrder, _: &response::Parts) -> event::CheckOutcome {
        event::CheckOutcome::Unsupported
    }

    fn is_internal_header(&self, name: &str) -> bool {
        header::is_own(name)
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
