//! Response bodies of `GET /v1/models` and `GET /v1/models/{model}`.

use model::{ModelName, UpstreamKind, View};
use serde::Serialize;

/// The list of models in `OpenAI`'s format.
#[derive(Debug, Serialize)]
pub(crate) struct ModelList {
    object: &'static str,
    data: Vec<ModelObject>,
}

#[derive(Debug, Serialize)]
pub(crate) struct ModelObject {
    id: ModelName,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl ModelList {
    /// Lists every model that is configured or that some engine has loaded.
    pub(crate) fn new(view: &View) -> Self {
        let mut names: Vec<ModelName> = Vec::new();
        names.extend(view.config.models.iter().map(|entry| entry.model.clone()));
        for upstream in &view.upstreams {
            if let UpstreamKind::Engine { models } = &upstream.kind {
                names.extend(models.iter().cloned());
            }
        }
        names.sort_unstable();
        names.dedup();
        Self {
            object: "list",
            data: names.into_iter().map(ModelObject::new).collect(),
        }
    }

    /// Returns the model named `name`, if it is listed.
    pub(crate) fn find(self, name: &str) -> Option<ModelObject> {
        self.data
            .into_iter()
            .find(|object| object.id.as_str() == name)
    }
}

impl ModelObject {
    fn new(id: ModelName) -> Self {
        Self {
            id,
            object: "model",
            created: 0,
            owned_by: "redwingtack",
        }
    }
}
