//! Names of the settings and the list, and the numbers that stand for them in decisions.

/// The names that later messages refer to.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes, in the order of [`Settings::classes`](crate::Settings::classes).
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`](crate::Settings::tenants).
    pub tenants: Vec<String>,
    /// Zones, those met later included.
    pub zones: Vec<String>,
    /// Classes of machines, those met later included.
    pub machine_classes: Vec<String>,
}

/// The same number for the same name at every proxy (FNV-1a).
pub fn hash_name(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The index of `name` among `names`; a new name is added.
pub fn intern(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(index) = names.iter().position(|known| known == name) {
        return index;
    }
    names.push(name.to_owned());
    names.len() - 1
}
