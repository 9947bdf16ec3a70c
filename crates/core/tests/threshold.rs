//! Checks the threshold against the mean delay of the two-speed model of Shenker and Weinrib, which is computed in
//! another way.
use leadrelay_core::threshold;

/// Returns the mean delay D_τ of equations (3.1) and (3.2) of their paper, with μ_slow = 1 and μ_fast = R, from the
/// state probabilities of an M/M/m/K queue.
fn delay(m: u32, rho: f64, ratio: f64, tau: u32) -> f64 {
    let load = f64::from(m) * rho;
    let mut probabilities = vec![1.0f64];
    for k in 1..=m + tau {
        let rate = load / f64::from(k.min(m));
        probabilities.push(probabilities[k as usize - 1] * rate);
        if probabilities[k as usize] > 1e200 {
            probabilities.iter_mut().for_each(|x| *x *= 1e-200);
        }
    }
    let sum: f64 = probabilities.iter().sum();
    let jobs: f64 = probabilities.iter().enumerate().map(|(k, x)| k as f64 * x).sum::<f64>() / sum;
    let blocked = probabilities[(m + tau) as usize] / sum;
    jobs / (load * ratio) + blocked
}

#[test]
fn threshold_minimizes_mean_delay() {
    for m in [1u32, 2, 3, 7, 20, 60, 200] {
        for rho in [0.1, 0.5, 0.8, 0.95, 0.999, 1.0, 1.001, 1.05, 1.3, 2.0] {
            for ratio in [1.05, 1.5, 2.0, 4.0, 10.0] {
                let max_tau = (f64::from(m) * (ratio - 1.0)).floor() as u32;
                let tau = threshold(f64::from(m), rho, ratio);
                assert!(tau <= max_tau, "m {m} rho {rho} R {ratio}: {tau} > {max_tau}");
                let actual = delay(m, rho, ratio, tau);
                let best =
                    (0..=max_tau.min(600)).map(|t| delay(m, rho, ratio, t)).fold(f64::INFINITY, f64::min);
                assert!(
                    actual <= best * (1.0 + 1e-9),
                    "m {m} rho {rho} R {ratio} tau {tau}: {actual} > {best}"
                );
            }
        }
    }
}

#[test]
fn threshold_is_largest_that_lowers_the_delay() {
    for (m, rho, ratio) in [(1, 0.7, 6.0), (4, 0.9, 3.0), (10, 1.0, 4.0), (30, 0.98, 2.5)] {
        let tau = threshold(f64::from(m), rho, ratio);
        assert!(tau > 0, "at a threshold of 0 the case would test nothing");
        assert!(delay(m, rho, ratio, tau) < delay(m, rho, ratio, tau - 1));
        assert!(delay(m, rho, ratio, tau + 1) >= delay(m, rho, ratio, tau));
    }
}

#[test]
fn invalid_and_extreme_arguments_are_tolerated() {
    for m in [0.0, 0.2, 1.0, 5.5] {
        for rho in [0.0, 1.0, 1e9] {
            for ratio in [0.0, 1.0, 1.0 + 1e-12, 50.0] {
                assert!(f64::from(threshold(m, rho, ratio)) <= (m * (ratio - 1.0)).max(0.0));
            }
        }
    }
    assert_eq!(threshold(f64::NAN, 1.0, 2.0), 0);
    assert_eq!(threshold(4.0, f64::NAN, f64::NAN), 0);
}
