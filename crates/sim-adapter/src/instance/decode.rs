//! Translation of the simulator's messages to events of the core.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use leadrelay_core::names::{hash_name, intern};
use leadrelay_core::{
    AffinityKey, CellId, ClassId, Endpoint, EndpointId, EndpointState, Event, ListScope, MachineClassId,
    Outcome, RequestId, TenantId, TimeoutAnnouncement, ZoneId,
};

use super::WireNames;
use crate::error::{Error, LineError};
use crate::fields::Fields;
use crate::lines::NumberedLine;
use crate::message::EventMessage;

/// Placeholder in the `msg` field for a gossip message of zero bytes.
const EMPTY_GOSSIP: &str = "-";

impl WireNames {
    /// Translates a message that consists of one line. Returns `None` for a message about a request that has been
    /// removed.
    pub(super) fn decode(
        &mut self, message: EventMessage, fields: &Fields,
    ) -> Result<Option<Event>, LineError> {
        match message {
            EventMessage::EndpointList => Ok(None), // spans several lines; see `decode_endpoint_list`
            EventMessage::Request => self.decode_request(fields).map(Some),
            EventMessage::AttemptStarted => self.decode_attempt_started(fields),
            EventMessage::AttemptEnded => self.decode_attempt_ended(fields),
            EventMessage::ClientClosed => self.decode_client_closed(fields),
            EventMessage::Timer => Ok(Some(Event::Timer(fields.integer("keyBack")?))),
            EventMessage::Gossip => decode_gossip(fields).map(Some),
        }
    }

    /// Translates an endpoint list and its items. Returns `None` if this version does not know the scope of the list.
    pub(super) fn decode_endpoint_list(
        &mut self, fields: &Fields, items: &[NumberedLine], line_number: usize,
    ) -> Result<Option<Event>, Error> {
        let scope = fields.text("scope").map_err(|error| error.at_line(line_number))?;
        let scope = match scope {
            "delta" => ListScope::Delta,
            "full" => ListScope::Full,
            "cached" => ListScope::Cached,
            "failed" => ListScope::Failed,
            _ => return Ok(None),
        };
        let mut entries = Vec::with_capacity(items.len());
        for item in items {
            let endpoint = self.decode_endpoint(&item.text);
            entries.push(endpoint.map_err(|error| error.at_line(item.number))?);
        }
        Ok(Some(Event::List { scope, entries }))
    }

    fn decode_endpoint(&mut self, text: &str) -> Result<Endpoint, LineError> {
        let fields = Fields::parse(text)?;
        let name = fields.text("backend")?;
        let id = hash_name(name);
        self.endpoint_names.entry(id).or_insert_with(|| name.to_owned());
        let zone = fields.optional_text("failureDomain");
        let zone = zone.map(|zone| ZoneId(intern(&mut self.indexed_names.zones, zone) as u32));
        let machine_class = fields.optional_text("shape");
        let machine_class = machine_class
            .map(|class| MachineClassId(intern(&mut self.indexed_names.machine_classes, class) as u32));
        Ok(Endpoint {
            id: EndpointId(id),
            zone,
            machine_class,
            cell: fields.optional_integer("cell")?.map(CellId),
            state: decode_endpoint_state(fields.optional_text("state")),
            weight: fields.optional_number("rating")?.unwrap_or(1.0),
            started_at: fields.optional_number("since")?.filter(|since| *since > 0.0),
        })
    }

    fn decode_request(&mut self, fields: &Fields) -> Result<Event, LineError> {
        let name = fields.text("rid")?;
        let event = Event::Request {
            id: self.requests.next_id(),
            class: self.decode_class(fields.text("tierClass")?)?,
            tenant: fields.optional_text("userGroup").and_then(|tenant| self.tenant_id(tenant)),
            key: fields.optional_integer("nameKey")?.map(AffinityKey),
            timeout: fields.number("timeBudget")?,
            announcement: TimeoutAnnouncement::Individual,
            expected_cost: fields.optional_number("predicted")?,
        };
        self.requests.insert(name);
        Ok(event)
    }

    fn decode_class(&self, name: &str) -> Result<ClassId, LineError> {
        let index = self.indexed_names.classes.iter().position(|class| class == name);
        index.map(ClassId).ok_or_else(|| LineError::UnknownClass(name.to_owned()))
    }

    fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.indexed_names.tenants.iter().position(|tenant| tenant == name).map(TenantId)
    }

    fn request_id(&self, fields: &Fields) -> Result<Option<RequestId>, LineError> {
        Ok(self.requests.id(fields.text("rid")?))
    }

    fn decode_attempt_started(&self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(request) = self.request_id(fields)? else { return Ok(None) };
        let attempt = fields.integer("sendNo")? as u32;
        Ok(Some(Event::Started { request, attempt }))
    }

    fn decode_attempt_ended(&mut self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(request) = self.request_id(fields)? else { return Ok(None) };
        let finished = fields.optional_text("closed").is_some_and(|closed| closed != "0");
        self.requests.record_outcome(request, finished);
        Ok(Some(Event::Ended {
            request,
            attempt: fields.integer("sendNo")? as u32,
            latency: fields.optional_number("latency")?.unwrap_or(0.0),
            outcome: decode_outcome(fields.text("reason")?),
            finished,
        }))
    }

    fn decode_client_closed(&mut self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let Some(request) = self.request_id(fields)? else { return Ok(None) };
        self.requests.record_end(request);
        Ok(Some(Event::ClientClosed(request)))
    }
}

fn decode_gossip(fields: &Fields) -> Result<Event, LineError> {
    let text = fields.text("msg")?;
    let bytes = match text {
        EMPTY_GOSSIP => Vec::new(),
        _ => BASE64.decode(text)?,
    };
    Ok(Event::Gossip { from: fields.integer("who")? as u32, bytes })
}

/// Maps the `state` field to an endpoint state. Unknown states count as draining, so that the endpoint receives no new
/// requests.
fn decode_endpoint_state(state: Option<&str>) -> EndpointState {
    match state {
        Some("up") | None => EndpointState::Up,
        Some("removed") => EndpointState::Removed,
        Some(_) => EndpointState::Draining,
    }
}

/// Maps the `reason` field to an outcome. Unknown reasons count as errors, after which the request may have been
/// executed.
fn decode_outcome(reason: &str) -> Outcome {
    match reason {
        "completed" => Outcome::Served,
        "saturated" => Outcome::Rejected,
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::ConnectFailed,
        "severed" => Outcome::Reset,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::Withdrawn,
        _ => Outcome::Error,
    }
}
