//! Lists that a peer can't make longer than agreed.

use std::fmt;
use std::marker::PhantomData;

use serde::{Deserialize, Deserializer, de};

/// Reads a list of at most `LIMIT` entries.
///
/// An entry may take one byte on the wire and a hundred in memory, so a frame within its limit
/// could otherwise make the receiver reserve many times that; the announced length alone makes
/// it reserve a megabyte. Here memory grows with the entries that are really there.
pub fn list<'de, D, T, const LIMIT: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor::<T, LIMIT>(PhantomData))
}

struct ListVisitor<T, const LIMIT: usize>(PhantomData<T>);

impl<'de, T, const LIMIT: usize> de::Visitor<'de> for ListVisitor<T, LIMIT>
where
    T: Deserialize<'de>,
{
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at most {LIMIT} entries")
    }

    fn visit_seq<A>(self, mut access: A) -> Result<Vec<T>, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_element()? {
            if entries.len() == LIMIT {
                return Err(de::Error::invalid_length(LIMIT + 1, &self));
            }
            entries.push(entry);
        }
        Ok(entries)
    }
}
