//! The binary encoding of gossip messages between proxies.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | version |
//! | 1 | low byte of the sender's zone; 255 without a last byte means that the sender has no zone |
//! | 2 | number of outliers, with the highest bit set if the sender is draining |
//! | 3.. | names of outliers, then the name of the endpoint of each attempt in flight; two bytes each |
//! | last | high byte of the zone, present if the number of bytes after the header is odd |

use crate::endpoints::{EndpointIndex, EndpointTable};
use crate::ids::{Millis, ZoneId};

/// Version of the encoding.
const VERSION: u8 = 1;
/// Flag in the byte with the number of outliers: the sender is draining and directs its clients to other proxies.
const DRAINING_FLAG: u8 = 0x80;
/// Length of the header before the endpoint names, in bytes.
pub(super) const HEADER_LEN: usize = 3;
/// Maximum length of a message, in bytes.
pub(super) const MAX_LEN: usize = 256;
/// Length of an endpoint name, in bytes.
pub(super) const NAME_LEN: usize = 2;
/// Maximum number of outliers that a message reports.
const MAX_OUTLIERS: usize = 30;
/// The zone byte of a sender that has no zone, or one above 65,535. In a message with a last byte, the same value is
/// the low byte of a zone.
const NO_SHORT_ZONE: u8 = u8::MAX;

/// A decoded message of another proxy. Endpoints that this proxy does not know are left out.
pub(crate) struct Message {
    /// The sender's zone.
    pub zone: Option<ZoneId>,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Endpoints that the sender has ejected.
    pub outliers: Vec<EndpointIndex>,
    /// Endpoints to which the sender has attempts in flight, repeated for each attempt.
    pub in_flight: Vec<EndpointIndex>,
}

impl Message {
    /// Decodes a message; `None` if it is too short or has another version.
    pub fn decode(bytes: &[u8], endpoints: &EndpointTable) -> Option<Message> {
        if bytes.len() < HEADER_LEN || bytes[0] != VERSION {
            return None;
        }
        let outlier_count = usize::from(bytes[2] & !DRAINING_FLAG);
        let mut message = Message {
            zone: decode_zone(bytes),
            draining: bytes[2] & DRAINING_FLAG != 0,
            outliers: Vec::new(),
            in_flight: Vec::new(),
        };
        for (position, name) in bytes[HEADER_LEN..].chunks_exact(NAME_LEN).enumerate() {
            let name = u16::from_le_bytes([name[0], name[1]]);
            let Some(endpoint) = endpoints.find_by_gossip_name(name) else { continue };
            if position < outlier_count {
                message.outliers.push(endpoint);
            } else {
                message.in_flight.push(endpoint);
            }
        }
        Some(message)
    }
}

/// An endpoint with a gossip name and its number of attempts in flight.
struct NamedLoad {
    endpoint: EndpointIndex,
    name: [u8; NAME_LEN],
    in_flight: u32,
}

/// Encodes a message with this proxy's outliers and attempts in flight. Endpoints without a gossip name are left out.
/// If the attempts don't all fit, the message starts with those of the endpoint `next`, and `next` is set to the
/// endpoint with which the next message has to start.
pub(super) fn encode(
    zone: Option<ZoneId>, draining: bool, endpoints: &EndpointTable, next: &mut EndpointIndex, now: Millis,
) -> Vec<u8> {
    let (zone_byte, last_byte) = encode_zone(zone);
    let mut bytes = vec![VERSION, zone_byte, 0];
    for name in outlier_names(endpoints, now) {
        bytes.extend(name);
        bytes[2] += 1;
    }
    encode_in_flight(&mut bytes, endpoints, next);
    if draining {
        bytes[2] |= DRAINING_FLAG;
    }
    bytes.extend(last_byte);
    bytes
}

fn outlier_names(endpoints: &EndpointTable, now: Millis) -> impl Iterator<Item = [u8; NAME_LEN]> + use<'_> {
    endpoints
        .iter()
        .filter(move |entry| entry.outlier.is_ejected(now) && entry.is_in_service())
        .filter_map(|entry| Some(entry.gossip_name?.to_le_bytes()))
        .take(MAX_OUTLIERS)
}

fn encode_in_flight(bytes: &mut Vec<u8>, endpoints: &EndpointTable, next: &mut EndpointIndex) {
    let names_left = |bytes: &[u8]| ((MAX_LEN - bytes.len()) / NAME_LEN) as u32;
    let loads: Vec<NamedLoad> = endpoints
        .iter_indexed()
        .filter(|(_, entry)| entry.load.this_proxy > 0)
        .filter_map(|(endpoint, entry)| {
            let name = entry.gossip_name?.to_le_bytes();
            Some(NamedLoad { endpoint, name, in_flight: entry.load.this_proxy })
        })
        .collect();
    let all_fit = loads.iter().map(|load| load.in_flight).sum::<u32>() <= names_left(bytes);
    let start = if all_fit { 0 } else { loads.partition_point(|load| load.endpoint < *next) };
    for load in loads[start..].iter().chain(&loads[..start]) {
        let reported = load.in_flight.min(names_left(bytes));
        if reported == 0 {
            *next = load.endpoint;
            break;
        }
        for _ in 0..reported {
            bytes.extend(load.name);
        }
    }
}

/// Encodes a zone as the zone byte of the header and, for zones that one byte cannot hold, the last byte of the
/// message. Endpoint names take two bytes each, so an odd byte at the end cannot be part of a name, and there is always
/// room for it.
fn encode_zone(zone: Option<ZoneId>) -> (u8, Option<u8>) {
    match zone.map(|zone| zone.0.to_le_bytes()) {
        Some([low, 0, 0, 0]) if low != NO_SHORT_ZONE => (low, None),
        Some([low, high, 0, 0]) => (low, Some(high)),
        _ => (NO_SHORT_ZONE, None),
    }
}

/// Decodes the zone of the sender from the header and the last byte, if there is one.
fn decode_zone(bytes: &[u8]) -> Option<ZoneId> {
    let last_byte = bytes[HEADER_LEN..].chunks_exact(NAME_LEN).remainder();
    match (bytes[1], last_byte) {
        (NO_SHORT_ZONE, []) => None,
        (low, []) => Some(ZoneId(u32::from(low))),
        (low, [high, ..]) => Some(ZoneId(u32::from(u16::from_le_bytes([low, *high])))),
    }
}
