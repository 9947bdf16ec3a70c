//! How fast a server is.
use super::health::HANG;
use crate::interface::*;
use crate::number::average;
use crate::state::Balancer;

pub(crate) const BANDS: usize = 48; // speed bands: servers of like speed tie, and ties are broken at random
pub(crate) const BAND_RATIO: f64 = 1.2; // speeds within this ratio tie: finer differences are noise
const SAMPLES: f64 = 12.0; // answers over which a server's latency is averaged
const OUTLIER: f64 = 2.0; // times its mean to which an answer counts in the mean of a kind
pub(crate) const KIND_WEIGHT: f64 = 6.0; // a server with fewer answers than this is judged mostly by its kind's mean
pub(crate) const CLASS_SAMPLES: f64 = 100.0; // answers over which a class's or a kind's latency is averaged
pub(crate) const SPREAD_SAMPLES: f64 = 1000.0; // answers over which their spread is averaged: tails are rare
const MOST_WAY: f64 = 0.9; // part of a latency that the way across zones may account for
const PULL: f64 = 3.0; // a crossing's price, as a delay, is counted this many times: aims leave slack

impl Balancer {
    /// Judges anew how fast a server is, crossings counted as a delay.
    pub(crate) fn rate(&mut self, k: usize, warmth: f64, now: Millis) {
        let s = &self.servers[k];
        let machine_class = self.kinds[s.machine_class].slow.0;
        let slow = (s.slow.0 * s.slow.1 + machine_class * KIND_WEIGHT) / (s.slow.1 + KIND_WEIGHT);
        let crosses = s.crosses(self.cfg.zone);
        let cross = PULL * self.cfg.prices.cross_zone * self.longest_aim / self.mean;
        let cost = slow / warmth + if crosses { cross } else { 0.0 };
        // How much longer the way to another zone is shows in the least latencies; the rest is the server's.
        let (way, latency) =
            ((self.least[1] - self.least[0]).max(0.0), (slow / warmth * self.mean).max(1e-3));
        let work = latency - if crosses { way.min(MOST_WAY * latency) } else { 0.0 };
        let s = &mut self.servers[k];
        s.present = work / (work + way);
        (s.cost, s.warmth, s.band) = (cost, warmth, self.bands.of(cost));
        self.place(k, now);
    }

    /// Learns from an answer how slow a server is; failures and cold servers prove nothing of their like.
    pub(crate) fn learn(&mut self, k: usize, class: usize, latency: Millis, home: bool, lone: bool) {
        self.learn_gain(k, class, latency, home, CLASS_SAMPLES);
        let least = &mut self.least[usize::from(self.servers[k].crosses(self.cfg.zone))];
        *least = if *least > 0.0 { least.min(latency) } else { latency };
        let s = &mut self.servers[k];
        let warmth = s.warmth;
        let factor = if home { 1.0 / self.gain } else { 1.0 } / warmth;
        let sample = (latency / (self.class_ms[class].0.max(0.01) * factor)).min(20.0);
        let relative = (sample / s.slow.0.max(0.05)).min(HANG); // more counts as silence
        average(&mut self.spread, relative * relative, SPREAD_SAMPLES);
        average(&mut s.slow, sample, SAMPLES);
        if warmth >= 1.0 {
            average(&mut self.class_ms[class], latency / (s.slow.0.max(0.05) * factor), CLASS_SAMPLES);
            let machine_class = &mut self.kinds[s.machine_class];
            // A few slow servers are not the kind, but the first answer is all that is known of it.
            let usual =
                if machine_class.slow.1 > 0.0 { sample.min(OUTLIER * machine_class.slow.0) } else { sample };
            average(&mut machine_class.slow, usual, CLASS_SAMPLES);
            if lone {
                average(&mut machine_class.lone, usual * self.mean, CLASS_SAMPLES);
            }
        }
    }
}
