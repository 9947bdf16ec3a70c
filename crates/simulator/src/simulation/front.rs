//! The front-end load balancer, which selects the proxy for each attempt of a client.

use leadrelay_core::Millis;

use super::proxies::Proxy;
use crate::index::{IndexedVec, ProxyIndex, ZoneIndex};

/// Lower bound of a divisor, which avoids a division by zero if the skewed proxies get all traffic.
const MIN_DIVISOR: f64 = 1e-9;

/// A group of consecutive proxies that gets a fixed fraction of the traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrafficSkew {
    /// First proxy of the group; the others follow in index order.
    pub(super) first: ProxyIndex,
    /// Number of proxies in the group.
    pub(super) count: usize,
    /// Fraction of the total traffic that the group gets.
    pub(super) fraction: f64,
}

/// The load balancer in front of the proxies. It excludes proxies that are draining or have been detected as down.
pub(super) struct Front {
    /// Time after the crash of a proxy for which the load balancer still sends to it.
    detection_delay: Millis,
    skew: Option<TrafficSkew>,
}

impl Front {
    pub(super) fn new(detection_delay: Millis) -> Self {
        Front { detection_delay, skew: None }
    }

    /// Sets the traffic skew; `None` ends it.
    pub(super) fn set_skew(&mut self, skew: Option<TrafficSkew>) {
        self.skew = skew;
    }

    /// Selects the proxy at a position in [0, 1) among the proxies of a zone, or among all if none there is eligible.
    pub(super) fn select(
        &self, proxies: &IndexedVec<ProxyIndex, Proxy>, now: Millis, zone: ZoneIndex, position: f64,
    ) -> Option<ProxyIndex> {
        let mut position = position;
        if let Some(skew) = self.skew {
            if position < skew.fraction {
                let offset = (position / skew.fraction * skew.count as f64) as usize;
                return Some(ProxyIndex((skew.first.0 + offset) % proxies.len()));
            }
            position = (position - skew.fraction) / (1.0 - skew.fraction).max(MIN_DIVISOR);
        }
        let is_zone_served = proxies.iter().any(|proxy| proxy.zone == zone && self.sends_to(proxy, now));
        let candidates = || {
            let is_candidate =
                |proxy: &Proxy| self.sends_to(proxy, now) && (proxy.zone == zone || !is_zone_served);
            proxies.enumerate().filter(move |(_, proxy)| is_candidate(proxy))
        };
        let total: f64 = candidates().map(|(_, proxy)| proxy.front_weight).sum();
        let mut remaining = position * total;
        let selected = candidates().find(|(_, proxy)| {
            remaining -= proxy.front_weight;
            remaining < 0.0
        });
        selected.map(|(index, _)| index)
    }

    /// Whether a proxy is eligible for traffic.
    fn sends_to(&self, proxy: &Proxy, now: Millis) -> bool {
        !proxy.draining && (proxy.up || now - proxy.crashed_at < self.detection_delay)
    }
}
