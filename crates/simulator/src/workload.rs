//! One day, drawn from a scenario by a seed. Nothing in it depends on what proxies decide.

use crate::random::{RandomStream, Zipf};
use crate::scenario::{FaultKind, RequestIdempotency, Scenario};

/// What a backend is.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Cores.
    pub cores: f64,
    /// Speed of each, relative to the yardstick.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait.
    pub queue: usize,
    /// Lost efficiency for each request in work beyond a number.
    pub thrash: (f64, f64),
    /// Capacity at the start, and the span in ms until it has all.
    pub cold: (f64, f64),
    /// The part of its requests that fail.
    pub error_rate: f64,
    /// Connections that it accepts.
    pub connections: usize,
    /// What proxies are told of its size.
    pub rating: f64,
    /// Work saved for a known key, the span in ms for which it is known, and how many are.
    pub warm: (f64, f64, usize),
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its first try is sent, in ms.
    pub at: f64,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its key.
    pub key: u64,
    /// Its work on the yardstick, in ms.
    pub work: f64,
    /// The zone whose front it meets.
    pub zone: usize,
    /// Which of the zone's proxies the front means it for, as a part of their weights.
    pub place: f64,
    /// A try is given up after this part of the deadline.
    pub try_share: f64,
    /// It leaves after this part of its patience.
    pub leaves: Option<f64>,
    /// What an answer in time is worth.
    pub worth: f64,
}

/// A fault at its time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When, and until when, in ms.
    pub from: f64,
    /// See there.
    pub until: f64,
    /// To how large a part.
    pub part: f64,
    /// How strongly.
    pub size: f64,
}

/// A day.
pub struct Workload {
    /// What it was drawn from.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// Its length in ms.
    pub length: f64,
    /// All backends.
    pub machines: Vec<Machine>,
    /// The zone of each proxy, and its weight in the zone's front.
    pub proxies: Vec<(usize, f64)>,
    /// Requests in the order of their times.
    pub requests: Vec<Request>,
    /// What happens.
    pub faults: Vec<Fault>,
    /// Allowances of the tenants, in requests a second.
    pub allowances: Vec<f64>,
    /// One-way times in ms: same zone, other zone, client, peers.
    pub ways: [f64; 4],
    /// Work of a handshake in ms.
    pub handshake: f64,
    /// Discovery: notice in ms, calls a second.
    pub discovery: (f64, f64),
    /// The front's notice of a dead proxy, in ms.
    pub front_notice: f64,
    /// First wait before another try, in ms.
    pub backoff: f64,
    /// Work that all backends do in a ms.
    pub capacity: f64,
    /// Mean work of each class in ms.
    pub works: Vec<f64>,
}

/// Deals `n` things out by shares.
fn deal(n: usize, shares: &[f64]) -> Vec<usize> {
    let total: f64 = shares.iter().sum();
    let (mut dealt, mut up_to) = (Vec::with_capacity(n), 0.0);
    for (i, share) in shares.iter().enumerate() {
        up_to += share / total.max(1e-9);
        let end = if i + 1 == shares.len() { n } else { (up_to * n as f64).round() as usize };
        dealt.resize(end.clamp(dealt.len(), n), i);
    }
    dealt
}

/// Which of some parts a number in [0, 1) falls into.
fn pick(mut parts: impl Iterator<Item = f64>, total: f64, u: f64) -> Option<usize> {
    let mut left = u * total;
    parts.position(|p| {
        left -= p;
        left < 0.0
    })
}

impl Workload {
    /// Draws a day.
    pub fn sample(scenario: &Scenario, seed: u64) -> Self {
        let s = scenario;
        let mut fleet = RandomStream::new(seed, "fleet");
        let zones = s.zones.len();
        let cell_size = 4;
        let kinds = deal(s.backends, &s.kinds.iter().map(|k| k.share).collect::<Vec<_>>());
        let warm = (fleet.from(s.warm.0), fleet.from(s.warm.1) * 1000.0, fleet.from(s.warm.2) as usize);
        let machines: Vec<Machine> = kinds
            .iter()
            .enumerate()
            .map(|(i, &kind)| {
                let k = &s.kinds[kind];
                let speed = fleet.from(k.speed);
                Machine {
                    zone: i % zones,
                    kind,
                    cell: (i / zones / cell_size * zones + i % zones) as u64,
                    cores: k.cores,
                    speed,
                    slots: fleet.from(k.slots).max(1.0) as usize,
                    queue: fleet.from(k.queue) as usize,
                    thrash: (fleet.from(k.thrash.0), fleet.from(k.thrash.1)),
                    cold: (fleet.from(k.cold.0).clamp(0.01, 1.0), (fleet.from(k.cold.1) * 1000.0).max(1.0)),
                    error_rate: fleet.from(k.error_rate),
                    connections: fleet.from(s.network.connections) as usize,
                    rating: (k.cores * speed * fleet.lognormal(0.15)).max(0.05),
                    warm,
                }
            })
            .collect();
        let capacity: f64 = machines.iter().map(|m| m.cores * m.speed).sum();
        let skew = fleet.from(s.zone_skew);
        let spread = fleet.from(s.proxy_spread);
        let proxies = (0..s.proxies).map(|p| (p % zones, fleet.lognormal(spread))).collect();
        let mut zone_parts: Vec<f64> = (0..zones).map(|_| 1.0 + skew * (2.0 * fleet.unit() - 1.0)).collect();
        let total: f64 = zone_parts.iter().sum();
        zone_parts.iter_mut().for_each(|z| *z /= total);
        let length = s.seconds * 1000.0;
        let mut timeline = RandomStream::new(seed, "faults");
        let faults: Vec<Fault> = s
            .faults
            .iter()
            .map(|f| {
                let from = timeline.from(f.at) * length;
                let until = from + timeline.from(f.seconds) * 1000.0;
                Fault { kind: f.kind, from, until, part: timeline.from(f.part), size: timeline.from(f.size) }
            })
            .collect();
        let mut day = Workload {
            scenario: scenario.clone(),
            seed,
            length,
            machines,
            proxies,
            requests: Vec::new(),
            faults,
            allowances: Vec::new(),
            ways: [s.network.same_ms, s.network.cross_ms, s.network.client_ms, s.network.peer_ms]
                .map(|w| fleet.from(w)),
            handshake: fleet.from(s.network.handshake.0),
            discovery: (
                fleet.from(s.discovery.notice_s) * 1000.0,
                fleet.from(s.discovery.calls_per_s).max(0.1),
            ),
            front_notice: fleet.from(s.clients.front_notice_s) * 1000.0,
            backoff: fleet.from(s.clients.backoff_ms),
            capacity,
            works: Vec::new(),
        };
        day.draw_requests(&zone_parts);
        day
    }

    /// By how much a kind of burst multiplies traffic at a time.
    fn burst(&self, kind: FaultKind, at: f64) -> f64 {
        let on = self.faults.iter().filter(|f| f.kind == kind && (f.from..f.until).contains(&at));
        on.map(|f| f.size.max(0.0)).product()
    }

    fn draw_requests(&mut self, zone_parts: &[f64]) {
        let s = self.scenario.clone();
        let mut draw = RandomStream::new(self.seed, "clients");
        let load = draw.from(s.load);
        let works: Vec<f64> = s.classes.iter().map(|c| draw.from(c.work_ms)).collect();
        self.works.clone_from(&works);
        let cvs: Vec<f64> = s.classes.iter().map(|c| draw.from(c.cv)).collect();
        let shares: f64 = s.classes.iter().map(|c| c.share).sum();
        let rate = load * self.capacity / self.mean_work(); // a ms
        let tenants: f64 = s.tenants.iter().map(|t| t.share).sum();
        let allowance = |t: &crate::scenario::TenantSpec, draw: &mut RandomStream| {
            rate * 1000.0 * t.share / tenants.max(1e-9) * draw.from(t.allowance)
        };
        self.allowances = s.tenants.iter().map(|t| allowance(t, &mut draw)).collect();
        let zipf = Zipf::new(draw.from(s.keys.0) as usize, draw.from(s.keys.1));
        let impatient = draw.from(s.clients.impatient);
        // The most that can come at a time bounds a Poisson stream that is thinned to what does come.
        let swell =
            |kind| self.faults.iter().filter(|f| f.kind == kind).map(|f| f.size.max(1.0)).product::<f64>();
        let first = s.tenants.first().map_or(0.0, |t| t.share / tenants.max(1e-9));
        let most = swell(FaultKind::Burst) * (1.0 + first * (swell(FaultKind::TenantBurst) - 1.0));
        let mut at = 0.0;
        loop {
            at += draw.exp() / (rate * most);
            if at >= self.length {
                return;
            }
            let tenant_burst = self.burst(FaultKind::TenantBurst, at).max(1.0);
            let now = self.burst(FaultKind::Burst, at) * (1.0 + first * (tenant_burst - 1.0));
            let (keep, class, tenant, zone) = (draw.unit(), draw.unit(), draw.unit(), draw.unit());
            if keep * most >= now {
                continue;
            }
            let class = pick(s.classes.iter().map(|c| c.share), shares, class).unwrap_or(0);
            let swelled = |i: usize, share: f64| if i == 0 { share * tenant_burst } else { share };
            let total = tenants + s.tenants.first().map_or(0.0, |t| t.share * (tenant_burst - 1.0));
            let of = s.tenants.iter().enumerate().map(|(i, t)| swelled(i, t.share));
            let tenant = pick(of, total, tenant).unwrap_or(0);
            let zone = pick(zone_parts.iter().copied(), 1.0, zone).unwrap_or(0);
            self.requests.push(Request {
                at,
                class,
                tenant,
                key: zipf.draw(&mut draw) as u64,
                work: works[class] * draw.lognormal(cvs[class]),
                zone,
                place: draw.unit(),
                try_share: draw.from(s.clients.try_share),
                leaves: draw.chance(impatient).then(|| draw.unit()),
                worth: s.classes[class].worth,
            });
        }
    }

    /// Mean work of a request in ms.
    pub fn mean_work(&self) -> f64 {
        let classes = || self.scenario.classes.iter().zip(&self.works);
        let shares: f64 = classes().map(|(c, _)| c.share).sum();
        classes().map(|(c, w)| c.share * w).sum::<f64>() / shares
    }

    /// Whether a class may run again.
    pub fn effect(&self, class: usize) -> RequestIdempotency {
        self.scenario.classes[class].effect
    }
}
