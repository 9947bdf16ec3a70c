//! Token buckets of the tenants.

use crate::ids::{Millis, TenantId};
use crate::settings::Settings;

/// Requests of a quota that may be saved up, as a duration.
const MAX_SAVED: Millis = 1000.0;

/// Requests that each tenant may still send within its quota. Each proxy enforces an equal part of it.
pub(crate) struct TenantQuotas {
    tokens: Vec<f64>,
}

impl TenantQuotas {
    pub fn new(tenants: usize) -> Self {
        TenantQuotas { tokens: vec![1.0; tenants] }
    }

    /// Takes one request off a tenant's quota; whether there was any left. An unknown tenant has no limit.
    pub fn take(&mut self, tenant: TenantId) -> bool {
        let Some(tokens) = self.tokens.get_mut(tenant.0) else { return true };
        let is_within = *tokens >= 1.0;
        if is_within {
            *tokens -= 1.0;
        }
        is_within
    }

    /// Adds what has become free in that time.
    pub fn refill(&mut self, elapsed: Millis, settings: &Settings) {
        for (tokens, tenant) in self.tokens.iter_mut().zip(&settings.tenants) {
            let per_ms = tenant.quota_per_second / 1000.0 / f64::from(settings.proxies);
            *tokens = (*tokens + per_ms * elapsed).min(per_ms * MAX_SAVED + 1.0);
        }
    }

    /// Takes another number of tenants.
    pub fn reconfigure(&mut self, tenants: usize) {
        self.tokens.resize(tenants, 1.0);
    }
}
