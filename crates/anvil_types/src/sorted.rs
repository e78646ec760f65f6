//! A map stored as a sorted vector with binary search.

/// A map whose entries are sorted by key.
///
/// Tables of a node hold tens to a few thousand entries. At that size a sorted vector is smaller
/// than a tree, and its fixed order makes every iteration, and so every effect, reproducible.
#[derive(Clone, Debug)]
pub struct SortedTable<Key, Value> {
    entries: Vec<(Key, Value)>,
}

impl<Key, Value> Default for SortedTable<Key, Value> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<Key, Value> SortedTable<Key, Value>
where
    Key: Ord + Copy,
{
    fn search(&self, key: Key) -> Result<usize, usize> {
        // Keys are mostly allocated in increasing order, so the end is checked first.
        match self.entries.last() {
            Some((last, _)) if *last < key => Err(self.entries.len()),
            _ => self.entries.binary_search_by(|(other, _)| other.cmp(&key)),
        }
    }

    /// Inserts `value` at `key` and returns the previous value, if any.
    pub fn insert(&mut self, key: Key, value: Value) -> Option<Value> {
        match self.search(key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes and returns the value at `key`.
    pub fn remove(&mut self, key: Key) -> Option<Value> {
        let index = self.search(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    /// Returns the value at `key`.
    pub fn get(&self, key: Key) -> Option<&Value> {
        let index = self.search(key).ok()?;
        Some(&self.entries[index].1)
    }

    /// Returns a mutable reference to the value at `key`.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Value> {
        let index = self.search(key).ok()?;
        Some(&mut self.entries[index].1)
    }

    /// Returns the value at `key`, inserting the result of `make` if there is none.
    pub fn get_or_insert_with<Make>(&mut self, key: Key, make: Make) -> &mut Value
    where
        Make: FnOnce() -> Value,
    {
        let index = match self.search(key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, make()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Iterates over all entries in order of their keys.
    pub fn iter(&self) -> std::slice::Iter<'_, (Key, Value)> {
        self.entries.iter()
    }

    /// Returns the keys whose values satisfy `predicate`, in order.
    pub fn keys_where<Predicate>(&self, predicate: Predicate) -> Vec<Key>
    where
        Predicate: Fn(&Value) -> bool,
    {
        let matching = self.entries.iter().filter(|(_, value)| predicate(value));
        matching.map(|(key, _)| *key).collect()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
