//! Limits on the requests that are sent: tenant quotas, the retry budget, and concurrency.

mod capacity_sharing;
mod concurrency;
mod retry_budget;
mod tenant_quotas;

pub(crate) use capacity_sharing::CapacitySharing;
pub(crate) use concurrency::ConcurrencyLimiter;
pub(crate) use retry_budget::RetryBudget;
pub(crate) use tenant_quotas::TenantQuotas;
