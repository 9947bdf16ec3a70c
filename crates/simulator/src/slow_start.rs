//! How near the proxies come, all together, to pushing a cold backend over.
//!
//! The operators' term: a cold backend falls when it gets more than N + 2√N + 2 requests of mean work in the span that the
//! settings name, N being what the settings allow it then: the multiple, times its present capacity, times that span.
//! Fault lies with the proxies if over two thirds of these came from such as had been told of the start.

use std::collections::VecDeque;

use serde::Serialize;

use crate::backend::Backend;
use crate::workload::Workload;

/// The part of a fall's requests beyond which those told of the start are to blame.
const BLAMED: f64 = 2.0 / 3.0;

/// What one count came to over all windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Worst {
    /// The most requests in a window over what was allowed in it.
    pub ratio: f64,
    /// Windows with more than that.
    pub over: usize,
}

impl Worst {
    fn note(&mut self, ratio: f64) -> bool {
        self.ratio = self.ratio.max(ratio);
        self.over += usize::from(ratio > 1.0);
        ratio > 1.0
    }
}

/// One count against what surely can be done by the settings, and against what truly can.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counted {
    /// By the least capacity that the settings tell.
    pub settings: Worst,
    /// By the true capacity.
    pub truth: Worst,
}

/// A day's measure. A window ends at each request that reaches a cold backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartReport {
    /// Cold backends that got a request.
    pub starts: usize,
    /// Windows.
    pub windows: usize,
    /// Requests from all proxies.
    pub all: Counted,
    /// Those from proxies that had been told of the start.
    pub told: Counted,
    /// Cold backends pushed over by the settings' capacity for which those told were to blame.
    pub blamed: usize,
}

/// What reached one backend of late.
#[derive(Default)]
struct Recent {
    born: f64,
    blamed: bool,
    sent: VecDeque<(f64, f64, bool)>, // when, in requests of mean work, by a proxy that was told
}

/// Watches all backends of a day.
#[derive(Default)]
pub struct Watch {
    backends: Vec<Recent>,
    measure: SlowStartReport,
}

impl Watch {
    /// A request of a class reaches a backend that is up.
    pub fn note(
        &mut self, now: f64, day: &Workload, number: usize, backend: &Backend, class: usize, told: bool,
    ) {
        let cold = &day.scenario.cold;
        let (age, span) = (now - backend.born, cold.span_s * 1000.0);
        if age >= span {
            return;
        }
        if self.backends.len() <= number {
            self.backends.resize_with(number + 1, Recent::default);
        }
        let recent = &mut self.backends[number];
        if recent.sent.is_empty() || recent.born != backend.born {
            *recent = Recent { born: backend.born, ..Recent::default() };
            self.measure.starts += 1;
        }
        let mean = day.mean_work();
        recent.sent.push_back((now, day.works[class] / mean, told));
        let fall = cold.fall_s * 1000.0;
        while recent.sent.front().is_some_and(|s| s.0 <= now - fall) {
            recent.sent.pop_front();
        }
        let count = |told: bool| recent.sent.iter().filter(|s| s.2 || !told).map(|s| s.1).sum::<f64>();
        let (all, told) = (count(false), count(true));
        let allowed = |capacity: f64| {
            let n = cold.multiple * capacity * fall / mean;
            n + 2.0 * n.sqrt() + 2.0
        };
        let machine = &backend.machine;
        let sure = cold.start + (1.0 - cold.start) * age / span;
        let settings = allowed(machine.cores * machine.speed * sure);
        let m = &mut self.measure;
        m.windows += 1;
        m.told.settings.note(told / settings);
        if m.all.settings.note(all / settings) && told > BLAMED * all && !recent.blamed {
            (recent.blamed, m.blamed) = (true, m.blamed + 1);
        }
        if backend.is_cold(now) {
            let truth = allowed(backend.capacity(now));
            m.all.truth.note(all / truth);
            m.told.truth.note(told / truth);
        }
    }

    /// What was seen so far.
    pub fn measure(&self) -> SlowStartReport {
        self.measure
    }
}
