//! Operators' commands: drain the proxy or end its drain, start or end the maintenance of an endpoint.

use leadrelay_core::names::hash_name;
use leadrelay_core::{EndpointId, Event};
use tokio::sync::oneshot;

use super::Driver;
use crate::admin::{Command, CommandRequest};

impl Driver {
    /// Carries out an operator's command, and replies once the command is in effect and recorded for a successor.
    pub(super) fn handle_command(&mut self, CommandRequest { command, reply }: CommandRequest) {
        match command {
            Command::Drain(draining) => {
                self.set_drained(draining);
                self.record_for_successor(reply, move |shared| shared.drained = draining);
            }
            Command::StartMaintenance(name) => self.handle_maintenance_command(&name, true, reply),
            Command::EndMaintenance(name) => self.handle_maintenance_command(&name, false, reply),
        }
    }

    /// Drains the proxy, or ends its drain.
    pub(super) fn set_drained(&mut self, drained: bool) {
        if self.parts.drained.replace(drained) != drained {
            self.handle(Event::Draining(drained));
        }
    }

    /// Handles a command to start or end an endpoint's maintenance. Rejects the command if the endpoint has never been
    /// listed.
    fn handle_maintenance_command(&mut self, name: &str, enabled: bool, reply: oneshot::Sender<bool>) {
        let id = EndpointId(hash_name(name));
        if !self.endpoints.was_listed(id) {
            let _ = reply.send(false); // the caller may have disconnected
            return;
        }
        self.set_maintenance(id, enabled);
        self.record_for_successor(reply, move |shared| {
            shared.in_maintenance.retain(|other_id| *other_id != id.0);
            shared.in_maintenance.extend(enabled.then_some(id.0));
        });
    }

    /// Starts or ends an endpoint's maintenance in this process.
    pub(super) fn set_maintenance(&mut self, id: EndpointId, enabled: bool) {
        if let Some(upstream) = self.endpoints.upstream(id) {
            upstream.set_in_maintenance(enabled);
        }
        self.handle(Event::Maintenance { endpoint: id, enabled });
    }
}
