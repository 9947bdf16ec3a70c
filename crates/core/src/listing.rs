//! The records of the server list. Nothing is decided here.
use crate::interface::*;
use crate::records::{Kind, Server};
use crate::state::Balancer;

impl Balancer {
    /// Places for servers, vacant ones included.
    pub fn endpoint_table_len(&self) -> usize {
        self.servers.len()
    }

    /// Gives a new server a place, one that has become vacant if there is one.
    fn settle_in(&mut self, server: Server) -> usize {
        let id = server.info.id;
        let k = self.vacant.pop().unwrap_or(self.servers.len());
        if k == self.servers.len() {
            self.servers.push(server)
        } else {
            self.servers[k] = server
        }
        self.index.insert(id, k);
        k
    }

    /// Makes the places of servers that have left vacant once no request, slot or peer refers to them:
    /// servers come and go for as long as the process runs.
    pub(crate) fn reclaim(&mut self, now: Millis) {
        let left = |s: &Server| s.info.state == EndpointState::Removed && s.own == 0 && s.wanted == 0;
        let mut free: Vec<bool> = self.servers.iter().map(left).collect();
        self.vacant.iter().for_each(|&k| free[k] = false);
        let requests = self.requests.values();
        let asked = requests.flat_map(|r| r.attempts.iter().map(|a| a.server).chain(r.home));
        let peers = self
            .peers
            .iter()
            .flatten()
            .flat_map(|p| p.holds.iter().map(|h| h.0).chain(p.blames.iter().copied()));
        asked.chain(peers).chain(self.ghosts.iter().map(|g| g.1)).for_each(|k| free[k] = false);
        for k in (0..free.len()).filter(|&k| free[k]) {
            self.place(k, now); // takes it out of its band
            self.index.remove(&self.servers[k].info.id);
            self.names.release(&mut self.servers[k]);
            self.vacant.push(k);
        }
    }

    /// Notes a line of the server list; returns the server.
    fn record(&mut self, now: Millis, mut e: Endpoint) -> usize {
        e.weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
        let known = self.index.get(&e.id).copied();
        let was_listed = known.is_some_and(|k| self.servers[k].info.state != EndpointState::Removed);
        self.names.outdated |= was_listed != (e.state != EndpointState::Removed);
        let k = known.unwrap_or_else(|| self.settle_in(Server::new(e.clone(), self.cfg.classes.len(), now)));
        e.started_at = self.overlay.since(&e);
        let banned = self.overlay.is_banned(e.id);
        let s = &mut self.servers[k];
        s.told = if e.state == EndpointState::Up && !banned { None } else { s.told.or(Some(now)) };
        s.restarted |= s.info.started_at != e.started_at || e.started_at.is_some() && !s.fresh;
        s.machine_class = e.machine_class.map_or(0, |k| k.0 as usize + 1);
        let kinds = self.kinds.len().max(s.machine_class + 1);
        self.kinds.resize_with(kinds, Kind::default);
        s.info = e;
        k
    }

    /// Notes the lines of a list; returns their servers, and with a full list those that have left too.
    pub(crate) fn record_all(&mut self, now: Millis, full: bool, entries: Vec<Endpoint>) -> Vec<usize> {
        let mut listed: Vec<usize> = entries.into_iter().map(|e| self.record(now, e)).collect();
        if full {
            let mut left = vec![true; self.servers.len()];
            listed.iter().for_each(|&k| left[k] = false);
            for k in (0..left.len()).filter(|&k| left[k]) {
                let s = &mut self.servers[k];
                self.names.outdated |= s.info.state != EndpointState::Removed;
                (s.told, s.info.state) = (s.told.or(Some(now)), EndpointState::Removed);
                listed.push(k);
            }
        }
        if self.names.outdated {
            self.names.assign(&self.index, &mut self.servers);
        }
        let ratings = self.servers.iter().filter(|s| s.told.is_none()).map(|s| s.info.weight);
        self.weight = ratings.sum::<f64>().max(1e-6);
        listed
    }
}
