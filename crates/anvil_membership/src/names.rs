//! One copy of each name, however many members carry it.

use anvil_types::name;

/// Most names of each kind that a node keeps; 730 services stand far below.
pub const NAMES_LIMIT: usize = 8_192;

/// A sorted list that hands out shared copies of equal names.
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
    /// The kept copy of `name`, or none where the pool is full.
    ///
    /// Each decoded message brings its own copy of a name; kept as they come, 14,000 members would
    /// hold 42,000 strings, and a peer could make them arbitrarily many.
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

/// The pools of all names that member facts hold.
#[derive(Clone, Debug, Default)]
pub struct FactNames {
    /// Services.
    pub services: NamePool<name::ServiceName>,
    /// Availability zones.
    pub zones: NamePool<name::ZoneName>,
    /// Regions.
    pub regions: NamePool<name::RegionName>,
}
