//! The two-speed threshold of Shenker and Weinrib; formula numbers are those of their paper, which `docs/design.md`
//! names.

/// The largest τ in 0..=m(R−1) for which (3.3) is negative: how many requests may wait for `m` faster servers of
/// utilization `rho` that are `ratio` times as fast as the fastest open one.
///
/// τ/(1−ρ) + (ρ^τ−1)/(1−ρ)² is the sum of g_k over k < τ, with g_0 = 0 and g_{k+1} = 1 + ρ·g_k. That form
/// divides by nothing and holds at ρ = 1 too, so ρ needs no special case.
pub fn threshold(m: f64, rho: f64, ratio: f64) -> u32 {
    let top = m * (ratio - 1.0);
    let blocking = erlang_b((m.round() as u32).max(1), m * rho);
    let mut tau = 0;
    let mut sum = 0.0;
    let mut term = 0.0;
    while f64::from(tau + 1) <= top {
        sum += term;
        term = 1.0 + rho * term;
        if f64::from(tau + 1) + top * (rho - 1.0) + blocking * rho * (sum - top) >= 0.0 {
            break;
        }
        tau += 1;
    }
    tau
}

/// The Erlang B formula by its stable recursion: the probability that all of `servers` are busy at that load.
fn erlang_b(servers: u32, load: f64) -> f64 {
    (1..=servers).fold(1.0, |blocking, busy| load * blocking / (f64::from(busy) + load * blocking))
}
