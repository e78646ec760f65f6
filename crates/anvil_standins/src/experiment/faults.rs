//! Starts and ends the faults of a scenario.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anvil_types::name;
use eyre::WrapErr;

use crate::{experiment, load, mesh_target, scenario};

/// Pause between two groups of a rolling restart.
const GROUP_PAUSE: Duration = Duration::from_millis(1_500);

impl experiment::RunningMesh {
    pub(super) async fn play_faults(&mut self, start: Instant) -> eyre::Result<()> {
        let scenario = Arc::clone(&self.plan.scenario);
        let times = scenario.times();
        let poison = self.start_poison(start);
        tokio::time::sleep_until((start + times.pressure).into()).await;
        for fault in &scenario.faults {
            self.start_fault(fault).await?;
        }
        tokio::time::sleep_until((start + times.relief).into()).await;
        for fault in &scenario.faults {
            self.end_fault(fault).await?;
        }
        for task in poison {
            task.await
                .wrap_err("the caller of the poisonous request panicked")?;
        }
        Ok(())
    }

    fn start_poison(&self, start: Instant) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        for fault in &self.plan.scenario.faults {
            if let scenario::FaultPlan::Poison { service, rate } = fault {
                let load = self.load_plan();
                let poison = load::run_poison(load, service.to_string(), *rate, start);
                tasks.push(tokio::spawn(poison));
            }
        }
        tasks
    }

    async fn start_fault(&mut self, fault: &scenario::FaultPlan) -> eyre::Result<()> {
        match fault {
            scenario::FaultPlan::Slow { service, factor } => {
                for target in self.targets_of(service) {
                    target.slow_down(*factor);
                }
            }
            scenario::FaultPlan::LoseZone { zone } => {
                for member in self.members.iter_mut().filter(|m| m.zone == *zone) {
                    member.target.crash();
                    member.node.kill();
                }
            }
            scenario::FaultPlan::ColdRestart { service } => {
                let targets = self.targets_of(service);
                for target in targets.iter().take(targets.len() / 2) {
                    target.crash();
                }
                tokio::time::sleep(experiment::RESTART_TIME).await;
                for target in targets.iter().take(targets.len() / 2) {
                    target.restart();
                }
            }
            scenario::FaultPlan::RollingRestart { at_once, restarts } => {
                self.restart_in_turn(*at_once, *restarts).await?;
            }
            scenario::FaultPlan::Poison { .. } => {}
        }
        Ok(())
    }

    /// Stops nodes gracefully, in groups, and replaces them with new ones.
    async fn restart_in_turn(&mut self, at_once: usize, restarts: usize) -> eyre::Result<()> {
        let count = self.members.len();
        let step = at_once.clamp(1, count);
        let mut done = 0;
        while done < restarts {
            // Members are ordered by service. A stride avoids stopping all nodes of one service at
            // once.
            let first = done / step;
            let group = (0..step).map(|turn| (first + turn * (count / step)) % count);
            let group: Vec<usize> = group.collect();
            self.stop_nodes(&group).await?;
            for index in &group {
                self.restart_node(*index).await?;
            }
            done += step;
            // The next group waits until the new nodes are known, as an operator's rollout would.
            tokio::time::sleep(GROUP_PAUSE).await;
        }
        Ok(())
    }

    async fn stop_nodes(&mut self, group: &[usize]) -> eyre::Result<()> {
        let chosen = self.members.iter_mut().enumerate();
        let chosen = chosen.filter(|(index, _)| group.contains(index));
        tokio::task::block_in_place(|| {
            std::thread::scope(|scope| {
                let stopping: Vec<_> = chosen
                    .map(|(_, member)| scope.spawn(|| member.node.stop()))
                    .collect();
                for stopped in stopping {
                    let ended = stopped.join();
                    ended.map_err(|_| eyre::eyre!("a stop panicked"))??;
                }
                Ok(())
            })
        })
    }

    async fn end_fault(&mut self, fault: &scenario::FaultPlan) -> eyre::Result<()> {
        match fault {
            scenario::FaultPlan::Slow { service, .. } => {
                for target in self.targets_of(service) {
                    target.slow_down(1.0);
                }
            }
            scenario::FaultPlan::LoseZone { zone } => {
                for index in 0..self.members.len() {
                    if self.members[index].zone == *zone {
                        self.restart_node(index).await?;
                    }
                }
            }
            scenario::FaultPlan::ColdRestart { .. }
            | scenario::FaultPlan::RollingRestart { .. }
            | scenario::FaultPlan::Poison { .. } => {}
        }
        Ok(())
    }

    /// Starts a new node process at the addresses of one that ended.
    async fn restart_node(&mut self, index: usize) -> eyre::Result<()> {
        let member = &self.members[index];
        let node = self.start_node(&member.name, &member.zone, member.address_index)?;
        let member = &mut self.members[index];
        member.node = node;
        if member.target.is_down() {
            member.target.restart();
        }
        // The next renewal may be half a second away, during which the target would be idle.
        let admin = member.node.addresses().admin;
        experiment::announce(&self.client, admin, &member.target).await
    }

    fn targets_of(&self, service: &name::ServiceName) -> Vec<Arc<mesh_target::MeshTarget>> {
        let members = self.members.iter();
        let found = members.filter(|member| member.target.service() == service);
        found.map(|member| Arc::clone(&member.target)).collect()
    }
}
