//! What operators do to a proxy that runs, as far as it concerns its decisions. Times are in ms.
use crate::choice::STALE;
use crate::interface::*;
use crate::state::*;
use rustc_hash::FxHashMap;

/// What operators have said of servers; it is laid over each line of the list.
#[derive(Default)]
pub(crate) struct Overlay {
    /// Those in maintenance, and since when.
    banned: FxHashMap<BackendId, Millis>,
    /// Those back from it: since when they were in it, and when they came back.
    back: FxHashMap<BackendId, (Millis, Millis)>,
    /// Another process shares this proxy's part.
    pub twin: bool,
    /// Clients are sent elsewhere.
    pub leaving: bool,
    /// Other proxies that do so, as told by them.
    pub left: u32,
}

impl Overlay {
    pub fn is_banned(&self, id: BackendId) -> bool {
        self.banned.contains_key(&id)
    }

    /// When a server last started. What comes back from maintenance was most likely restarted there, and the
    /// list may tell so only later: until it does, the return counts as the start.
    pub fn since(&mut self, e: &Backend) -> Option<Millis> {
        match self.back.get(&e.id) {
            Some(&(away, back)) if e.since.is_none_or(|since| since < away) => Some(back),
            Some(_) => {
                self.back.remove(&e.id);
                e.since
            }
            None => e.since,
        }
    }
}

impl Balancer {
    /// Takes a server out of use or puts it back, however often that is said.
    pub(crate) fn maintain(&mut self, now: Millis, id: BackendId, banned: bool) {
        if banned {
            self.overlay.banned.entry(id).or_insert(now);
        } else if let Some(away) = self.overlay.banned.remove(&id) {
            self.overlay.back.retain(|_, (_, back)| now - *back < self.cfg.limits.cold); // others are warm
            self.overlay.back.insert(id, (away, now));
        } else {
            return; // it is in use
        }
        if let Some(&k) = self.index.get(&id) {
            let known = self.servers[k].info.clone();
            self.list(now, Scope::Delta, vec![known]);
        }
    }

    /// Which part of what is this proxy's own this process may use.
    pub(crate) fn part(&self) -> f64 {
        if self.overlay.twin { 0.5 } else { 1.0 }
    }

    /// Whether a proxy has told of late that it sends its clients elsewhere: its slots are the others' meanwhile.
    /// One that is merely silent keeps them, as it may serve its clients all the same.
    pub(crate) fn leaves(&self, proxy: u32) -> bool {
        match proxy == self.cfg.me {
            true => self.overlay.leaving,
            false => self.peers[proxy as usize].as_ref().is_some_and(|p| p.leaving),
        }
    }

    /// Proxies whose clients stay with them, among which this one's part is judged.
    pub(crate) fn staying(&self) -> f64 {
        let left = self.overlay.left + u32::from(self.overlay.leaving);
        f64::from(self.cfg.proxies.saturating_sub(left).max(1))
    }

    /// What a successor takes over.
    pub fn learnt(&self) -> Learnt {
        let listed = self.servers.iter().filter(|s| s.told.is_none());
        Learnt {
            servers: listed.map(|s| (s.info.id, s.slow)).collect(),
            classes: self.class_ms.clone(),
            kinds: self.kinds.iter().map(|k| (k.slow, k.calm, k.throttle)).collect(),
            back: self.overlay.back.iter().map(|(id, (away, back))| (*id, *away, *back)).collect(),
        }
    }

    /// Takes over what a predecessor has learnt; what it knew nothing of stays as it is. The predecessor still
    /// spends its budgets for cold servers: those here begin empty.
    pub fn resume(&mut self, learnt: Learnt) {
        self.overlay.back = learnt.back.into_iter().map(|(id, away, back)| (id, (away, back))).collect();
        for (id, slow) in learnt.servers.into_iter().filter(|s| known(s.1)) {
            if let Some(&k) = self.index.get(&id) {
                self.servers[k].slow = slow;
            }
        }
        self.servers.iter_mut().for_each(|s| s.tokens = 0.0);
        for (own, mean) in self.class_ms.iter_mut().zip(learnt.classes).filter(|(_, m)| known(*m)) {
            *own = mean;
        }
        let kinds = self.kinds.len().max(learnt.kinds.len());
        self.kinds.resize_with(kinds, Kind::default);
        for (own, (slow, calm, throttle)) in self.kinds.iter_mut().zip(learnt.kinds) {
            if known(slow) && calm > 0.0 && throttle > 0.0 {
                (own.slow, own.calm, own.throttle) = (slow, calm, throttle.min(1.0));
                own.core = own.calm;
            }
        }
        self.mean = self.mean_latency();
    }

    /// Takes other settings, but for those that need a new start: which proxy this is, and how word reaches it. A class
    /// with another one's number begins with what was learnt there.
    pub(crate) fn retune(&mut self, Retuning { settings, from, offered }: Retuning) {
        fn taken<T: Clone>(old: &mut Vec<T>, from: &[Option<usize>], new: impl Fn(usize) -> T) {
            let of = |(i, f): (usize, &Option<usize>)| {
                f.and_then(|f| old.get(f).cloned()).unwrap_or_else(|| new(i))
            };
            *old = from.iter().enumerate().map(of).collect();
        }
        let classes = &settings.classes;
        taken(&mut self.class_ms, &from, |i| (classes[i].aim / 4.0, 0.0));
        taken(&mut self.blocked, &from, |_| 0.0);
        taken(&mut self.hints, &from, |_| (1.0, 0.0));
        for s in &mut self.servers {
            let clean = Health::clean(s.tokens_at);
            taken(&mut s.by_class, &from, |_| clean.clone());
        }
        let mut by_class = self.ambient.split_off(1);
        taken(&mut by_class, &from, |_| 0.0);
        self.ambient.append(&mut by_class);
        // Who waits stays where it is; a class that is new or has taken a free number has nobody waiting.
        self.queues.resize_with(2 * classes.len(), Default::default);
        self.allowance.resize(settings.tenants.len(), 1.0);
        self.longest_aim = classes.iter().map(|c| c.aim).fold(0.0, f64::max);
        let safe = |(c, on): (&Class, &bool)| *on && c.effect == Effect::Safe;
        self.safe_traffic = classes.iter().zip(&offered).any(safe);
        let old = &self.cfg;
        let (zone, may_tell) = (old.zone, old.may_tell);
        let (me, proxies, discovery) = (old.me, old.proxies, old.discovery);
        self.cfg = Settings { me, proxies, zone, discovery, may_tell, ..settings };
    }

    /// Servers in maintenance.
    pub fn maintained(&self) -> Vec<BackendId> {
        self.overlay.banned.keys().copied().collect()
    }

    /// Whether an operator has taken a server out of use.
    pub fn in_maintenance(&self, id: BackendId) -> bool {
        self.overlay.is_banned(id)
    }

    /// Listed servers, and those of them that get nothing at present.
    pub fn members(&self, now: Millis) -> (usize, usize) {
        let listed = || self.servers.iter().filter(|s| s.info.state != State::Gone);
        (listed().count(), listed().filter(|s| !self.usable(s, now)).count())
    }

    /// Whether a server may get anything at all at present.
    pub(crate) fn usable(&self, s: &Server, now: Millis) -> bool {
        let ill = s.health.closed > now || s.blame > 1 && now - s.progress > STALE;
        // Doubt opens servers that look ill, not those that are merely full.
        s.told.is_none() && (!ill || self.doubt && !s.full)
    }
}

/// Whether a mean that was handed on tells anything.
fn known((mean, weight): Mean) -> bool {
    mean.is_finite() && mean > 0.0 && weight.is_finite() && weight > 0.0
}
