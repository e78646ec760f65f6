//! A map from exact texts and prefixes to values, stored in sorted vectors.

/// A key that matches one text or all texts with a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TableKey<'a> {
    /// Matches this text.
    Exact(&'a str),
    /// Matches all texts that begin with this one; the empty prefix matches every text.
    Prefix(&'a str),
}

/// The key that matches every text.
pub(crate) const MATCH_ALL: TableKey<'static> = TableKey::Prefix("");

/// Finds the values of all keys that match a text, with one binary search for the text itself and
/// one for each distinct length of the prefixes.
#[derive(Clone, Debug)]
pub(crate) struct PrefixTable<V> {
    exact: Vec<(Box<str>, V)>,
    prefixes: Vec<(Box<str>, V)>,
    /// The distinct lengths of the prefixes, sorted.
    lengths: Vec<usize>,
}

impl<V> Default for PrefixTable<V> {
    fn default() -> Self {
        Self {
            exact: Vec::new(),
            prefixes: Vec::new(),
            lengths: Vec::new(),
        }
    }
}

impl<V> PrefixTable<V>
where
    V: Default,
{
    /// The value of `key`, which is inserted if there is none.
    ///
    /// This is cheap if keys are inserted in sorted order, since each new one is appended then.
    pub(crate) fn entry(&mut self, key: TableKey<'_>) -> &mut V {
        match key {
            TableKey::Exact(text) => entry_in(&mut self.exact, text),
            TableKey::Prefix(text) => {
                if let Err(position) = self.lengths.binary_search(&text.len()) {
                    self.lengths.insert(position, text.len());
                }
                entry_in(&mut self.prefixes, text)
            }
        }
    }
}

impl<V> PrefixTable<V> {
    /// Calls `visit` with the value of each key that matches `text`.
    pub(crate) fn for_each<F>(&self, text: &str, mut visit: F)
    where
        F: FnMut(&V),
    {
        if let Some(value) = find(&self.exact, text.as_bytes()) {
            visit(value);
        }
        self.for_each_prefix(text, visit);
    }

    /// Calls `visit` with the value of each key that matches every text that begins with `text`.
    pub(crate) fn for_each_prefix<F>(&self, text: &str, mut visit: F)
    where
        F: FnMut(&V),
    {
        for length in &self.lengths {
            let Some(prefix) = text.as_bytes().get(..*length) else {
                return;
            };
            if let Some(value) = find(&self.prefixes, prefix) {
                visit(value);
            }
        }
    }
}

fn find<'a, V>(entries: &'a [(Box<str>, V)], key: &[u8]) -> Option<&'a V> {
    let position = entries.binary_search_by(|(text, _)| text.as_bytes().cmp(key));
    position.ok().map(|position| &entries[position].1)
}

fn entry_in<'a, V>(entries: &'a mut Vec<(Box<str>, V)>, key: &str) -> &'a mut V
where
    V: Default,
{
    let position = match entries.binary_search_by(|(text, _)| text.as_ref().cmp(key)) {
        Ok(position) => position,
        Err(position) => {
            entries.insert(position, (Box::from(key), V::default()));
            position
        }
    };
    &mut entries[position].1
}
