//! The quotas of the tenants: which requests count in full.

use leadrelay_core::Millis;

use crate::index::{IndexedVec, TenantIndex};
use crate::time::MS_PER_S;

/// A token bucket that holds what a second adds to it.
struct TokenBucket {
    tokens_per_s: f64,
    tokens: f64,
    updated_at: Millis,
}

impl TokenBucket {
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
    /// Full buckets for quotas in requests a second.
    pub(super) fn new(quotas: &IndexedVec<TenantIndex, f64>) -> Self {
        let bucket = |quota: &f64| TokenBucket { tokens_per_s: *quota, tokens: *quota, updated_at: 0.0 };
        TenantQuotas { buckets: quotas.iter().map(bucket).collect() }
    }

    /// Takes a request off its tenant's quota; returns whether it is within it. A tenant without a quota has no limit.
    pub(super) fn take(&mut self, now: Millis, tenant: TenantIndex) -> bool {
        if self.buckets.get(tenant).is_none() {
            return true;
        }
        self.buckets[tenant].take(now)
    }
}
