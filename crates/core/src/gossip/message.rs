//! The form of the messages between proxies.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | version |
//! | 1 | low byte of the sender's zone, or 255 for none or for one that needs the last byte |
//! | 2 | number of outliers, with the highest bit set if the sender drains |
//! | 3.. | names of outliers, then names of endpoints, once for each attempt in flight; two bytes each |
//! | last | high byte of the zone, if the number of bytes after the head is odd |

use crate::endpoints::{EndpointIndex, EndpointTable};
use crate::ids::{Millis, ZoneId};

const VERSION: u8 = 1;
/// Set in the number of outliers: the sender sends its clients elsewhere.
const DRAINING_FLAG: u8 = 0x80;
/// Bytes of a message before the endpoints' names.
pub(super) const HEADER_LEN: usize = 3;
/// Bytes of a message at most.
pub(super) const MAX_LEN: usize = 256;
/// Bytes of an endpoint's name.
pub(super) const NAME_LEN: usize = 2;
/// Outliers that a message reports at most.
const MAX_OUTLIERS: usize = 30;
/// The zone byte of a sender without a zone, or whose zone needs the last byte too.
const NO_SHORT_ZONE: u8 = u8::MAX;

/// A message of another proxy; endpoints that are unknown here are left out.
pub(crate) struct Message {
    /// The sender's zone.
    pub zone: Option<ZoneId>,
    /// Whether it sends its clients elsewhere.
    pub draining: bool,
    /// Endpoints that it has ejected.
    pub outliers: Vec<EndpointIndex>,
    /// Endpoints to which it has attempts in flight, once for each.
    pub in_flight: Vec<EndpointIndex>,
}

impl Message {
    /// Reads a message; `None` if it has another form.
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

/// An endpoint that a message can name.
struct Named {
    endpoint: EndpointIndex,
    name: [u8; NAME_LEN],
    in_flight: u32,
}

/// Writes a message with this proxy's outliers and attempts in flight; endpoints without a name are left out. Where
/// the attempts don't fit, those from the endpoint `next` on are reported, and the next message starts where this one
/// ends.
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
    let named: Vec<Named> = endpoints
        .iter_indexed()
        .filter(|(_, entry)| entry.load.this_proxy > 0)
        .filter_map(|(endpoint, entry)| {
            let name = entry.gossip_name?.to_le_bytes();
            Some(Named { endpoint, name, in_flight: entry.load.this_proxy })
        })
        .collect();
    let all_fit = named.iter().map(|named| named.in_flight).sum::<u32>() <= names_left(bytes);
    let start = if all_fit { 0 } else { named.partition_point(|named| named.endpoint < *next) };
    for named in named[start..].iter().chain(&named[..start]) {
        let reported = named.in_flight.min(names_left(bytes));
        if reported == 0 {
            *next = named.endpoint;
            break;
        }
        for _ in 0..reported {
            bytes.extend(named.name);
        }
    }
}

/// A zone as the byte of the header and, for one past what that holds, the last byte of the message. Names take two
/// bytes each, so that an odd byte at the end is not part of one, and there is always room for it.
fn encode_zone(zone: Option<ZoneId>) -> (u8, Option<u8>) {
    match zone.map(|zone| zone.0.to_le_bytes()) {
        Some([low, 0, 0, 0]) if low != NO_SHORT_ZONE => (low, None),
        Some([low, high, 0, 0]) => (low, Some(high)),
        _ => (NO_SHORT_ZONE, None),
    }
}

fn decode_zone(bytes: &[u8]) -> Option<ZoneId> {
    let last_byte = bytes[HEADER_LEN..].chunks_exact(NAME_LEN).remainder();
    match (bytes[1], last_byte) {
        (NO_SHORT_ZONE, []) => None,
        (low, []) => Some(ZoneId(u32::from(low))),
        (low, [high, ..]) => Some(ZoneId(u32::from(u16::from_le_bytes([low, *high])))),
    }
}
