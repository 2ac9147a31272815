//! A two-way mapping between names and identifiers.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::sync::Arc;

use crate::EntityRef;

/// Assigns each distinct name one identifier, in the order of first use.
#[derive(Clone, Debug)]
pub struct Interner<K> {
    by_name: HashMap<Arc<str>, usize>,
    names: Vec<Arc<str>>,
    key: PhantomData<K>,
}

impl<K: EntityRef> Interner<K> {
    /// Creates an empty interner.
    pub fn new() -> Self {
        Self { by_name: HashMap::new(), names: Vec::new(), key: PhantomData }
    }

    /// Returns the identifier of a name and assigns one if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&index) = self.by_name.get(name) {
            return K::from_index(index);
        }
        let index = self.names.len();
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.by_name.insert(name, index);
        K::from_index(index)
    }

    /// Returns the identifier of a name, if the name was interned.
    pub fn find(&self, name: &str) -> Option<K> {
        self.by_name.get(name).map(|&index| K::from_index(index))
    }

    /// Returns the name of an identifier that this interner assigned.
    pub fn name(&self, key: K) -> &str {
        &self.names[key.index()]
    }

    /// Returns the number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether no name was interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

impl<K: EntityRef> Default for Interner<K> {
    fn default() -> Self {
        Self::new()
    }
}
