//! Enforces the quotas of tenants by token buckets.

use crate::ids::{Millis, TenantId};
use crate::settings::Settings;

/// The size of a token bucket, as the duration in which the quota fills it. One token is added to this size.
const MAX_SAVED: Millis = 1000.0;

/// The tokens of each tenant: requests that it may still send within its quota. Each proxy enforces an equal part of
/// each quota.
pub(crate) struct TenantQuotas {
    tokens: Vec<f64>,
}

impl TenantQuotas {
    pub fn new(tenants: usize) -> Self {
        TenantQuotas { tokens: vec![1.0; tenants] }
    }

    /// Takes a token for a request of a tenant; returns whether there was one. An unknown tenant has no limit.
    pub fn take(&mut self, tenant: TenantId) -> bool {
        let Some(tokens) = self.tokens.get_mut(tenant.0) else { return true };
        let is_within = *tokens >= 1.0;
        if is_within {
            *tokens -= 1.0;
        }
        is_within
    }

    /// Adds the tokens for the elapsed time.
    pub fn refill(&mut self, elapsed: Millis, settings: &Settings) {
        for (tokens, tenant) in self.tokens.iter_mut().zip(&settings.tenants) {
            let per_ms = tenant.quota_per_second / 1000.0 / f64::from(settings.proxies);
            *tokens = (*tokens + per_ms * elapsed).min(per_ms * MAX_SAVED + 1.0);
        }
    }

    /// Switches to another number of tenants; new ones start with one token.
    pub fn reconfigure(&mut self, tenants: usize) {
        self.tokens.resize(tenants, 1.0);
    }
}
