//! What a proxy at rest costs: the part of a core that its decisions take while no request comes, over proxies and
//! backends. `cargo bench -p leadrelay-core --bench rest`; a line a cell, told, not judged.
use std::time::Duration;

use leadrelay_core::{
    Action, Backend, BackendId, Balancer, CellId, Class, Discovery, Effect, Event, KindId, Limits, Prices,
    Rating, Scope, Settings, State, ZoneId,
};
use rustix::time::{ClockId, clock_gettime};

const ZONES: u64 = 21;
const WARM_UP: f64 = 3000.0;
const SPAN: f64 = 4000.0;
const STEP: f64 = 20.0;

fn settings(proxies: u32) -> Settings {
    let class = |aim| Class {
        aim,
        deadline: 2.5 * aim,
        aim_stretch: 0.0,
        worth: 1.0,
        late_worth: 0.0,
        effect: Effect::Safe,
    };
    Settings {
        me: 0,
        proxies,
        zone: Some(ZoneId(0)),
        classes: vec![class(400.0), class(800.0), class(1200.0)],
        tenants: vec![],
        over_share_worth: 0.1,
        worth_by_work: false,
        discovery: Discovery::OnRequest,
        rating: Rating::Size,
        warm_keys: true,
        may_tell: true,
        prices: Prices::default(),
        limits: Limits {
            start_capacity: 0.2,
            cold: 10_000.0,
            fall_multiple: 3.0,
            fall: 2000.0,
            max_attempts: 4,
            most_held: 320,
        },
    }
}

fn backend(id: u64) -> Backend {
    Backend {
        id: BackendId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: Some(ZoneId((id % ZONES) as u32)),
        kind: Some(KindId((id % 3) as u32)),
        cell: Some(CellId(id / 3)),
        state: State::Up,
        rating: 1.0 + (id % 4) as f64,
        since: None,
    }
}

/// Processor time of this thread: other work on the machine doesn't count.
fn used() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32).as_secs_f64()
}

/// Parts of a core, for what a proxy does by itself and for what it hears.
fn cost(proxies: u32, backends: u64, told_per_s: f64) -> (f64, f64) {
    let mut balancer = Balancer::new(settings(proxies), 1);
    let mut out: Vec<Action> = Vec::new();
    let entries = (0..backends).map(backend).collect();
    balancer.handle(0.0, Event::List { scope: Scope::Full, entries }, &mut out);
    let (mut own, mut heard) = (0.0, 0.0);
    let (mut now, mut due, mut from) = (0.0, 0.0, 1);
    while now < WARM_UP + SPAN {
        now += STEP;
        due += told_per_s * f64::from(proxies - 1) * STEP / 1000.0;
        let start = used();
        while due >= 1.0 && proxies > 1 {
            due -= 1.0;
            from = if from + 1 < proxies { from + 1 } else { 1 };
            let bytes = vec![1, (from % ZONES as u32) as u8, 0];
            balancer.handle(now, Event::Message { from, bytes }, &mut out);
        }
        let middle = used();
        balancer.handle(now, Event::Timer(0), &mut out);
        if now > WARM_UP {
            heard += middle - start;
            own += used() - middle;
        }
        out.clear();
    }
    (own / (SPAN / 1000.0), heard / (SPAN / 1000.0))
}

fn main() {
    println!("{:>8} {:>9} {:>11} {:>11}", "proxies", "backends", "own, %", "heard, %");
    let mut least = f64::INFINITY;
    for proxies in [3, 30, 300, 1000] {
        for backends in [100, 1000, 10_000] {
            let (own, heard) = cost(proxies, backends, 4.0);
            println!("{proxies:>8} {backends:>9} {:>11.3} {:>11.3}", 100.0 * own, 100.0 * heard);
            if backends == 10_000 {
                least = least.min(own);
                println!("{:>18} {:>11.2} times the least", "", own / least);
            }
        }
    }
}
