//! Deserialization of lists with a maximum length.

use std::fmt;
use std::marker::PhantomData;

use serde::{Deserialize, Deserializer, de};

/// Deserializes a list of at most `MAX_ENTRIES` entries.
///
/// An entry may take one byte on the wire and a hundred in memory, so without a limit a frame of
/// legal size could make the receiver allocate many times its size; `Vec`'s own deserialization
/// reserves up to a megabyte for the announced length alone. Here memory grows only with the
/// entries that are actually present.
pub fn list<'de, D, T, const MAX_ENTRIES: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor::<T, MAX_ENTRIES>(PhantomData))
}

struct ListVisitor<T, const MAX_ENTRIES: usize>(PhantomData<T>);

impl<'de, T, const MAX_ENTRIES: usize> de::Visitor<'de> for ListVisitor<T, MAX_ENTRIES>
where
    T: Deserialize<'de>,
{
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at most {MAX_ENTRIES} entries")
    }

    fn visit_seq<A>(self, mut access: A) -> Result<Vec<T>, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_element()? {
            if entries.len() == MAX_ENTRIES {
                return Err(de::Error::invalid_length(MAX_ENTRIES + 1, &self));
            }
            entries.push(entry);
        }
        Ok(entries)
    }
}
