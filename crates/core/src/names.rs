//! Mapping of the names in the settings and the endpoint list to the numbers that the balancer uses.

/// The names of classes, tenants, zones and machine classes. The index of a name is its number.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes, in the order of [`Settings::classes`](crate::Settings::classes).
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`](crate::Settings::tenants).
    pub tenants: Vec<String>,
    /// Zones from the settings, followed by those that were added later.
    pub zones: Vec<String>,
    /// Machine classes from the settings, followed by those that were added later.
    pub machine_classes: Vec<String>,
}

/// The FNV-1a hash of a name, which is the same at every proxy.
pub fn hash_name(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Returns the index of `name` in `names`, adding it if it is new.
pub fn intern(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(index) = names.iter().position(|known| known == name) {
        return index;
    }
    names.push(name.to_owned());
    names.len() - 1
}
