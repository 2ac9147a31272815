//! A map from entity identifiers to values, held in one vector.

use std::marker::PhantomData;

use crate::EntityRef;

/// A dense map keyed by an entity identifier. A lookup indexes a vector; an absent entity takes the
/// space of an `Option<V>`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntityMap<K, V> {
    slots: Vec<Option<V>>,
    len: usize,
    key: PhantomData<K>,
}

impl<K: EntityRef, V> EntityMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self { slots: Vec::new(), len: 0, key: PhantomData }
    }

    /// Returns the number of entities that have a value.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no entity has a value.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of an entity.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())?.as_ref()
    }

    /// Returns a mutable reference to the value of an entity.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    /// Returns whether the entity has a value.
    pub fn contains(&self, key: K) -> bool {
        self.get(key).is_some()
    }

    /// Sets the value of an entity and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let index = key.index();
        if index >= self.slots.len() {
            self.slots.resize_with(index + 1, || None);
        }
        let old = self.slots[index].replace(value);
        self.len += usize::from(old.is_none());
        old
    }

    /// Returns the value of an entity and inserts the result of `make` first if it is absent.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        if !self.contains(key) {
            self.insert(key, make());
        }
        self.get_mut(key).expect("the value was just inserted")
    }

    /// Removes the value of an entity and returns it.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let old = self.slots.get_mut(key.index())?.take();
        self.len -= usize::from(old.is_some());
        old
    }

    /// Removes all entities for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(K, &mut V) -> bool) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let Some(value) = slot else { continue };
            if !keep(K::from_index(index), value) {
                *slot = None;
                self.len -= 1;
            }
        }
    }

    /// Iterates over the entities and their values in the order of the identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| Some((K::from_index(index), slot.as_ref()?)))
    }

    /// Iterates over the entities and their mutable values in the order of the identifiers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        let slots = self.slots.iter_mut().enumerate();
        slots.filter_map(|(index, slot)| Some((K::from_index(index), slot.as_mut()?)))
    }

    /// Iterates over the identifiers in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.iter().map(|(key, _)| key)
    }

    /// Iterates over the values in the order of their identifiers.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.iter().map(|(_, value)| value)
    }
}

impl<K: EntityRef, V> Default for EntityMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: EntityRef, V> FromIterator<(K, V)> for EntityMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = Self::new();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}
