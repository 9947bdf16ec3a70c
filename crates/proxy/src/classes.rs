//! The request classes on offer, over reloads. A class is a name with its rules; the balancer knows it by the index of its
//! entry, and an entry keeps its rules for as long as a request uses it.

use std::rc::Rc;

use hyper::Method;
use leadrelay_core::names::Names;
use leadrelay_core::{ClassId, Reconfiguration, RequestClass, Settings};
use rustc_hash::FxHashSet;

use crate::config::{Dialect, Plain, Route};

/// Entries of earlier configurations that open requests may keep in use. The classes of the running configuration and
/// of the new one have theirs besides: a reload takes any file that a start takes, even if no class stays as it was.
const MAX_FORMER_ENTRIES: usize = 1024;

/// Open requests use more classes of earlier configurations than there are entries for.
#[derive(Debug, thiserror::Error)]
#[error("open requests hold over {MAX_FORMER_ENTRIES} classes of earlier files")]
pub struct TooManyFormerClasses;

/// Each request of a class has one: the class's entry is not reused meanwhile.
#[derive(Clone, Default)]
pub struct ClassLease(Rc<()>);

impl ClassLease {
    fn is_in_use(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}

/// An entry of the balancer, with the class that has it.
struct ClassEntry {
    name: Rc<str>,
    rules: RequestClass,
    lease: ClassLease,
    is_offered: bool,
}

impl ClassEntry {
    fn new(name: &str, rules: &RequestClass) -> Self {
        ClassEntry { name: name.into(), rules: rules.clone(), lease: ClassLease::default(), is_offered: true }
    }

    /// Whether it has a class of this name with these rules.
    fn is_same(&self, name: &str, rules: &RequestClass) -> bool {
        *self.name == *name && self.rules == *rules
    }

    /// Whether it can be reused for another class.
    fn is_free(&self) -> bool {
        !self.is_offered && !self.lease.is_in_use()
    }
}

/// A class as one request uses it.
pub struct ClassHandle {
    pub id: ClassId,
    pub name: Rc<str>,
    pub rules: RequestClass,
    pub lease: ClassLease,
}

/// All entries, the names of the tenants and the way requests are read.
pub struct Classes {
    entries: Vec<ClassEntry>,
    pub tenants: Vec<String>,
    pub dialect: Dialect,
}

impl Classes {
    /// The classes of the configuration at the start.
    pub fn new(names: &Names, rules: &[RequestClass], dialect: &Dialect) -> Self {
        let classes = names.classes.iter().zip(rules);
        Classes {
            entries: classes.map(|(name, rules)| ClassEntry::new(name, rules)).collect(),
            tenants: names.tenants.clone(),
            dialect: dialect.clone(),
        }
    }

    /// The class of that name, if it is on offer.
    pub fn find(&self, name: &str) -> Option<ClassHandle> {
        let index = self.entries.iter().position(|entry| entry.is_offered && *entry.name == *name)?;
        let ClassEntry { name, rules, lease, .. } = &self.entries[index];
        Some(ClassHandle {
            id: ClassId(index),
            name: name.clone(),
            rules: rules.clone(),
            lease: lease.clone(),
        })
    }

    /// The class of a path and a method: that of the longest matching path, the first of equally long ones.
    pub fn route(&self, plain: &Plain, path: &str, method: &Method) -> Option<ClassHandle> {
        let matching = plain.routes.iter().filter(|route| matches(route, path, method));
        let best = matching.rev().max_by_key(|route| route.path.trim_end_matches('/').len())?;
        self.find(&best.class)
    }

    /// Names on offer, with the indices of their entries.
    pub fn offered(&self) -> impl Iterator<Item = (&str, usize)> {
        let entries = self.entries.iter().enumerate().filter(|(_, entry)| entry.is_offered);
        entries.map(|(index, entry)| (&*entry.name, index))
    }

    /// The longest deadline of a class that is on offer or has open requests.
    pub fn longest_deadline(&self) -> f64 {
        let used = self.entries.iter().filter(|entry| !entry.is_free());
        used.map(|entry| entry.rules.deadline).fold(0.0, f64::max)
    }

    /// Offers the classes of these settings and no others; returns the settings with the entries as classes.
    pub fn reconfigure(
        &mut self, names: &Names, mut settings: Settings, dialect: &Dialect,
    ) -> Result<Reconfiguration, TooManyFormerClasses> {
        if !self.has_capacity_for(names, &settings) {
            return Err(TooManyFormerClasses);
        }
        let inherits_from = self.replace_classes(names, &settings.classes);
        self.tenants.clone_from(&names.tenants);
        self.dialect.clone_from(dialect);
        settings.classes = self.entries.iter().map(|entry| entry.rules.clone()).collect();
        Ok(Reconfiguration {
            settings,
            inherits_from,
            offered: self.entries.iter().map(|entry| entry.is_offered).collect(),
        })
    }

    fn has_capacity_for(&self, names: &Names, settings: &Settings) -> bool {
        let is_unchanged = |entry: &&ClassEntry| {
            let mut classes = names.classes.iter().zip(&settings.classes);
            classes.any(|(name, rules)| entry.is_same(name, rules))
        };
        let unchanged = self.entries.iter().filter(is_unchanged).count().min(settings.classes.len());
        let added = settings.classes.len() - unchanged;
        let max_entries = MAX_FORMER_ENTRIES + self.offered().count() + settings.classes.len();
        let free = self.entries.iter().filter(|entry| entry.is_free()).count();
        self.entries.len() + added <= max_entries + free
    }

    /// Offers these classes and no others. Returns, by entry, the entry before from which its class inherits what has
    /// been learned.
    fn replace_classes(&mut self, names: &Names, rules: &[RequestClass]) -> Vec<Option<usize>> {
        let mut inherits_from: Vec<Option<usize>> = (0..self.entries.len()).map(Some).collect();
        let before: Vec<(Rc<str>, usize)> =
            self.offered().map(|(name, index)| (name.into(), index)).collect();
        // An entry that was on offer is not reused now, as another class may inherit from it.
        let inheritable: FxHashSet<usize> = before.iter().map(|(_, index)| *index).collect();
        for entry in &mut self.entries {
            entry.is_offered = false;
        }
        for (name, rules) in names.classes.iter().zip(rules) {
            let unchanged =
                self.entries.iter_mut().find(|entry| !entry.is_offered && entry.is_same(name, rules));
            if let Some(entry) = unchanged {
                entry.is_offered = true;
                continue;
            }
            let entry = ClassEntry::new(name, rules);
            let inherited = before.iter().find(|(other, _)| **other == **name).map(|(_, index)| *index);
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

/// Whether a route's path, in whole segments, and its methods match a request.
fn matches(route: &Route, path: &str, method: &Method) -> bool {
    let prefix = route.path.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    let is_path_matching = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    is_path_matching && (route.methods.is_empty() || route.methods.iter().any(|name| name == method.as_str()))
}

#[cfg(test)]
mod tests;
