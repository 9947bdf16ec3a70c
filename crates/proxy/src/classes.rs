//! The classes on offer. Each is a name with its rules in a numbered place, and a number means the same rules for as long
//! as a request bears it.

use std::rc::Rc;

use hyper::Method;
use leadrelay_core::names::Names;
use leadrelay_core::{ClassId, Reconfiguration, RequestClass, Settings};
use rustc_hash::FxHashSet;

use crate::config::{Dialect, Plain};

/// Places that may be kept for requests of files before the running one. The classes of the running file and those of
/// the new one have theirs besides: what a start takes is taken by a reload too, even if no class stays as it was.
const KEPT: usize = 1024;

/// Open requests hold more classes of earlier files than are kept for them.
#[derive(Debug, thiserror::Error)]
#[error("open requests hold over {KEPT} classes of earlier files")]
pub struct TooManyHeldClasses;

/// Held by each request of a class: its place is not used for another one meanwhile.
pub type Hold = Rc<()>;

struct Place {
    name: Rc<str>,
    rules: RequestClass,
    hold: Hold,
    offered: bool,
}

/// A class as one request uses it.
pub struct ClassHandle {
    pub id: ClassId,
    pub name: Rc<str>,
    pub rules: RequestClass,
    pub hold: Hold,
}

/// All places, and the names of the tenants.
pub struct Classes {
    places: Vec<Place>,
    pub tenants: Vec<String>,
    pub dialect: Dialect,
}

impl Classes {
    pub fn new(names: &Names, rules: &[RequestClass], dialect: &Dialect) -> Self {
        let place = |(name, rules): (&String, &RequestClass)| Place {
            name: name.as_str().into(),
            rules: rules.clone(),
            hold: Hold::default(),
            offered: true,
        };
        let places = names.classes.iter().zip(rules).map(place).collect();
        Classes { places, tenants: names.tenants.clone(), dialect: dialect.clone() }
    }

    /// The class of that name, if it is on offer.
    pub fn find(&self, name: &str) -> Option<ClassHandle> {
        let id = self.places.iter().position(|p| p.offered && *p.name == *name)?;
        let Place { name, rules, hold, .. } = &self.places[id];
        Some(ClassHandle { id: ClassId(id), name: name.clone(), rules: rules.clone(), hold: hold.clone() })
    }

    /// The class to which a path and a method belong, by the longest path that fits.
    pub fn route(&self, plain: &Plain, path: &str, method: &Method) -> Option<ClassHandle> {
        let within = |prefix: &str| {
            let prefix = prefix.trim_end_matches('/');
            path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let takes = |methods: &[String]| methods.is_empty() || methods.iter().any(|m| m == method.as_str());
        let fits = plain.routes.iter().filter(|r| within(&r.path) && takes(&r.methods));
        // Of equally long ones the first.
        let best = fits.rev().max_by_key(|r| r.path.trim_end_matches('/').len())?;
        self.find(&best.class)
    }

    /// Names on offer, and their places.
    pub fn offered(&self) -> impl Iterator<Item = (&str, usize)> {
        self.places.iter().enumerate().filter(|(_, p)| p.offered).map(|(id, p)| (&*p.name, id))
    }

    /// The longest deadline of a class that is on offer or has open requests.
    pub fn longest(&self) -> f64 {
        let used = self.places.iter().filter(|p| p.offered || Rc::strong_count(&p.hold) > 1);
        used.map(|p| p.rules.deadline).fold(0.0, f64::max)
    }

    /// Offers the classes of these settings and no others; returns them with their places for the module.
    pub fn retune(
        &mut self, names: &Names, mut settings: Settings, dialect: &Dialect,
    ) -> Result<Reconfiguration, TooManyHeldClasses> {
        let free = |p: &Place| !p.offered && Rc::strong_count(&p.hold) == 1;
        let known = |p: &Place| {
            names.classes.iter().zip(&settings.classes).any(|(n, c)| *p.name == **n && p.rules == *c)
        };
        let new = settings.classes.len()
            - self.places.iter().filter(|p| known(p)).count().min(settings.classes.len());
        let most = KEPT + self.offered().count() + settings.classes.len();
        if self.places.len() + new > most + self.places.iter().filter(|p| free(p)).count() {
            return Err(TooManyHeldClasses);
        }
        let mut from: Vec<Option<usize>> = (0..self.places.len()).map(Some).collect();
        let before: Vec<(Rc<str>, usize)> = self.offered().map(|(name, id)| (name.into(), id)).collect();
        // What was on offer just now may still be learnt from.
        let learnt_from: FxHashSet<usize> = before.iter().map(|(_, id)| *id).collect();
        self.places.iter_mut().for_each(|p| p.offered = false);
        for (name, rules) in names.classes.iter().zip(&settings.classes) {
            let same = |p: &Place| !p.offered && *p.name == **name && p.rules == *rules;
            if let Some(place) = self.places.iter_mut().find(|p| same(p)) {
                place.offered = true;
                continue;
            }
            let place = Place {
                name: name.as_str().into(),
                rules: rules.clone(),
                hold: Hold::default(),
                offered: true,
            };
            let learnt = before.iter().find(|(n, _)| **n == **name).map(|(_, id)| *id);
            match (0..self.places.len()).find(|id| free(&self.places[*id]) && !learnt_from.contains(id)) {
                Some(id) => (self.places[id], from[id]) = (place, learnt),
                None => {
                    self.places.push(place);
                    from.push(learnt);
                }
            }
        }
        self.tenants.clone_from(&names.tenants);
        self.dialect.clone_from(dialect);
        settings.classes = self.places.iter().map(|p| p.rules.clone()).collect();
        Ok(Reconfiguration {
            settings,
            inherits_from: from,
            offered: self.places.iter().map(|p| p.offered).collect(),
        })
    }
}

#[cfg(test)]
mod tests;
