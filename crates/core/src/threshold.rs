//! The two-speed threshold of Shenker and Weinrib. Formula numbers refer to their paper, which `docs/design.md` cites.

/// How many requests may wait for `m` faster servers of utilization `rho` that are `speed_ratio` times as fast as the
/// fastest open server: the largest τ in 0..=m(R−1) for which (3.3) is negative, where R is `speed_ratio`.
///
/// The term τ/(1−ρ) + (ρ^τ−1)/(1−ρ)² of (3.3) is computed as the sum of g_k over k < τ, with g_0 = 0 and
/// g_{k+1} = 1 + ρ·g_k. The sum has no division and also holds at ρ = 1, so ρ needs no special case.
pub fn threshold(m: f64, rho: f64, speed_ratio: f64) -> u32 {
    let max_tau = m * (speed_ratio - 1.0);
    let blocking = erlang_b((m.round() as u32).max(1), m * rho);
    let mut tau = 0;
    let mut sum = 0.0;
    let mut term = 0.0;
    while f64::from(tau + 1) <= max_tau {
        sum += term;
        term = 1.0 + rho * term;
        if f64::from(tau + 1) + max_tau * (rho - 1.0) + blocking * rho * (sum - max_tau) >= 0.0 {
            break;
        }
        tau += 1;
    }
    tau
}

/// The probability that all `servers` are busy at an offered load, by the numerically stable recursion of the Erlang B
/// formula.
fn erlang_b(servers: u32, load: f64) -> f64 {
    (1..=servers).fold(1.0, |blocking, busy| load * blocking / (f64::from(busy) + load * blocking))
}
