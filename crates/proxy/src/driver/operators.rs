//! Operators' commands: drain the proxy, take a backend out of use, put it back.

use leadrelay_core::names::hash_name;
use leadrelay_core::{EndpointId, Event};
use tokio::sync::oneshot;

use super::Driver;
use crate::admin::{Command, Order};

impl Driver {
    /// Carries out what an operator asks for, and answers once it holds.
    pub(super) fn obey(&mut self, Command { order, done }: Command) {
        match order {
            Order::Drain(drain) => {
                self.drain(drain);
                self.hand_on(done, move |shared| shared.drained = drain);
            }
            Order::Maintain(host) => self.maintain(&host, true, done),
            Order::Ready(host) => self.maintain(&host, false, done),
        }
    }

    /// Takes the proxy out of service or puts it back.
    pub(super) fn drain(&mut self, drained: bool) {
        if self.parts.drained.replace(drained) != drained {
            self.handle(Event::Draining(drained));
        }
    }

    /// Takes a backend out of use or puts it back; no if it has never been listed.
    fn maintain(&mut self, host: &str, banned: bool, done: oneshot::Sender<bool>) {
        let id = EndpointId(hash_name(host));
        if !self.backends.was_listed(id) {
            let _ = done.send(false); // a caller that has left needs no answer
            return;
        }
        self.ban(id, banned);
        self.hand_on(done, move |shared| {
            shared.bans.retain(|other| *other != id.0);
            shared.bans.extend(banned.then_some(id.0));
        });
    }

    /// Takes a backend out of use or puts it back, here alone.
    pub(super) fn ban(&mut self, id: EndpointId, banned: bool) {
        if let Some(endpoint) = self.backends.endpoint(id) {
            endpoint.set_in_maintenance(banned);
        }
        self.handle(Event::Maintenance { endpoint: id, enabled: banned });
    }
}
