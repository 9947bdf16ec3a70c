//! The latest reports of the other proxies, and the budget for the messages of this one.

use super::message::{HEADER_LEN, MAX_LEN, Message, NAME_LEN, encode};
use crate::endpoints::{EndpointIndex, EndpointTable};
use crate::ids::{Millis, ZoneId};
use crate::settings::Settings;

/// Time after which a report expires.
pub(crate) const REPORT_EXPIRY: Millis = 500.0;
/// Time after which a message is sent even if the byte budget does not cover it.
const MAX_INTERVAL: Millis = REPORT_EXPIRY / 2.0;
/// Messages of the maximum length, counted once per recipient, that the byte budget allows for each request received.
const MESSAGES_PER_REQUEST: f64 = 0.6;
/// Upper bound of the byte budget, in messages of the maximum length.
const MAX_SAVED_MESSAGES: f64 = 2.0;
/// Weight of the latest interval in the moving average of the interval between messages.
const INTERVAL_GAIN: f64 = 0.1;

/// The latest report of another proxy.
pub(crate) struct PeerReport {
    received_at: Millis,
    draining: bool,
    outliers: Vec<EndpointIndex>,
    in_flight: Vec<InFlight>,
}

/// An attempt that another proxy has in flight.
struct InFlight {
    endpoint: EndpointIndex,
    crosses_zones: bool,
}

impl PeerReport {
    pub fn new(now: Millis, message: &Message, endpoints: &EndpointTable) -> Self {
        let in_flight = |&endpoint: &EndpointIndex| {
            let crosses_zones = endpoints[endpoint].crosses_zones_from(message.zone);
            InFlight { endpoint, crosses_zones }
        };
        PeerReport {
            received_at: now,
            draining: message.draining,
            outliers: message.outliers.clone(),
            in_flight: message.in_flight.iter().map(in_flight).collect(),
        }
    }

    /// Endpoints to which the peer has attempts in flight, repeated for each attempt.
    pub fn loaded_endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        self.in_flight.iter().map(|attempt| attempt.endpoint)
    }

    /// Adds the outliers and attempts of the report to the counters of the endpoints.
    pub fn apply(&self, endpoints: &mut EndpointTable) {
        for &endpoint in &self.outliers {
            endpoints[endpoint].outlier_reports += 1;
        }
        for attempt in &self.in_flight {
            *attempt.load_counter(endpoints) += 1;
        }
    }

    /// Removes the outliers and attempts of the report from the counters of the endpoints.
    fn retract(&self, endpoints: &mut EndpointTable) {
        for &endpoint in &self.outliers {
            endpoints[endpoint].outlier_reports -= 1;
        }
        for attempt in &self.in_flight {
            *attempt.load_counter(endpoints) -= 1;
        }
    }
}

impl InFlight {
    /// The counter of its endpoint that the attempt counts in.
    fn load_counter<'a>(&self, endpoints: &'a mut EndpointTable) -> &'a mut u32 {
        let load = &mut endpoints[self.endpoint].load;
        if self.crosses_zones { &mut load.peers_other_zones } else { &mut load.peers_same_zone }
    }
}

/// The reports of all other proxies, and the byte budget for the messages of this one.
pub(crate) struct GossipState {
    /// The current report of each proxy, by index.
    reports: Vec<Option<PeerReport>>,
    /// The zone that each proxy last reported, by index.
    zones: Vec<Option<ZoneId>>,
    /// Number of other proxies whose current report says that they are draining.
    draining_peers: u32,
    /// Bytes that may be sent now; negative after a message that the budget did not cover.
    byte_budget: f64,
    last_sent_at: Millis,
    /// Moving average of the time between this proxy's messages; other proxies are assumed to send about as often.
    mean_interval: Millis,
    /// The endpoint with which the next message starts if it can't report all attempts.
    next_endpoint: EndpointIndex,
}

impl GossipState {
    pub fn new(proxies: u32) -> Self {
        GossipState {
            reports: (0..proxies).map(|_| None).collect(),
            zones: vec![None; proxies as usize],
            draining_peers: 0,
            byte_budget: 0.0,
            last_sent_at: 0.0,
            mean_interval: REPORT_EXPIRY,
            next_endpoint: EndpointIndex::new(0),
        }
    }

    /// Starts the interval between messages at the start of the process.
    pub fn start(&mut self, now: Millis) {
        self.last_sent_at = now;
    }

    /// Whether the index belongs to one of the proxies.
    pub fn is_member(&self, peer: usize) -> bool {
        peer < self.reports.len()
    }

    /// The zone that a proxy last reported.
    pub fn zone_of(&self, proxy: u32) -> Option<ZoneId> {
        self.zones[proxy as usize]
    }

    /// Whether the current report of a proxy says that it is draining.
    pub fn is_draining(&self, proxy: u32) -> bool {
        self.reports[proxy as usize].as_ref().is_some_and(|report| report.draining)
    }

    /// Number of other proxies whose current report says that they are draining.
    pub fn draining_peers(&self) -> u32 {
        self.draining_peers
    }

    /// Mean time between the messages of a proxy, estimated from those of this one.
    pub fn mean_interval(&self) -> Millis {
        self.mean_interval
    }

    /// Stores the report of a peer. The caller has already applied the report and retracted the previous one.
    pub fn store(&mut self, peer: usize, zone: Option<ZoneId>, report: PeerReport) {
        self.zones[peer] = zone;
        self.draining_peers += u32::from(report.draining);
        self.reports[peer] = Some(report);
    }

    /// Removes the report of a peer, if any, and its counts on the endpoints; returns it.
    pub fn retract(&mut self, peer: usize, endpoints: &mut EndpointTable) -> Option<PeerReport> {
        let report = self.reports[peer].take()?;
        self.draining_peers -= u32::from(report.draining);
        report.retract(endpoints);
        Some(report)
    }

    /// Number of other proxies that have a current report.
    pub fn reporting_peers(&self) -> usize {
        self.reports.iter().flatten().count()
    }

    /// The indices of all proxies.
    pub fn peers(&self) -> std::ops::Range<usize> {
        0..self.reports.len()
    }

    /// Whether a peer has a report that has expired.
    pub fn is_expired(&self, peer: usize, now: Millis) -> bool {
        self.reports[peer].as_ref().is_some_and(|report| now - report.received_at > REPORT_EXPIRY)
    }

    /// All endpoints that current reports refer to; endpoints may be repeated.
    pub fn referenced_endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        let reports = self.reports.iter().flatten();
        reports.flat_map(|report| report.loaded_endpoints().chain(report.outliers.iter().copied()))
    }

    /// Refills the byte budget for a request that has arrived.
    pub fn refill_budget(&mut self, settings: &Settings) {
        let bytes = MESSAGES_PER_REQUEST * MAX_LEN as f64 / f64::from(settings.proxies);
        self.byte_budget = (self.byte_budget + bytes).min(MAX_SAVED_MESSAGES * MAX_LEN as f64);
    }

    /// Returns the next message if it is due: the byte budget covers it, or the last message was sent more than
    /// `MAX_INTERVAL` ago.
    pub fn publish(
        &mut self, now: Millis, settings: &Settings, draining: bool, attempts: usize,
        endpoints: &EndpointTable,
    ) -> Option<Vec<u8>> {
        let cost = (HEADER_LEN + NAME_LEN * attempts) as f64;
        let elapsed = now - self.last_sent_at;
        let is_due = self.byte_budget >= cost || elapsed > MAX_INTERVAL;
        if !settings.gossip_enabled || settings.proxies <= 1 || !is_due {
            return None;
        }
        self.mean_interval += INTERVAL_GAIN * (elapsed - self.mean_interval);
        self.byte_budget -= cost;
        self.last_sent_at = now;
        Some(encode(settings.zone, draining, endpoints, &mut self.next_endpoint, now))
    }
}
