//! Interned names, one copy of each.

use anvil_types::name;

/// Maximum number of names of each kind; a large fleet has 730 services.
pub const NAMES_LIMIT: usize = 8_192;

/// A sorted list of names, which returns a shared copy for equal names.
#[derive(Clone, Debug)]
pub struct NamePool<Name> {
    names: Vec<Name>,
}

impl<Name> Default for NamePool<Name> {
    fn default() -> Self {
        Self { names: Vec::new() }
    }
}

impl<Name> NamePool<Name>
where
    Name: Ord + Clone,
{
    /// The interned copy of `name`, or none if the pool is full.
    ///
    /// Each decoded message contains its own copies of names. Without interning, 14,000 members
    /// would hold 42,000 strings; without the limit, a faulty peer could add names without bound.
    pub fn intern(&mut self, name: &Name) -> Option<Name> {
        match self.names.binary_search(name) {
            Ok(index) => Some(self.names[index].clone()),
            Err(_) if self.names.len() >= NAMES_LIMIT => None,
            Err(index) => {
                self.names.insert(index, name.clone());
                Some(name.clone())
            }
        }
    }
}

/// The pools of all names in member facts.
#[derive(Clone, Debug, Default)]
pub struct FactNames {
    /// Services.
    pub services: NamePool<name::ServiceName>,
    /// Availability zones.
    pub zones: NamePool<name::ZoneName>,
    /// Regions.
    pub regions: NamePool<name::RegionName>,
}
