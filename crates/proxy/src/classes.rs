//! The request classes, across reloads of the configuration. A class is a name with its rules, and is stored in an
//! entry whose index identifies the class to the balancer. An entry keeps its class while the current configuration
//! contains the class or an open request uses it.

use std::rc::Rc;

use hyper::Method;
use leadrelay_core::names::Names;
use leadrelay_core::{ClassId, Reconfiguration, RequestClass, Settings};
use rustc_hash::FxHashSet;

use crate::config::{ClientProtocol, HttpRules, Route};

/// Maximum number of entries for classes of earlier configurations that open requests still use. The classes of the
/// running configuration and of the new one have entries in addition, so that a reload accepts any file that a start
/// accepts, even if every class changes.
const MAX_FORMER_ENTRIES: usize = 1024;

/// The error of a reload while open requests use more classes of earlier configurations than there are entries for.
#[derive(Debug, thiserror::Error)]
#[error("open requests still use more than {MAX_FORMER_ENTRIES} classes of earlier configurations")]
pub struct TooManyFormerClasses;

/// A reference of an open request to the entry of its class; the entry is not reused while a reference exists.
#[derive(Clone, Default)]
pub struct ClassLease(Rc<()>);

impl ClassLease {
    fn is_in_use(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}

/// An entry for one class.
struct ClassEntry {
    name: Rc<str>,
    rules: RequestClass,
    lease: ClassLease,
    /// Whether the current configuration contains the class.
    is_configured: bool,
}

impl ClassEntry {
    fn new(name: &str, rules: &RequestClass) -> Self {
        ClassEntry {
            name: name.into(),
            rules: rules.clone(),
            lease: ClassLease::default(),
            is_configured: true,
        }
    }

    /// Whether the entry holds the class of this name with these rules.
    fn has_class(&self, name: &str, rules: &RequestClass) -> bool {
        *self.name == *name && self.rules == *rules
    }

    /// Whether the entry can be reused for another class.
    fn is_free(&self) -> bool {
        !self.is_configured && !self.lease.is_in_use()
    }
}

/// A class as used by one request, with the lease that keeps its entry from being reused.
pub struct ClassHandle {
    pub id: ClassId,
    pub name: Rc<str>,
    pub rules: RequestClass,
    pub lease: ClassLease,
}

/// The entries of all classes, the names of the tenants and the protocol of the clients.
pub struct Classes {
    entries: Vec<ClassEntry>,
    pub tenants: Vec<String>,
    /// How the class and other data of a request are read from its head.
    pub client_protocol: ClientProtocol,
}

impl Classes {
    /// Creates entries for the classes of the first configuration.
    pub fn new(names: &Names, rules: &[RequestClass], client_protocol: &ClientProtocol) -> Self {
        let classes = names.classes.iter().zip(rules);
        Classes {
            entries: classes.map(|(name, rules)| ClassEntry::new(name, rules)).collect(),
            tenants: names.tenants.clone(),
            client_protocol: client_protocol.clone(),
        }
    }

    /// Returns the class of this name, if the current configuration contains it.
    pub fn find(&self, name: &str) -> Option<ClassHandle> {
        let index = self.entries.iter().position(|entry| entry.is_configured && *entry.name == *name)?;
        let ClassEntry { name, rules, lease, .. } = &self.entries[index];
        Some(ClassHandle {
            id: ClassId(index),
            name: name.clone(),
            rules: rules.clone(),
            lease: lease.clone(),
        })
    }

    /// Returns the class of the matching route with the longest path; if several paths are equally long, the first one
    /// is used.
    pub fn route(&self, plain: &HttpRules, path: &str, method: &Method) -> Option<ClassHandle> {
        let matching = plain.routes.iter().filter(|route| matches(route, path, method));
        let best = matching.rev().max_by_key(|route| route.path.trim_end_matches('/').len())?;
        self.find(&best.class)
    }

    /// Returns the names of the configured classes with the indices of their entries.
    pub fn configured_classes(&self) -> impl Iterator<Item = (&str, usize)> {
        let entries = self.entries.iter().enumerate().filter(|(_, entry)| entry.is_configured);
        entries.map(|(index, entry)| (&*entry.name, index))
    }

    /// Returns the longest deadline, in milliseconds, of the classes that are configured or have open requests.
    pub fn longest_deadline(&self) -> f64 {
        let used = self.entries.iter().filter(|entry| !entry.is_free());
        used.map(|entry| entry.rules.deadline).fold(0.0, f64::max)
    }

    /// Replaces the configured classes by those of these settings. Returns the settings with all entries as their
    /// classes, so that the index of a class is that of its entry.
    pub fn reconfigure(
        &mut self, names: &Names, mut settings: Settings, client_protocol: &ClientProtocol,
    ) -> Result<Reconfiguration, TooManyFormerClasses> {
        if !self.has_capacity_for(names, &settings) {
            return Err(TooManyFormerClasses);
        }
        let inherits_from = self.replace_classes(names, &settings.classes);
        self.tenants.clone_from(&names.tenants);
        self.client_protocol.clone_from(client_protocol);
        settings.classes = self.entries.iter().map(|entry| entry.rules.clone()).collect();
        Ok(Reconfiguration {
            settings,
            inherits_from,
            offered: self.entries.iter().map(|entry| entry.is_configured).collect(),
        })
    }

    /// Whether the new classes fit without exceeding the maximum number of entries of earlier configurations.
    fn has_capacity_for(&self, names: &Names, settings: &Settings) -> bool {
        let is_unchanged = |entry: &&ClassEntry| {
            let mut classes = names.classes.iter().zip(&settings.classes);
            classes.any(|(name, rules)| entry.has_class(name, rules))
        };
        let unchanged = self.entries.iter().filter(is_unchanged).count().min(settings.classes.len());
        let added = settings.classes.len() - unchanged;
        let max_entries = MAX_FORMER_ENTRIES + self.configured_classes().count() + settings.classes.len();
        let free = self.entries.iter().filter(|entry| entry.is_free()).count();
        self.entries.len() + added <= max_entries + free
    }

    /// Replaces the configured classes by these. Returns, for each entry, the index of the previous entry whose learned
    /// statistics its class inherits, if there is one.
    fn replace_classes(&mut self, names: &Names, rules: &[RequestClass]) -> Vec<Option<usize>> {
        let mut inherits_from: Vec<Option<usize>> = (0..self.entries.len()).map(Some).collect();
        let previous: Vec<(Rc<str>, usize)> =
            self.configured_classes().map(|(name, index)| (name.into(), index)).collect();
        // The entry of a class that was configured until now is not reused, as another class may inherit its
        // statistics.
        let inheritable: FxHashSet<usize> = previous.iter().map(|(_, index)| *index).collect();
        for entry in &mut self.entries {
            entry.is_configured = false;
        }
        for (name, rules) in names.classes.iter().zip(rules) {
            let unchanged =
                self.entries.iter_mut().find(|entry| !entry.is_configured && entry.has_class(name, rules));
            if let Some(entry) = unchanged {
                entry.is_configured = true;
                continue;
            }
            let entry = ClassEntry::new(name, rules);
            let inherited = previous.iter().find(|(other, _)| **other == **name).map(|(_, index)| *index);
            let mut indices = 0..self.entries.len();
            match indices.find(|index| self.entries[*index].is_free() && !inheritable.contains(index)) {
                Some(index) => {
                    self.entries[index] = entry;
                    inherits_from[index] = inherited;
                }
                None => {
                    self.entries.push(entry);
                    inherits_from.push(inherited);
                }
            }
        }
        inherits_from
    }
}

/// Whether a route matches a request: its path is a prefix of whole segments, and its methods, if any are listed,
/// include the one of the request.
fn matches(route: &Route, path: &str, method: &Method) -> bool {
    let prefix = route.path.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    let is_path_matching = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    is_path_matching && (route.methods.is_empty() || route.methods.iter().any(|name| name == method.as_str()))
}

#[cfg(test)]
mod tests;
