//! Runs in flight at the local target, and their cancellation.

use std::net::SocketAddr;

use anvil_core::{effect, event};
use anvil_types::sorted;
use tokio::runtime;
use tokio::sync::{oneshot, watch};

use super::exchange;
use crate::engine;

/// Starts runs on the runtime and cancels them; owned by the reducer's task.
#[derive(Debug)]
pub struct RunTable {
    runtime: runtime::Handle,
    exchange: exchange::TargetExchange,
    engine: engine::EngineSender,
    cancels: sorted::SortedTable<event::RunId, oneshot::Sender<()>>,
    /// How often the runs were withdrawn of which no byte was sent.
    withdrawals: watch::Sender<u64>,
}

impl RunTable {
    /// Builds an empty table that reports to `engine`.
    pub fn new(
        runtime: runtime::Handle,
        exchange: exchange::TargetExchange,
        engine: engine::EngineSender,
    ) -> Self {
        let cancels = sorted::SortedTable::default();
        Self {
            runtime,
            exchange,
            engine,
            cancels,
            withdrawals: watch::Sender::new(0),
        }
    }

    /// Starts a run; its outcome is sent to the engine as an event.
    pub fn start(&mut self, run: effect::RunOrder) {
        let id = run.run;
        let (cancel, cancelled) = oneshot::channel();
        self.cancels.insert(id, cancel);
        let withdrawals = self.withdrawals.subscribe();
        let exchange = self.exchange.clone();
        let engine = self.engine.clone();
        self.runtime.spawn(async move {
            let report = tokio::select! {
                report = exchange.run(run, withdrawals) => report,
                _ = cancelled => event::RunOutcome::Cancelled.into(),
            };
            let ended = event::NodeEvent::RunEnded {
                run: id,
                outcome: report.outcome,
                statement: report.statement,
                exchange: report.exchange,
            };
            // Sending fails only if the process is exiting.
            let _ = engine.send_async(engine::EngineInput::Event(ended)).await;
        });
    }

    /// Tries whether the target accepts a connection; the result is sent to the engine as an event.
    pub fn probe(&self, address: SocketAddr) {
        let exchange = self.exchange.clone();
        let engine = self.engine.clone();
        self.runtime.spawn(async move {
            let Some(accepted) = exchange.probe(address).await else {
                return;
            };
            let probed = event::NodeEvent::TargetProbed { address, accepted };
            // Sending fails only if the process is exiting.
            let _ = engine.send_async(engine::EngineInput::Event(probed)).await;
        });
    }

    /// Asks an announced target whether it accepts requests; the answer is sent to the engine as an
    /// event.
    pub fn check(&self, order: effect::CheckOrder) {
        let exchange = self.exchange.clone();
        let engine = self.engine.clone();
        self.runtime.spawn(async move {
            let report = exchange.check(&order).await;
            let checked = event::NodeEvent::TargetChecked {
                digest: order.digest,
                outcome: report.outcome,
                statement: report.statement,
            };
            // Sending fails only if the process is exiting.
            let _ = engine.send_async(engine::EngineInput::Event(checked)).await;
        });
    }

    /// Gives up the runs of which no byte was sent.
    pub fn withdraw_unsent(&self) {
        self.withdrawals.send_modify(|count| *count += 1);
    }

    /// Closes the connection of a run, which lets the target cancel it.
    pub fn cancel(&mut self, run: event::RunId) {
        if let Some(cancel) = self.cancels.remove(run) {
            let _ = cancel.send(());
        }
    }

    /// Removes a run that ended.
    pub fn remove(&mut self, run: event::RunId) {
        self.cancels.remove(run);
    }
}
