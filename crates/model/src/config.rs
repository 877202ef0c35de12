//! The fleet configuration: a version, classes and the defaults of models.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::{Class, ClassName, ClassTarget, ModelName, ServiceName, ServiceTarget};

const MS_PER_S: u64 = 1_000;
const NAME_MAX_BYTES: usize = 64;

/// Everything operators decide, as one versioned document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version of the document; higher replaces lower. Zero means none yet.
    pub version: u64,
    /// Classes, sorted by name.
    pub classes: Vec<Class>,
    /// Defaults of models, sorted by model.
    pub models: Vec<ModelDefaults>,
}

/// Classes that a model's requests fall into when the caller names none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDefaults {
    /// The model.
    pub model: ModelName,
    /// Class of online requests without a class of their own.
    pub online_class: Option<ClassName>,
    /// Class of batch jobs without a class of their own.
    pub batch_class: Option<ClassName>,
}

/// One mistake in a configuration document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigProblem {
    /// Line of the document, counted from one.
    pub line: usize,
    /// What is wrong and what was expected.
    pub message: String,
}

impl FleetConfig {
    /// Finds a class by name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        let index = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(name))
            .ok()?;
        Some(&self.classes[index])
    }

    /// Finds the defaults of a model.
    #[must_use]
    pub fn model_defaults(&self, name: &str) -> Option<&ModelDefaults> {
        let index = self
            .models
            .binary_search_by(|entry| entry.model.as_str().cmp(name))
            .ok()?;
        Some(&self.models[index])
    }

    /// Finds the class that calls to a service belong to.
    #[must_use]
    pub fn service_class(&self, service: &str) -> Option<&Class> {
        self.classes.iter().find(|class| match &class.target {
            ClassTarget::Service(target) => target.service.as_str() == service,
            ClassTarget::Online { .. } | ClassTarget::Batch { .. } => false,
        })
    }
}

/// Parses a TOML document of `[[class]]` and `[[model]]` tables.
///
/// # Errors
///
/// Returns every problem found, each with its line.
pub fn parse_config(text: &str) -> Result<FleetConfig, Vec<ConfigProblem>> {
    let document: Document = match toml::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let start = error.span().map_or(0, |span| span.start);
            return Err(vec![problem(text, start, error.message())]);
        }
    };
    let mut checker = Checker {
        text,
        problems: Vec::new(),
    };
    let config = checker.check(document);
    if checker.problems.is_empty() {
        Ok(config)
    } else {
        Err(checker.problems)
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    class: Vec<toml::Spanned<ClassTable>>,
    #[serde(default)]
    model: Vec<toml::Spanned<ModelTable>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    name: toml::Spanned<String>,
    work: toml::Spanned<String>,
    first_token_ms: Option<toml::Spanned<u64>>,
    between_tokens_ms: Option<toml::Spanned<u64>>,
    percent: Option<toml::Spanned<u8>>,
    complete_within_s: Option<toml::Spanned<u64>>,
    service: Option<toml::Spanned<String>>,
    answer_within_ms: Option<toml::Spanned<u64>>,
    idempotent: Option<bool>,
    customer_requests_per_s: Option<toml::Spanned<u32>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelTable {
    name: toml::Spanned<String>,
    online_class: Option<toml::Spanned<String>>,
    batch_class: Option<toml::Spanned<String>>,
}

struct Checker<'a> {
    text: &'a str,
    problems: Vec<ConfigProblem>,
}

impl Checker<'_> {
    fn check(&mut self, document: Document) -> FleetConfig {
        let mut config = FleetConfig::default();
        for table in document.class {
            let span = table.span();
            if let Some(class) = self.class(table.into_inner(), &span) {
                self.insert_class(&mut config, class, span.start);
            }
        }
        for table in document.model {
            let span = table.span();
            let defaults = self.model(&config, table.into_inner());
            self.insert_model(&mut config, defaults, span.start);
        }
        config
    }

    fn class(&mut self, table: ClassTable, span: &Range<usize>) -> Option<Class> {
        self.name(&table.name);
        let target = match table.work.get_ref().as_str() {
            "online" => self.online(&table, span),
            "batch" => self.batch(&table, span),
            "service" => self.service(&table, span),
            _ => {
                let at = table.work.span().start;
                self.push(at, "work must be \"online\", \"batch\" or \"service\"");
                None
            }
        };
        let limit = self.customer_limit(&table);
        Some(Class {
            name: ClassName::from(table.name.into_inner()),
            target: target?,
            customer_requests_per_s: limit,
        })
    }

    fn customer_limit(&mut self, table: &ClassTable) -> Option<u32> {
        let limit = table.customer_requests_per_s.as_ref()?;
        let at = limit.span().start;
        if *limit.get_ref() == 0 {
            self.push(at, "customer_requests_per_s must be at least 1");
        }
        // Items of jobs share the fleet by their deadlines and by customer.
        if table.work.get_ref() == "batch" {
            let message = "customer_requests_per_s does not apply to work = \"batch\"";
            self.push(at, message);
        }
        Some(*limit.get_ref())
    }

    fn online(&mut self, table: &ClassTable, span: &Range<usize>) -> Option<ClassTarget> {
        let first_token_ms = self.positive(table.first_token_ms.as_ref(), "first_token_ms", span);
        let between_tokens_ms =
            self.positive(table.between_tokens_ms.as_ref(), "between_tokens_ms", span);
        let percent = table
            .percent
            .as_ref()
            .map_or(95, |percent| *percent.get_ref());
        if percent == 0 || percent > 100 {
            let at = table
                .percent
                .as_ref()
                .map_or(span.start, |percent| percent.span().start);
            self.push(at, "percent must be from 1 to 100");
        }
        Some(ClassTarget::Online {
            first_token_ms: first_token_ms?,
            between_tokens_ms: between_tokens_ms?,
            percent,
        })
    }

    fn batch(&mut self, table: &ClassTable, span: &Range<usize>) -> Option<ClassTarget> {
        let within_s =
            self.positive(table.complete_within_s.as_ref(), "complete_within_s", span)?;
        Some(ClassTarget::Batch {
            complete_within_ms: within_s.saturating_mul(MS_PER_S),
        })
    }

    fn service(&mut self, table: &ClassTable, span: &Range<usize>) -> Option<ClassTarget> {
        let answer_within_ms =
            self.positive(table.answer_within_ms.as_ref(), "answer_within_ms", span);
        let Some(service) = &table.service else {
            self.push(span.start, "a class with work = \"service\" needs service");
            return None;
        };
        Some(ClassTarget::Service(ServiceTarget {
            service: ServiceName::new(service.get_ref()),
            answer_within_ms: answer_within_ms?,
            idempotent: table.idempotent.unwrap_or(false),
        }))
    }

    fn model(&mut self, config: &FleetConfig, table: ModelTable) -> ModelDefaults {
        self.name(&table.name);
        ModelDefaults {
            online_class: self.default_class(config, table.online_class, true),
            batch_class: self.default_class(config, table.batch_class, false),
            model: ModelName::from(table.name.into_inner()),
        }
    }

    fn default_class(
        &mut self,
        config: &FleetConfig,
        name: Option<toml::Spanned<String>>,
        online: bool,
    ) -> Option<ClassName> {
        let name = name?;
        let wanted = if online { "online" } else { "batch" };
        let fits = config
            .class(name.get_ref())
            .map(|class| match class.target {
                ClassTarget::Online { .. } => online,
                ClassTarget::Batch { .. } => !online,
                ClassTarget::Service(_) => false,
            });
        if fits != Some(true) {
            let message = format!("there is no {wanted} class named {:?}", name.get_ref());
            self.push(name.span().start, &message);
        }
        Some(ClassName::from(name.into_inner()))
    }

    fn insert_class(&mut self, config: &mut FleetConfig, class: Class, at: usize) {
        match config
            .classes
            .binary_search_by(|other| other.name.cmp(&class.name))
        {
            Ok(_) => self.push(at, &format!("class {:?} stands twice", class.name.as_str())),
            Err(index) => config.classes.insert(index, class),
        }
    }

    fn insert_model(&mut self, config: &mut FleetConfig, defaults: ModelDefaults, at: usize) {
        match config
            .models
            .binary_search_by(|other| other.model.cmp(&defaults.model))
        {
            Ok(_) => self.push(
                at,
                &format!("model {:?} stands twice", defaults.model.as_str()),
            ),
            Err(index) => config.models.insert(index, defaults),
        }
    }

    fn name(&mut self, name: &toml::Spanned<String>) {
        let text = name.get_ref();
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if text.is_empty() || text.len() > NAME_MAX_BYTES || !text.chars().all(allowed) {
            let message = "a name has 1 to 64 letters, digits, '-', '_' or '.'";
            self.push(name.span().start, message);
        }
    }

    fn positive(
        &mut self,
        value: Option<&toml::Spanned<u64>>,
        key: &str,
        table: &Range<usize>,
    ) -> Option<u64> {
        match value {
            None => {
                self.push(table.start, &format!("{key} is missing"));
                None
            }
            Some(value) if *value.get_ref() == 0 => {
                self.push(value.span().start, &format!("{key} must be at least 1"));
                None
            }
            Some(value) => Some(*value.get_ref()),
        }
    }

    fn push(&mut self, at: usize, message: &str) {
        self.problems.push(problem(self.text, at, message));
    }
}

fn problem(text: &str, at: usize, message: &str) -> ConfigProblem {
    let before = text.get(..at).unwrap_or(text);
    ConfigProblem {
        line: before.matches('\n').count() + 1,
        message: message.to_owned(),
    }
}
