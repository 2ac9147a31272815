//! Tests of the dense map and the interner.

use std::collections::BTreeMap;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use redwingrill_entity::EntityMap;
use redwingrill_entity::EntityRef;
use redwingrill_entity::Interner;
use redwingrill_entity::UpstreamId;

const SIZE: usize = 100;
const SEED: u64 = 1;

fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED)).quickcheck(property);
}

#[test]
fn maps_and_interners_agree_with_simple_models() {
    fn map_agrees_with_a_tree_map(steps: Vec<(u8, Option<u16>)>) -> bool {
        let mut map = EntityMap::new();
        let mut model = BTreeMap::new();
        for (index, value) in steps {
            let key = UpstreamId::from_index(index.into());
            match value {
                Some(value) => assert_eq!(map.insert(key, value), model.insert(key, value)),
                None => assert_eq!(map.remove(key), model.remove(&key)),
            }
        }
        map.len() == model.len() && map.iter().eq(model.iter().map(|(&key, value)| (key, value)))
    }

    fn interner_keeps_each_name(names: Vec<String>) -> bool {
        let mut interner = Interner::<UpstreamId>::new();
        let keys: Vec<_> = names.iter().map(|name| interner.intern(name)).collect();
        keys.iter()
            .zip(&names)
            .all(|(&key, name)| interner.name(key) == name && interner.find(name) == Some(key))
    }

    check(map_agrees_with_a_tree_map as fn(Vec<(u8, Option<u16>)>) -> bool);
    check(interner_keeps_each_name as fn(Vec<String>) -> bool);
}
