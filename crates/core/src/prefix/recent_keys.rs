//! Keys in the order of their last use, bounded in number.

use std::collections::BTreeMap;

/// A bounded table whose oldest entries are dropped first.
#[derive(Clone, Debug)]
pub struct RecentKeys<K, V> {
    max_len: usize,
    entries: BTreeMap<K, (u64, V)>,
    by_last_use: BTreeMap<u64, K>,
    uses_count: u64,
}

impl<K: Copy + Ord, V> RecentKeys<K, V> {
    /// An empty table that holds at most `max_len` keys.
    pub const fn new(max_len: usize) -> Self {
        Self {
            max_len,
            entries: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            uses_count: 0,
        }
    }

    /// Whether a further key would make the table drop its oldest one.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_len
    }

    /// The value of a key. Not a use.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// The value of a key, to change it in place. Not a use.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|(_, value)| value)
    }

    /// Adds a key, or records its use with a new value. A full table drops its oldest key for a new one.
    pub fn insert(&mut self, key: K, value: V) {
        self.uses_count += 1;
        self.by_last_use.insert(self.uses_count, key);
        if let Some((earlier, _)) = self.entries.insert(key, (self.uses_count, value)) {
            self.by_last_use.remove(&earlier);
        }
        if self.entries.len() > self.max_len {
            self.pop_oldest(|_| true);
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let (used, value) = self.entries.remove(key)?;
        self.by_last_use.remove(&used);
        Some(value)
    }

    /// Removes the oldest key whose value satisfies `may_drop`.
    pub fn pop_oldest(&mut self, may_drop: impl Fn(&V) -> bool) -> Option<V> {
        let (oldest, _) = self.oldest(may_drop)?;
        self.remove(&oldest)
    }

    /// The oldest key whose value satisfies `matches`.
    pub fn oldest(&self, matches: impl Fn(&V) -> bool) -> Option<(K, &V)> {
        let keys = self.by_last_use.values();
        let mut entries = keys.filter_map(|key| Some((*key, self.get(key)?)));
        entries.find(|(_, value)| matches(value))
    }

    /// The leading keys that the table has, up to the first one that it lacks.
    pub fn leading<'a>(
        &'a self,
        keys: impl IntoIterator<Item = K> + 'a,
    ) -> impl Iterator<Item = &'a V> {
        keys.into_iter().map_while(|key| self.get(&key))
    }

    /// All keys with their values, the latest use first.
    pub fn newest(&self) -> impl Iterator<Item = (K, &V)> {
        let keys = self.by_last_use.values().rev();
        keys.filter_map(|key| Some((*key, self.get(key)?)))
    }
}
