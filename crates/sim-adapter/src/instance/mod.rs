//! One simulated proxy: its balancer, and the mapping between names in the protocol and ids in the core.

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
use crate::message::EventMessage;
use encode::ReplyWriter;
use open_requests::OpenRequests;

/// A running simulated proxy.
pub struct Instance {
    balancer: Balancer,
    wire_names: WireNames,
    /// Buffer for actions, empty between calls and kept to reuse its allocation.
    actions: Vec<Action>,
}

/// Maps names in the simulator's protocol to ids in the core, and back.
struct WireNames {
    /// Names of request classes, tenants, zones and machine classes; the id in the core is the index of the name.
    indexed_names: Names,
    /// Names of endpoints by endpoint id.
    endpoint_names: FxHashMap<u64, String>,
    /// Names of requests that messages or actions may still refer to.
    requests: OpenRequests,
}

impl Instance {
    /// Starts a proxy with the seed and settings of an `UP` message.
    pub fn start(fields: &Fields) -> Result<Self, LineError> {
        let seed = fields.optional_integer("randomSeed")?.unwrap_or(0);
        let params = serde_json::from_str(fields.text("params")?)?;
        let (settings, names) = json::parse(&params);
        Ok(Instance {
            balancer: Balancer::new(settings, seed),
            wire_names: WireNames {
                indexed_names: names,
                endpoint_names: FxHashMap::default(),
                requests: OpenRequests::default(),
            },
            actions: Vec::new(),
        })
    }

    /// Translates a message to an event. Returns `None` if the message has no effect: it concerns a request that has
    /// been removed, or it is an endpoint list with an unknown scope.
    pub fn decode(
        &mut self, message: EventMessage, fields: &Fields, items: &[NumberedLine], line_number: usize,
    ) -> Result<Option<Event>, Error> {
        match message {
            EventMessage::EndpointList => self.wire_names.decode_endpoint_list(fields, items, line_number),
            _ => self.wire_names.decode(message, fields).map_err(|error| error.at_line(line_number)),
        }
    }

    /// Lets the balancer handle an event and appends the resulting actions to the replies.
    pub fn handle(&mut self, now: f64, event: Event, instance_number: u64, replies: &mut String) {
        let request = possibly_ended_request(&event);
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        let mut writer = ReplyWriter { instance: instance_number, names: &mut self.wire_names, replies };
        for action in actions.drain(..) {
            writer.write(action);
        }
        self.actions = actions;
        if let Some(request) = request {
            self.wire_names.requests.remove_if_complete(request);
        }
    }
}

/// Returns the request of an event that may be the last event of this request.
fn possibly_ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::Ended { request, .. } | Event::ClientClosed(request) => Some(*request),
        _ => None,
    }
}
