//! The engines of each model.

use xxhash_rust::xxh3::xxh3_64;

use redwingrill_entity::DomainId;
use redwingrill_entity::EntityMap;
use redwingrill_entity::ModelId;
use redwingrill_entity::UpstreamId;

/// An engine as described by the configuration and the instance list.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec<'a> {
    /// The identifier within this process.
    pub upstream: UpstreamId,
    /// The name, which is the same on every node.
    pub name: &'a str,
    /// The model it serves.
    pub model: ModelId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// An engine that prompts can be placed on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Engine {
    /// The identifier within this process.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The hash of its name, which is the same on all nodes. Identifiers differ between processes.
    pub key: u64,
}

/// The engines of every model.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    by_model: EntityMap<ModelId, Vec<Engine>>,
}

impl Fleet {
    /// Replaces all engines.
    pub fn set_engines<'a>(&mut self, specs: impl IntoIterator<Item = EngineSpec<'a>>) {
        self.by_model = EntityMap::new();
        for spec in specs {
            let key = xxh3_64(spec.name.as_bytes());
            let engine = Engine { upstream: spec.upstream, domain: spec.domain, key };
            self.by_model.get_or_insert_with(spec.model, Vec::new).push(engine);
        }
        for (_, engines) in self.by_model.iter_mut() {
            engines.sort_by_key(|engine| engine.key);
        }
    }

    /// Returns the engines of a model, sorted by key.
    pub fn of_model(&self, model: ModelId) -> &[Engine] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.by_model.values().map(Vec::len).sum()
    }

    /// Returns whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Checks the invariants and returns the first violation as an error.
    pub fn verify(&self) -> Result<(), String> {
        let mut seen = EntityMap::<UpstreamId, ()>::new();
        for (model, engines) in self.by_model.iter() {
            if !engines.is_sorted_by_key(|engine| engine.key) {
                return Err(format!("engines of {model} are out of order"));
            }
            for engine in engines {
                if seen.insert(engine.upstream, ()).is_some() {
                    return Err(format!("{} is listed twice", engine.upstream));
                }
            }
        }
        Ok(())
    }
}
