//! The cache of affinity keys of a backend.

use leadrelay_core::{AffinityKey, Millis};
use rustc_hash::FxHashMap;

use crate::workload::KeyCacheParameters;

/// The cached affinity keys of a backend, with the time at which each was last used.
pub struct KeyCache {
    parameters: KeyCacheParameters,
    last_used: FxHashMap<AffinityKey, Millis>,
}

impl KeyCache {
    /// Creates an empty cache.
    pub fn new(parameters: KeyCacheParameters) -> Self {
        KeyCache { parameters, last_used: FxHashMap::default() }
    }

    /// Returns the work that a request for a key needs, given its work without the cache, and caches the key.
    pub fn work_for(&mut self, now: Millis, key: AffinityKey, work: Millis) -> Millis {
        let retention = self.parameters.retention;
        let previous_use = self.last_used.insert(key, now);
        let is_cached = previous_use.is_some_and(|at| now - at < retention);
        self.evict(now);
        if is_cached { work * (1.0 - self.parameters.saving) } else { work }
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.last_used.clear();
    }

    /// Removes expired keys if the cache exceeds its capacity, then the least recently used key if it still does.
    fn evict(&mut self, now: Millis) {
        let KeyCacheParameters { retention, capacity, .. } = self.parameters;
        if self.last_used.len() <= capacity {
            return;
        }
        self.last_used.retain(|_, at| now - *at < retention);
        if self.last_used.len() <= capacity {
            return;
        }
        let by_use = |one: &(&AffinityKey, &Millis), other: &(&AffinityKey, &Millis)| {
            one.1.total_cmp(other.1).then(one.0.0.cmp(&other.0.0))
        };
        let least_recent = self.last_used.iter().min_by(by_use).map(|(key, _)| *key);
        if let Some(key) = least_recent {
            self.last_used.remove(&key);
        }
    }
}
