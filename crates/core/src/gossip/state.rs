//! What other proxies have reported of late, and when this one may send its next message.

use super::message::{HEADER_LEN, MAX_LEN, Message, NAME_LEN, encode};
use crate::endpoints::{EndpointIndex, EndpointTable};
use crate::ids::{Millis, ZoneId};
use crate::settings::Settings;

/// A report counts for so long.
pub(crate) const REPORT_EXPIRY: Millis = 500.0;
/// Longest time between two messages.
const MAX_INTERVAL: Millis = REPORT_EXPIRY / 2.0;
/// Messages of full length that a proxy may send for each request that it gets.
const MESSAGES_PER_REQUEST: f64 = 0.6;
/// Messages of full length that may be saved up.
const MAX_SAVED_MESSAGES: f64 = 2.0;
/// Weight of the last interval in the mean interval.
const INTERVAL_GAIN: f64 = 0.1;

/// What another proxy has reported last.
pub(crate) struct PeerReport {
    received_at: Millis,
    draining: bool,
    outliers: Vec<EndpointIndex>,
    in_flight: Vec<InFlight>,
}

/// An attempt of another proxy.
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

    /// Endpoints to which the peer has attempts in flight, once for each.
    pub fn loaded_endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        self.in_flight.iter().map(|attempt| attempt.endpoint)
    }

    /// Adds the report to the endpoints' counts.
    pub fn apply(&self, endpoints: &mut EndpointTable) {
        for &endpoint in &self.outliers {
            endpoints[endpoint].outlier_reports += 1;
        }
        for attempt in &self.in_flight {
            *attempt.count(endpoints) += 1;
        }
    }

    /// Takes the report off the endpoints' counts.
    fn retract(&self, endpoints: &mut EndpointTable) {
        for &endpoint in &self.outliers {
            endpoints[endpoint].outlier_reports -= 1;
        }
        for attempt in &self.in_flight {
            *attempt.count(endpoints) -= 1;
        }
    }
}

impl InFlight {
    fn count<'a>(&self, endpoints: &'a mut EndpointTable) -> &'a mut u32 {
        let load = &mut endpoints[self.endpoint].load;
        if self.crosses_zones { &mut load.peers_other_zones } else { &mut load.peers_same_zone }
    }
}

/// The reports of all other proxies, and the budget of this one's messages.
pub(crate) struct GossipState {
    reports: Vec<Option<PeerReport>>,
    /// The zones of the proxies, as they reported.
    zones: Vec<Option<ZoneId>>,
    /// Other proxies that have reported that they drain.
    draining_peers: u32,
    /// Bytes that may be sent.
    byte_budget: f64,
    last_sent_at: Millis,
    /// Mean time between this proxy's messages; others send about as often.
    mean_interval: Millis,
    /// The endpoint with which a message starts that can't report all.
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

    /// The process has started.
    pub fn start(&mut self, now: Millis) {
        self.last_sent_at = now;
    }

    /// Whether there is a proxy of that index.
    pub fn is_member(&self, peer: usize) -> bool {
        peer < self.reports.len()
    }

    /// The zone of a proxy, as it reported.
    pub fn zone_of(&self, proxy: u32) -> Option<ZoneId> {
        self.zones[proxy as usize]
    }

    /// Whether a proxy has reported of late that it drains.
    pub fn is_draining(&self, proxy: u32) -> bool {
        self.reports[proxy as usize].as_ref().is_some_and(|report| report.draining)
    }

    /// Other proxies that have reported that they drain.
    pub fn draining_peers(&self) -> u32 {
        self.draining_peers
    }

    /// Mean time between the messages of a proxy.
    pub fn mean_interval(&self) -> Millis {
        self.mean_interval
    }

    /// Keeps the report of a peer, which has been applied and whose former one has been retracted.
    pub fn store(&mut self, peer: usize, zone: Option<ZoneId>, report: PeerReport) {
        self.zones[peer] = zone;
        self.draining_peers += u32::from(report.draining);
        self.reports[peer] = Some(report);
    }

    /// Forgets the last report of a peer; returns it if there was one.
    pub fn retract(&mut self, peer: usize, endpoints: &mut EndpointTable) -> Option<PeerReport> {
        let report = self.reports[peer].take()?;
        self.draining_peers -= u32::from(report.draining);
        report.retract(endpoints);
        Some(report)
    }

    /// Other proxies whose reports count at present.
    pub fn reporting_peers(&self) -> usize {
        self.reports.iter().flatten().count()
    }

    /// All peers.
    pub fn peers(&self) -> std::ops::Range<usize> {
        0..self.reports.len()
    }

    /// Whether a peer's last report no longer counts.
    pub fn is_expired(&self, peer: usize, now: Millis) -> bool {
        self.reports[peer].as_ref().is_some_and(|report| now - report.received_at > REPORT_EXPIRY)
    }

    /// All endpoints that reports refer to.
    pub fn referenced_endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        let reports = self.reports.iter().flatten();
        reports.flat_map(|report| report.loaded_endpoints().chain(report.outliers.iter().copied()))
    }

    /// A request has arrived, which adds to the budget of bytes.
    pub fn refill_budget(&mut self, settings: &Settings) {
        let bytes = MESSAGES_PER_REQUEST * MAX_LEN as f64 / f64::from(settings.proxies);
        self.byte_budget = (self.byte_budget + bytes).min(MAX_SAVED_MESSAGES * MAX_LEN as f64);
    }

    /// The next message, if the budget of bytes covers it or the last one is long ago.
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
