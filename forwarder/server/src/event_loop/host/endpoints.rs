//! Changes to targets: the endpoint list of discovery, and the commands of operators.

use std::collections::HashSet;

use plankhill_admin::{AdminCommand, AdminReply, TargetSwitch};
use plankhill_decisions::interface::{EndpointState, TargetId};
use plankhill_decisions::scheduler::Scheduler;
use serde_json::Value;
use slog::{error, info, warn};

use super::SchedulerHost;
use crate::disabled_targets::SwitchOutcome;
use crate::endpoint_page::{self, Endpoint, PageEntry};

impl SchedulerHost {
    /// Applies a page of the endpoint list: a complete list, or the changes since the last page.
    pub(super) fn apply_endpoint_page(&mut self, scheduler: &mut Scheduler, page: &Value) {
        let complete = endpoint_page::is_complete(page);
        let mut listed = HashSet::new();
        let mut removed = Vec::new();
        if complete {
            scheduler.on_endpoint_list_replaced();
        }
        let config = self.context.config.clone();
        for entry in endpoint_page::entries(page, &config.names) {
            match entry {
                Ok(PageEntry::Removed(target)) => {
                    scheduler.set_endpoint_state(&target, EndpointState::Removed);
                    removed.push(target);
                }
                Ok(PageEntry::Listed(endpoint)) => {
                    listed.insert(endpoint.target.clone());
                    self.apply_listed(scheduler, endpoint);
                }
                Err(error) => {
                    warn!(self.context.log, "endpoint list entry cannot be read"; "error" => %error);
                }
            }
        }
        if complete {
            let targets = self.commands.targets().ids();
            removed.extend(targets.filter(|target| !listed.contains(*target)).cloned());
        }
        for target in removed {
            self.remove_target(&target);
        }
    }

    /// Applies a listed endpoint. The scheduler gets the state in the list, overridden by the
    /// operators' switch of the target.
    fn apply_listed(&mut self, scheduler: &mut Scheduler, endpoint: Endpoint) {
        self.commands
            .targets_mut()
            .upsert(&endpoint.target, endpoint.address, endpoint.zone);
        if let Some(quotas) = &self.context.quotas {
            quotas.upsert_target(&self.context.config, &endpoint);
        }
        let Endpoint {
            target,
            destination,
            kind,
            zone,
            state,
            advertised_rate,
            ..
        } = endpoint;
        let state = self
            .disabled_targets
            .targets_mut()
            .on_listed(&target, state);
        scheduler.on_endpoint_listed(target, destination, kind, zone, state);
        if let Some(rate) = advertised_rate {
            scheduler.set_advertised_rate(destination, rate);
        }
    }

    fn remove_target(&mut self, target: &TargetId) {
        self.commands.targets_mut().remove(target);
        if let Some(fanout) = &self.context.fanout {
            fanout.target_removed(target);
        }
        if let Some(quotas) = &self.context.quotas {
            quotas.remove_target(target);
        }
        self.cancel_at_predecessor(target);
        self.log.remove_target(target);
        self.disabled_targets.targets_mut().on_removed(target);
    }

    /// Executes a command of operators; the reply is [`AdminReply::Done`] only once the command's
    /// effect is on disk.
    pub(super) fn run_admin_command(
        &mut self,
        scheduler: &mut Scheduler,
        command: AdminCommand,
    ) -> AdminReply {
        match command {
            AdminCommand::Drain => {
                self.context.client_gate.set_drained(true);
                info!(self.context.log, "drained of clients by an operator");
                AdminReply::Done
            }
            AdminCommand::Resume => {
                self.context.client_gate.set_drained(false);
                info!(self.context.log, "clients admitted again by an operator");
                AdminReply::Done
            }
            AdminCommand::DisableTarget(id) => {
                self.switch_target(scheduler, &id, TargetSwitch::Disable)
            }
            AdminCommand::EnableTarget(id) => {
                self.switch_target(scheduler, &id, TargetSwitch::Enable)
            }
        }
    }

    fn switch_target(
        &mut self,
        scheduler: &mut Scheduler,
        id: &str,
        switch: TargetSwitch,
    ) -> AdminReply {
        let listed_as = match self.disabled_targets.switch(id, switch) {
            Ok(SwitchOutcome::NeverListed) => return AdminReply::NeverListed,
            Ok(SwitchOutcome::Unchanged) => return AdminReply::Done,
            Ok(SwitchOutcome::Changed(listed_as)) => listed_as,
            Err(error) => {
                error!(self.context.log, "disabled targets cannot be written"; "error" => %error);
                return AdminReply::NotRecorded;
            }
        };
        let target = TargetId(id.into());
        match switch {
            TargetSwitch::Disable => info!(self.context.log, "target disabled"; "target" => id),
            TargetSwitch::Enable => info!(self.context.log, "target enabled"; "target" => id),
        }
        if let Some(state) = listed_as {
            scheduler.set_endpoint_state(&target, state);
        }
        if switch == TargetSwitch::Enable {
            // Operators enable a target again after they have restarted it.
            scheduler.on_target_restarted(&target);
        }
        AdminReply::Done
    }
}
