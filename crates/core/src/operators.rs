//! What operators do to a proxy that runs, as far as it concerns its decisions. Times are in ms.
use crate::interface::*;
use crate::records::Health;
use crate::state::Balancer;

impl Balancer {
    /// Takes a server out of use or puts it back, however often that is said.
    pub(crate) fn maintain(&mut self, now: Millis, id: EndpointId, banned: bool) {
        if banned {
            self.overlay.banned.entry(id).or_insert(now);
        } else if let Some(away) = self.overlay.banned.remove(&id) {
            self.overlay.back.retain(|_, (_, back)| now - *back < self.cfg.limits.slow_start_window); // others are warm
            self.overlay.back.insert(id, (away, now));
        } else {
            return; // it is in use
        }
        if let Some(&k) = self.index.get(&id) {
            let known = self.servers[k].info.clone();
            self.apply_list(now, false, vec![known]);
        }
    }

    /// Takes other settings, but for those that need a new start: which proxy this is, and how word reaches it. A class
    /// with another one's number begins with what was learnt there.
    pub(crate) fn retune(
        &mut self, Reconfiguration { settings, inherits_from: from, offered }: Reconfiguration,
    ) {
        fn taken<T: Clone>(old: &mut Vec<T>, from: &[Option<usize>], new: impl Fn(usize) -> T) {
            let of = |(i, f): (usize, &Option<usize>)| {
                f.and_then(|f| old.get(f).cloned()).unwrap_or_else(|| new(i))
            };
            *old = from.iter().enumerate().map(of).collect();
        }
        let classes = &settings.classes;
        taken(&mut self.class_ms, &from, |i| (classes[i].latency_objective / 4.0, 0.0));
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
        self.longest_aim = classes.iter().map(|c| c.latency_objective).fold(0.0, f64::max);
        let safe = |(c, on): (&RequestClass, &bool)| *on && c.idempotency == Idempotency::Always;
        self.safe_traffic = classes.iter().zip(&offered).any(safe);
        let old = &self.cfg;
        let (zone, gossip_enabled) = (old.zone, old.gossip_enabled);
        let (proxy_index, proxies, discovery, notification_bounds) =
            (old.proxy_index, old.proxies, old.discovery, old.notification_bounds);
        self.cfg = Settings {
            proxy_index,
            proxies,
            zone,
            discovery,
            notification_bounds,
            gossip_enabled,
            ..settings
        };
    }

    /// Servers in maintenance.
    pub fn endpoints_in_maintenance(&self) -> Vec<EndpointId> {
        self.overlay.banned.keys().copied().collect()
    }

    /// Whether an operator has taken a server out of use.
    pub fn in_maintenance(&self, id: EndpointId) -> bool {
        self.overlay.is_banned(id)
    }
}
