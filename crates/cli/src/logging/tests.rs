//! The limit on events.

use super::*;

#[test]
fn a_place_writes_a_burst_a_window_and_tells_what_was_left_out() {
    static ONE: tracing::callsite::DefaultCallsite = tracing::callsite::DefaultCallsite::new(&META);
    static TWO: tracing::callsite::DefaultCallsite = tracing::callsite::DefaultCallsite::new(&META);
    static META: Metadata = tracing::metadata! {
        name: "here", target: "here", level: tracing::Level::INFO, fields: &[], callsite: &ONE,
        kind: tracing::metadata::Kind::EVENT
    };
    let (writer, _guard) = NonBlocking::new(std::io::sink());
    let limit = PerSite::new(false, writer);
    let now = Instant::now();
    let passed = (0..50).filter(|_| limit.count(Identifier(&ONE), now).0).count();
    assert_eq!(passed, BURST as usize);
    assert_eq!(limit.count(Identifier(&TWO), now), (true, 0), "a flood at one place hides no other");
    assert_eq!(limit.count(Identifier(&ONE), now + WINDOW), (true, 30));
    assert_eq!(limit.count(Identifier(&ONE), now + WINDOW), (true, 0), "told once");
}
