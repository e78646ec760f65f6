//! Values by exact text or by prefix, in sorted vectors.

/// A text that stands for itself or for all texts that begin with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TableKey<'a> {
    /// The text itself.
    Exact(&'a str),
    /// All texts that begin with this one; the empty one stands for all.
    Prefix(&'a str),
}

/// The key that stands for all texts.
pub(crate) const MATCH_ALL: TableKey<'static> = TableKey::Prefix("");

/// Finds the values of all keys that stand for a text, with one binary search for the text and
/// one for each length that a prefix has.
#[derive(Clone, Debug)]
pub(crate) struct KeyTable<V> {
    exact: Vec<(Box<str>, V)>,
    prefixes: Vec<(Box<str>, V)>,
    /// Lengths of the prefixes, sorted, each once.
    lengths: Vec<usize>,
}

impl<V> Default for KeyTable<V> {
    fn default() -> Self {
        Self {
            exact: Vec::new(),
            prefixes: Vec::new(),
            lengths: Vec::new(),
        }
    }
}

impl<V> KeyTable<V>
where
    V: Default,
{
    /// The value of `key`, made where there is none.
    ///
    /// Cheap where keys come in their order, as each new one then stands at the end.
    pub(crate) fn entry(&mut self, key: TableKey<'_>) -> &mut V {
        match key {
            TableKey::Exact(text) => entry_in(&mut self.exact, text),
            TableKey::Prefix(text) => {
                if let Err(place) = self.lengths.binary_search(&text.len()) {
                    self.lengths.insert(place, text.len());
                }
                entry_in(&mut self.prefixes, text)
            }
        }
    }
}

impl<V> KeyTable<V> {
    /// Calls `visit` with the value of each key that stands for `text`.
    pub(crate) fn for_each<F>(&self, text: &str, mut visit: F)
    where
        F: FnMut(&V),
    {
        if let Some(value) = find(&self.exact, text.as_bytes()) {
            visit(value);
        }
        self.for_each_prefix(text, visit);
    }

    /// Calls `visit` with the value of each key that stands for all texts that begin with `text`.
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
    let place = entries.binary_search_by(|(text, _)| text.as_bytes().cmp(key));
    place.ok().map(|place| &entries[place].1)
}

fn entry_in<'a, V>(entries: &'a mut Vec<(Box<str>, V)>, key: &str) -> &'a mut V
where
    V: Default,
{
    let place = match entries.binary_search_by(|(text, _)| text.as_ref().cmp(key)) {
        Ok(place) => place,
        Err(place) => {
            entries.insert(place, (Box::from(key), V::default()));
            place
        }
    };
    &mut entries[place].1
}
