//! One proxy of the simulation: its balancer, and the names that its numbers stand for.

mod decode;
mod encode;
mod open_requests;

use leadrelay_core::names::Names;
use leadrelay_core::settings::json;
use leadrelay_core::{Action, Balancer, Event, RequestId};
use rustc_hash::FxHashMap;

use crate::error::{Error, LineError};
use crate::fields::Fields;
use crate::lines::NumberedLine;
use crate::message::InputMessage;
use encode::ReplyWriter;
use open_requests::OpenRequests;

/// A running proxy.
pub struct Instance {
    balancer: Balancer,
    wire_names: WireNames,
    /// An empty buffer between calls, so that its memory is used again.
    actions: Vec<Action>,
}

/// What the wire names by text and the core by number.
struct WireNames {
    /// Classes, tenants, zones and machine classes.
    settings: Names,
    /// Names of endpoints by their ids.
    endpoints: FxHashMap<u64, String>,
    requests: OpenRequests,
}

impl Instance {
    /// Starts a proxy from its `UP` line.
    pub fn start(fields: &Fields) -> Result<Self, LineError> {
        let seed = fields.optional_integer("randomSeed")?.unwrap_or(0);
        let params = serde_json::from_str(fields.text("params")?)?;
        let (settings, names) = json::parse(&params);
        Ok(Instance {
            balancer: Balancer::new(settings, seed),
            wire_names: WireNames {
                settings: names,
                endpoints: FxHashMap::default(),
                requests: OpenRequests::default(),
            },
            actions: Vec::new(),
        })
    }

    /// Translates a message; `None` if it no longer concerns this proxy, as for a request that has ended.
    pub fn decode(
        &mut self, message: InputMessage, fields: &Fields, items: &[NumberedLine], line_number: usize,
    ) -> Result<Option<Event>, Error> {
        match message {
            InputMessage::EndpointList => self.wire_names.decode_endpoint_list(fields, items, line_number),
            _ => self.wire_names.decode(message, fields).map_err(|error| error.at_line(line_number)),
        }
    }

    /// Hands an event to the balancer and writes its actions.
    pub fn handle(&mut self, now: f64, event: Event, number: u64, reply: &mut String) {
        let request = ended_request(&event);
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        let mut writer = ReplyWriter { instance: number, names: &mut self.wire_names, reply };
        for action in actions.drain(..) {
            writer.write(action);
        }
        self.actions = actions;
        if let Some(request) = request {
            self.wire_names.requests.remove_if_complete(request);
        }
    }
}

/// The request of an event that may be the last one of its request.
fn ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::Ended { request, .. } | Event::ClientClosed(request) => Some(*request),
        _ => None,
    }
}
