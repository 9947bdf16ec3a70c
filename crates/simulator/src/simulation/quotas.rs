//! The quotas of the tenants, which determine the requests that count with their full weight.

use leadrelay_core::Millis;

use crate::index::{IndexedVec, TenantIndex};
use crate::time::MS_PER_S;

/// A token bucket that holds the tokens of one second, and at least one token.
struct TokenBucket {
    tokens_per_s: f64,
    tokens: f64,
    updated_at: Millis,
}

impl TokenBucket {
    /// Takes a token; returns whether one was available.
    fn take(&mut self, now: Millis) -> bool {
        let added = self.tokens_per_s * (now - self.updated_at) / MS_PER_S;
        self.tokens = (self.tokens + added).min(self.tokens_per_s.max(1.0));
        self.updated_at = now;
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}

/// One token bucket for each tenant.
pub(super) struct TenantQuotas {
    buckets: IndexedVec<TenantIndex, TokenBucket>,
}

impl TenantQuotas {
    /// Creates full buckets for quotas in requests per second.
    pub(super) fn new(quotas: &IndexedVec<TenantIndex, f64>) -> Self {
        let bucket = |quota: &f64| TokenBucket { tokens_per_s: *quota, tokens: *quota, updated_at: 0.0 };
        TenantQuotas { buckets: quotas.iter().map(bucket).collect() }
    }

    /// Counts a request against the quota of its tenant; returns whether the request is within the quota. A tenant
    /// without a quota has no limit.
    pub(super) fn take(&mut self, now: Millis, tenant: TenantIndex) -> bool {
        if self.buckets.get(tenant).is_none() {
            return true;
        }
        self.buckets[tenant].take(now)
    }
}
