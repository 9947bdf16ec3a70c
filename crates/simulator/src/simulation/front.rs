//! The front: which proxy gets a client's attempt.

use leadrelay_core::Millis;

use super::proxies::Proxy;
use crate::index::{IndexedVec, ProxyIndex, ZoneIndex};

/// Keeps a division defined where the skewed proxies get all traffic.
const MIN_REMAINDER: f64 = 1e-9;

/// Proxies that get more than their part of the traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrafficSkew {
    /// The first of them; the others follow it.
    pub(super) first: ProxyIndex,
    /// How many they are.
    pub(super) count: usize,
    /// Their fraction of all traffic.
    pub(super) fraction: f64,
}

/// The load balancer in front of the proxies. It leaves out those that drain or are known to be down.
pub(super) struct Front {
    /// For this time it still sends to a proxy that has crashed.
    detection: Millis,
    skew: Option<TrafficSkew>,
}

impl Front {
    pub(super) fn new(detection: Millis) -> Self {
        Front { detection, skew: None }
    }

    /// Sets or ends a skew of the traffic.
    pub(super) fn set_skew(&mut self, skew: Option<TrafficSkew>) {
        self.skew = skew;
    }

    /// The proxy at a position, in [0, 1), among those of a zone; of other zones if the zone has none.
    pub(super) fn select(
        &self, proxies: &IndexedVec<ProxyIndex, Proxy>, now: Millis, zone: ZoneIndex, position: f64,
    ) -> Option<ProxyIndex> {
        let mut position = position;
        if let Some(skew) = self.skew {
            if position < skew.fraction {
                let offset = (position / skew.fraction * skew.count as f64) as usize;
                return Some(ProxyIndex((skew.first.0 + offset) % proxies.len()));
            }
            position = (position - skew.fraction) / (1.0 - skew.fraction).max(MIN_REMAINDER);
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

    fn sends_to(&self, proxy: &Proxy, now: Millis) -> bool {
        !proxy.draining && (proxy.up || now - proxy.crashed_at < self.detection)
    }
}
