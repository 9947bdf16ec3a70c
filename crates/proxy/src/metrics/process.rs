//! Metrics of the reloads of the configuration file.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Metrics of the reloads of the configuration file.
pub struct ProcessMetrics {
    /// Reloads that were applied.
    pub config_reloads: Counter,
    /// Reloads whose configuration file could not be applied.
    pub config_reload_errors: Counter,
}

impl ProcessMetrics {
    /// Registers these metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let config_reloads = Counter::default();
        registry.register("config_reloads", "Configuration files taken at SIGHUP", config_reloads.clone());
        let config_reload_errors = Counter::default();
        let help = "Configuration files turned down at SIGHUP";
        registry.register("config_reload_errors", help, config_reload_errors.clone());
        ProcessMetrics { config_reloads, config_reload_errors }
    }
}
