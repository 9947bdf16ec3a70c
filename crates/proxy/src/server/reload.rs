//! Reload of the configuration at SIGHUP: all of a file is applied, or nothing.

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
use crate::config::{self, Config, Faults, Origin, Source};
use crate::inbox::{Inbox, Input, ReloadedSettings};
use crate::metrics::Metrics;

/// Why a file is not applied.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The file can't be used.
    #[error(transparent)]
    Config(#[from] Faults),
    /// The process can't change where its endpoint list comes from.
    #[error("a change between 'backends' and 'discovery' needs a new start")]
    SourceChanged,
    /// There is no place for the new classes.
    #[error(transparent)]
    Classes(#[from] TooManyFormerClasses),
}

/// What a reload reads and changes.
pub struct Reload {
    pub path: PathBuf,
    /// The configuration in effect.
    pub running: Config,
    pub discovery_address: Option<watch::Sender<SocketAddr>>,
    pub classes: Rc<RefCell<Classes>>,
    pub access_rate: Rc<Cell<f64>>,
    pub inbox: Inbox,
    pub metrics: Arc<Metrics>,
}

impl Reload {
    /// Reads the file again at each SIGHUP.
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

    /// Applies the settings and the source of the endpoint list. Everything else needs a new start.
    fn reload(&mut self) -> Result<(), ReloadError> {
        let new = config::reread(&self.path, &self.running.origin)?;
        match (&new.source, &self.running.source) {
            (Source::Discovery(_), Source::Discovery(_)) | (Source::Fixed(_), Source::Fixed(_)) => {}
            _ => return Err(ReloadError::SourceChanged),
        }
        if matches!(new.origin, Origin::File) && needs_restart(&new, &self.running) {
            warn!("changes of listen, admin, limits, peers, zone and log filter need a restart");
        }
        let mut classes = self.classes.borrow_mut();
        let balancer = classes.reconfigure(&new.names, new.settings.clone(), &new.dialect)?;
        drop(classes);
        for class in &new.names.classes {
            self.metrics.show_class(class);
        }
        self.access_rate.set(new.logging.access);
        // Sent before any request that is read with the new classes.
        let connections = new.connections;
        self.inbox.put(Input::Reconfigure(Box::new(ReloadedSettings { balancer, connections })));
        self.apply_source(&new.source);
        self.running = new;
        Ok(())
    }

    fn apply_source(&self, source: &Source) {
        match source {
            Source::Discovery(address) => {
                info!(%address, "discovery address reloaded");
                if let Some(discovery_address) = &self.discovery_address {
                    discovery_address.send_if_modified(|old| std::mem::replace(old, *address) != *address);
                }
            }
            Source::Fixed(endpoints) => {
                info!(endpoints = endpoints.len(), "fixed endpoint list reloaded");
                let endpoints = endpoints.clone();
                self.inbox.put(Input::EndpointList { scope: ListScope::Full, endpoints });
            }
        }
    }
}

/// Whether a configuration differs from the running one in what a reload does not apply.
fn needs_restart(new: &Config, running: &Config) -> bool {
    new.listen != running.listen
        || new.admin != running.admin
        || new.peers != running.peers
        || new.max_sockets != running.max_sockets
        || new.max_memory != running.max_memory
        || new.settings.zone != running.settings.zone
        || new.logging.filter != running.logging.filter
}
