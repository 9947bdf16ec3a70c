//! Tests of the limit on log events per call site.

use super::*;

#[test]
fn call_site_is_limited_and_dropped_events_are_counted_once() {
    static ONE: tracing::callsite::DefaultCallsite = tracing::callsite::DefaultCallsite::new(&META);
    static TWO: tracing::callsite::DefaultCallsite = tracing::callsite::DefaultCallsite::new(&META);
    static META: Metadata = tracing::metadata! {
        name: "here", target: "here", level: tracing::Level::INFO, fields: &[], callsite: &ONE,
        kind: tracing::metadata::Kind::EVENT
    };
    let (writer, _guard) = NonBlocking::new(std::io::sink());
    let limiter = CallSiteLimiter::new(false, writer);
    let now = Instant::now();
    let admitted = (0..50).filter(|_| limiter.admit(Identifier(&ONE), now).is_admitted).count();
    assert_eq!(admitted, MAX_EVENTS_PER_WINDOW as usize);
    let admitted_after = |dropped_before| Admission { is_admitted: true, dropped_before };
    assert_eq!(limiter.admit(Identifier(&TWO), now), admitted_after(0), "other call sites are not limited");
    assert_eq!(limiter.admit(Identifier(&ONE), now + WINDOW), admitted_after(30));
    assert_eq!(limiter.admit(Identifier(&ONE), now + WINDOW), admitted_after(0), "reported once");
}
