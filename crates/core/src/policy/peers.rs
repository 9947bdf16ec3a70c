//! What proxies tell each other, how often, and for how long it counts.
use crate::interface::*;
use crate::message::{HEAD, LEAVING, Peer, pack, unpack};
use crate::state::Balancer;

pub(crate) const TELL_SHARE: f64 = 0.6; // full messages a proxy may spend for each request it gets
pub(crate) const STALE: Millis = 500.0; // what a peer told longer ago no longer counts

impl Balancer {
    pub(crate) fn hear(&mut self, now: Millis, from: usize, bytes: &[u8]) {
        let Some((zone, blames, holds)) = unpack(bytes, &self.names).filter(|_| from < self.peers.len())
        else {
            return;
        };
        let before = self.unhear(from);
        blames.iter().for_each(|&k| self.servers[k].blame += 1);
        let holds: Vec<_> = holds.iter().map(|&k| (k, usize::from(self.servers[k].crosses(zone)))).collect();
        holds.iter().for_each(|&(k, way)| self.servers[k].peers[way] += 1);
        for &(k, _) in before.iter().chain(&holds) {
            self.place(k, now);
        }
        self.zones[from] = zone;
        let leaving = bytes[2] & LEAVING != 0;
        self.overlay.left += u32::from(leaving);
        self.peers[from] = Some(Peer { heard: now, holds, blames, leaving });
    }

    /// Takes back what a peer told before; returns the servers where it held something.
    pub(crate) fn unhear(&mut self, from: usize) -> Vec<(usize, usize)> {
        let Some(p) = self.peers[from].take() else { return Vec::new() };
        self.overlay.left -= u32::from(p.leaving);
        p.blames.iter().for_each(|&k| self.servers[k].blame -= 1);
        p.holds.iter().for_each(|&(k, way)| self.servers[k].peers[way] -= 1);
        p.holds
    }

    /// Tells the other proxies what this one holds where, as often as its budget of bytes allows.
    pub(crate) fn tell(&mut self, now: Millis, out: &mut Vec<Action>) {
        let cost = (HEAD + 2 * (self.running.len() + self.ghosts.len())) as f64;
        let due = self.credit >= cost || now - self.told_at > STALE / 2.0;
        if self.cfg.gossip_enabled && self.cfg.proxies > 1 && due {
            self.news += 0.1 * (now - self.told_at - self.news); // others tell about as often
            (self.credit, self.told_at) = (self.credit - cost, now);
            let (zone, leaving) = (self.cfg.zone, self.overlay.leaving);
            out.push(Action::Broadcast(pack(zone, leaving, &self.servers, &mut self.tell_from, now)));
        }
    }

    /// Takes back what was told too long ago.
    pub(crate) fn forget_silent(&mut self, now: Millis) {
        for from in 0..self.peers.len() {
            if self.peers[from].as_ref().is_some_and(|p| now - p.heard > STALE) {
                self.unhear(from).into_iter().for_each(|(k, _)| self.place(k, now));
            }
        }
    }
}
