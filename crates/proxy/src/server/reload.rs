//! Reloads the configuration at SIGHUP. A configuration with an error is rejected as a whole.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use leadrelay_core::ListScope;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{info, warn};

use crate::classes::{Classes, TooManyFormerClasses};
use crate::config::{self, Config, EndpointSource, Faults, Origin};
use crate::inbox::{Inbox, Input, ReloadedSettings};
use crate::metrics::Metrics;

/// The reason for which a reloaded configuration is not applied.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The configuration file can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] Faults),
    /// The file replaces a fixed endpoint list by discovery or the reverse, which a running process can't do.
    #[error("a change between 'backends' and 'discovery' requires a restart")]
    SourceChanged,
    /// There are not enough entries for the new classes.
    #[error(transparent)]
    Classes(#[from] TooManyFormerClasses),
}

/// Reloads the configuration, and holds the state that a reload changes.
pub struct Reloader {
    /// The path of the configuration file.
    pub path: PathBuf,
    /// The configuration in effect.
    pub running: Config,
    /// Sends a changed address of discovery; `None` if the endpoint list is fixed.
    pub discovery_address: Option<watch::Sender<SocketAddr>>,
    pub classes: Rc<RefCell<Classes>>,
    /// The fraction of requests for which an access event is logged.
    pub access_rate: Rc<Cell<f64>>,
    pub inbox: Inbox,
    pub metrics: Arc<Metrics>,
}

impl Reloader {
    /// Reloads the configuration at each SIGHUP.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.reload() {
                Ok(()) => self.metrics.config_reloaded(),
                Err(error) => {
                    warn!(
                        error = error.to_string(),
                        "configuration not reloaded, the previous one stays in effect"
                    );
                    self.metrics.config_reload_failed();
                }
            }
        }
    }

    /// Applies the settings, the protocol of the clients, the options of connections, the rate of access events, and
    /// the address of discovery or the fixed endpoint list. All other changes require a restart.
    fn reload(&mut self) -> Result<(), ReloadError> {
        let new = config::reread(&self.path, &self.running.origin)?;
        match (&new.source, &self.running.source) {
            (EndpointSource::Discovery(_), EndpointSource::Discovery(_))
            | (EndpointSource::Fixed(_), EndpointSource::Fixed(_)) => {}
            _ => return Err(ReloadError::SourceChanged),
        }
        if matches!(new.origin, Origin::File) && needs_restart(&new, &self.running) {
            warn!("changes of listen, admin, limits, peers, zone and log filter require a restart");
        }
        let mut classes = self.classes.borrow_mut();
        let balancer = classes.reconfigure(&new.names, new.settings.clone(), &new.client_protocol)?;
        drop(classes);
        for class in &new.names.classes {
            self.metrics.register_class(class);
        }
        self.access_rate.set(new.logging.access);
        // The driver must receive the new settings before any request whose head is read with the new classes.
        let connections = new.connections;
        self.inbox.put(Input::Reconfigure(Box::new(ReloadedSettings { balancer, connections })));
        self.apply_source(&new.source);
        self.running = new;
        Ok(())
    }

    fn apply_source(&self, source: &EndpointSource) {
        match source {
            EndpointSource::Discovery(address) => {
                info!(%address, "discovery address reloaded");
                if let Some(discovery_address) = &self.discovery_address {
                    discovery_address.send_if_modified(|old| std::mem::replace(old, *address) != *address);
                }
            }
            EndpointSource::Fixed(endpoints) => {
                info!(endpoints = endpoints.len(), "fixed endpoint list reloaded");
                let endpoints = endpoints.clone();
                self.inbox.put(Input::EndpointList { scope: ListScope::Full, endpoints });
            }
        }
    }
}

/// Whether the new configuration differs from the running one in a setting that a reload does not apply.
fn needs_restart(new: &Config, running: &Config) -> bool {
    new.listen != running.listen
        || new.admin != running.admin
        || new.peers != running.peers
        || new.max_sockets != running.max_sockets
        || new.max_memory != running.max_memory
        || new.settings.zone != running.settings.zone
        || new.logging.filter != running.logging.filter
}
