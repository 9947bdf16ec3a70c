//! How many requests a server may hold, which of them are this proxy's, and who may borrow the rest.
use super::review::{REVIEW, TICK};
use super::speeds::{BANDS, KIND_WEIGHT};
use crate::interface::*;
use crate::number::draw;
use crate::records::{Kind, Request};
use crate::state::Balancer;

const MOST_SLOTS: u32 = 1024; // of a server: a bound on work, whatever a list says
const CROWDED: f64 = 1.6; // latency over its calm level at which a kind counts as crowded
const CALM_CREEP: f64 = 1.001; // by which the calm level may rise in a review: a tenth in ten seconds
const CALM_LEAP: f64 = 1.01; // and where the fewest slots bring no calm: it was taken for too low
const CALM_SAMPLES: f64 = 60.0; // answers before a kind's latency is measured: the least of few is too low
const THROTTLE_MIN: f64 = 0.3; // the least part of its slots that a crowded kind keeps
pub(crate) const UNMEASURED: f64 = 0.5; // part of a new kind's slots, lest a jam from the start pass for calm
pub(crate) const LATE: f64 = 0.5; // part of the aim past which an answer says that the pooled servers are crowded
const WINDOW_CUT: f64 = 0.9; // by which such an answer shrinks the in-flight window
pub(crate) const WINDOW_LEAST: f64 = 4.0; // requests that a proxy may always have out
const OWN_LEAST: f64 = 8.0; // own slots under which proxies share all, for answers of exponential spread
pub(crate) const FULLNESS: f64 = 1.1; // requests a core may hold: a little over one keeps it busy between answers
const EPOCH: Millis = REVIEW as f64 * TICK; // for which it is drawn who may use what all see
const CROWD_LEAST: f64 = 0.05; // requests that are taken to wait at each proxy
const CROWD_SPAN: Millis = 500.0; // span over which those that wait are averaged
const BLIND: f64 = 1.5; // requests more that a server may hold where nobody sees whether it is idle
const BORROW: usize = 3; // bands by which another proxy's slot counts slower: both may take it at once

impl Default for Kind {
    fn default() -> Self {
        let calm = f64::INFINITY;
        Kind { slow: (1.0, 0.0), lone: (0.0, 0.0), core: calm, cores: 1.0, calm, throttle: UNMEASURED }
    }
}

impl Balancer {
    /// Judges anew whether a server is open, and to whom.
    pub(crate) fn place(&mut self, k: usize, now: Millis) {
        let (s, ticks) = (&self.servers[k], self.ticks / REVIEW);
        let (band, warmth) = (s.band, s.warmth);
        let usable = self.usable(s, now);
        let cold = s.fresh && warmth < 1.0;
        let allowed = usable && (!s.health.trial || s.own == 0) && (!cold || s.tokens >= 1.0);
        let (held, room) = (s.load(self.cfg.zone), s.room * warmth);
        let own = allowed && f64::from(s.own) < s.mine.max(if self.cfg.key_affinity { 1.0 } else { 0.0 });
        let (free, open) = if !self.cfg.gossip_enabled {
            (own, own.then_some(band)) // no word from others: only what is surely this proxy's
        } else if own && held < room && s.mine > 0.0 {
            (true, Some(band))
        } else {
            // All proxies see the same idle slots of others. Each may borrow at a random part of the servers
            // only, drawn anew every few ticks, so that about one proxy comes for each idle slot.
            let chance = self.chance(k, held);
            let lucky = draw(s.info.id.0 ^ ticks, u64::from(self.cfg.proxy_index)) < chance;
            let free = allowed && held + 0.5 < room;
            (free, (free && lucky).then(|| (band + BORROW).min(BANDS - 1)))
        };
        let slots = if usable { s.mine * warmth } else { 0.0 };
        let part = (self.supply(k, held) / self.demand(k).max(1e-9)).min(1.0);
        let gate = part.powf(self.blindness()); // who sees what is there need not share it out blindly
        (self.servers[k].free, self.servers[k].gate) = (free, gate);
        self.bands.file(&mut self.servers, k, band, slots, open);
    }

    /// Whether this proxy's part of all slots is too small to do without the others': a few servers of one's
    /// own leave long waits, in proportion to (1 + cv²) / slots (Pollaczek and Khinchine).
    pub(crate) fn pools(&self) -> bool {
        let own = self.mean_room * self.servers.len() as f64 / f64::from(self.cfg.proxies);
        !self.cfg.gossip_enabled && self.cfg.proxies > 1 && own < OWN_LEAST * self.spread.0 / 2.0
    }

    /// Requests that this proxy may have out.
    pub(crate) fn most_out(&self) -> usize {
        if self.pools() { self.window as usize } else { usize::MAX }
    }

    /// Answers that eat up their aim narrow that window: against jams, and servers that slow when crowded.
    /// Could harm where a few slow servers alone make the late answers.
    pub(crate) fn fit_window(&mut self, good: bool) {
        let used = self.running.len() as f64 + 2.0 > self.window;
        let window = if good { self.window + if used { 0.5 } else { 0.0 } } else { self.window * WINDOW_CUT };
        self.window = window.clamp(WINDOW_LEAST, self.servers.len().max(4) as f64);
    }

    /// How many slots a server has, and which of them are this proxy's own.
    pub(crate) fn size(&mut self, k: usize) {
        let s = &self.servers[k];
        // A rating is cores times speed; on the slowest kind a core has about the speed of the yardstick.
        let weight = if self.cfg.weight_meaning == WeightMeaning::Capacity { s.info.weight } else { 1.0 };
        let machine_class = &self.kinds[s.machine_class];
        let cores = weight * (machine_class.core / self.slowest).min(1.0);
        let (seen, blind) = ((FULLNESS * machine_class.throttle * cores).max(1.0), self.blindness());
        let mine = if self.pools() {
            1.0 // one slot on every server
        } else {
            // Each slot belongs to one proxy, of the server's zone if there is one: no two see it open.
            f64::from(self.owned(k, (seen + draw(s.info.id.0, 0)).floor() as u32)) * self.part()
        };
        self.kinds[s.machine_class].cores = cores.max(1.0);
        let s = &mut self.servers[k];
        (s.room, s.mine) = (seen + blind * BLIND, mine);
        s.weight = 1.0 / (s.info.weight * s.warmth).max(1e-6);
    }

    /// Which part of what servers hold is not known: others' attempts that began or ended since their word.
    /// Without any word slots are shared out in another way.
    pub(crate) fn blindness(&self) -> f64 {
        let others = 1.0 - 1.0 / f64::from(self.cfg.proxies);
        if self.cfg.gossip_enabled { others * (1.0 - (-self.news / self.mean).exp()) } else { 0.0 }
    }

    /// What a server can take from all proxies in an epoch: what it works off (Little), and what lacks to
    /// its room, made good no faster than it shows. Until its speed is known nothing is held back.
    pub(crate) fn supply(&self, k: usize, held: f64) -> f64 {
        let (s, machine_class) = (&self.servers[k], &self.kinds[self.servers[k].machine_class]);
        if machine_class.slow.1 < KIND_WEIGHT {
            return f64::INFINITY;
        }
        let worked_off =
            held.max(machine_class.cores) * s.warmth / (self.mean * machine_class.slow.0.max(0.2));
        (EPOCH * (worked_off + self.lacks(k, held))).max(0.0)
    }

    /// What lacks to a server's room, by the time in which it shows that it was made good.
    pub(crate) fn lacks(&self, k: usize, held: f64) -> f64 {
        (self.servers[k].room * self.servers[k].warmth - held) / (self.news + self.mean)
    }

    /// What all proxies want of it in an epoch for keys at home there, judged by this one's part. Those
    /// that wait here for it alone are too few to judge by: one of them would pass for one at each proxy.
    pub(crate) fn demand(&self, k: usize) -> f64 {
        let part = self.staying() * self.servers[k].info.weight / self.weight;
        part * (EPOCH * self.rate + self.crowd)
    }

    /// With which chance this proxy may use, for an epoch, what of a server is idle and not its own: if word
    /// is fresh one proxy is to come for each idle slot, else one waiting request for each that it lacks.
    pub(crate) fn chance(&self, k: usize, held: f64) -> f64 {
        let blind = self.blindness();
        let seen = self.servers[k].room * self.servers[k].warmth - held;
        let lacks = EPOCH * self.lacks(k, held) / self.crowd.max(CROWD_LEAST);
        ((1.0 - blind) * seen + blind * lacks) / self.staying()
    }

    /// Whether a request is among those of its epoch that its home has room for: the most valuable part of
    /// those that wait here, a fair sample of all that wait.
    pub(crate) fn admitted(&self, k: usize, id: RequestId, now: Millis) -> bool {
        let (s, r) = (&self.servers[k], &self.requests[&id]);
        let rank = |r: &Request| (self.value(r), self.press(r, now));
        let ahead = |o: &&Request| o.waiting && rank(o) > rank(r);
        // Requests bear the same numbers everywhere, so the proxy's own goes in.
        let own = draw(id.0, u64::from(self.cfg.proxy_index)).to_bits() ^ (self.ticks / REVIEW);
        let place = || self.requests.values().filter(ahead).count() as f64 + draw(own, s.info.id.0);
        s.free && (s.gate >= 1.0 || place() < s.gate * self.waiting as f64)
    }

    /// Follows how many wait here.
    pub(crate) fn follow_crowd(&mut self) {
        self.crowd += TICK / CROWD_SPAN * (self.waiting as f64 - self.crowd);
    }

    /// Notes how many slots a mean server has.
    pub(crate) fn level_rooms(&mut self) {
        let rooms = self.servers.iter().map(|s| s.room).sum::<f64>();
        self.mean_room = rooms / self.servers.len().max(1) as f64;
    }

    /// Gives kinds whose latency has left its calm level fewer slots, until it is back.
    pub(crate) fn calm_down(&mut self) {
        self.least.iter_mut().for_each(|l| *l *= CALM_CREEP);
        for machine_class in self.kinds.iter_mut().filter(|k| k.slow.1 >= CALM_SAMPLES) {
            // Overfilled servers are slow all alike and look as if they had more cores: against that jam
            // a kind whose latency has left its calm level gets fewer slots until it is back.
            let latency = machine_class.slow.0 * self.mean;
            machine_class.throttle =
                if machine_class.calm.is_finite() { machine_class.throttle } else { 1.0 }; // at last measured
            let creep = if machine_class.throttle > THROTTLE_MIN { CALM_CREEP } else { CALM_LEAP };
            machine_class.calm = latency.min(machine_class.calm * creep);
            machine_class.core =
                if machine_class.lone.1 >= KIND_WEIGHT { machine_class.lone.0 } else { machine_class.calm };
            let calm = machine_class.calm.max(machine_class.core * (1.0 + 0.5 / machine_class.cores));
            let step = (CROWDED * calm / latency).clamp(0.95, 1.02);
            machine_class.throttle = (machine_class.throttle * step).clamp(THROTTLE_MIN, 1.0);
        }
        let cores = self.kinds.iter().map(|k| k.core).filter(|c| c.is_finite());
        self.slowest = cores.fold(0.0, f64::max);
    }

    /// Which part of what is this proxy's own this process may use.
    pub(crate) fn part(&self) -> f64 {
        if self.overlay.twin { 0.5 } else { 1.0 }
    }

    /// Whether a proxy has told of late that it sends its clients elsewhere: its slots are the others' meanwhile.
    /// One that is merely silent keeps them, as it may serve its clients all the same.
    pub(crate) fn leaves(&self, proxy: u32) -> bool {
        match proxy == self.cfg.proxy_index {
            true => self.overlay.leaving,
            false => self.peers[proxy as usize].as_ref().is_some_and(|p| p.leaving),
        }
    }

    /// Proxies whose clients stay with them, among which this one's part is judged.
    pub(crate) fn staying(&self) -> f64 {
        let left = self.overlay.left + u32::from(self.overlay.leaving);
        f64::from(self.cfg.proxies.saturating_sub(left).max(1))
    }

    /// How many of a server's slots are this proxy's own: each has one owner among the proxies of the
    /// server's zone, or among all where there is none, by a hash that all of them share.
    pub(crate) fn owned(&self, k: usize, slots: u32) -> u32 {
        let info = &self.servers[k].info;
        let near = |i: &u32| {
            let zone = self.zones[*i as usize];
            (zone.is_none() || zone == info.zone) && !self.leaves(*i)
        };
        let any = (0..self.cfg.proxies).any(|i| near(&i));
        let score = |slot: u32, i: u32| draw(info.id.0 ^ u64::from(slot), u64::from(i));
        let owner = |slot: &u32| {
            let proxies = (0..self.cfg.proxies).filter(|i| near(i) || !any);
            proxies.max_by(|&a, &b| score(*slot, a).total_cmp(&score(*slot, b))) == Some(self.cfg.proxy_index)
        };
        (0..slots.min(MOST_SLOTS)).filter(owner).count() as u32
    }
}
