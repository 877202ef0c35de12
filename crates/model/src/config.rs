//! The fleet configuration and the parser of configuration documents.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::{Class, ClassName, ClassTarget, ModelName, ServiceName, ServiceTarget};

const MS_PER_S: u64 = 1_000;
const NAME_MAX_BYTES: usize = 64;

/// Configuration of the fleet, which operators set as one versioned document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version of the document. A higher version replaces a lower one; zero
    /// means that there is no configuration yet.
    pub version: u64,
    /// Classes of work, sorted by name.
    pub classes: Vec<Class>,
    /// Defaults of the models, sorted by model name.
    pub models: Vec<ModelDefaults>,
}

/// Default classes of the requests to one model, used if the caller names no
/// class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDefaults {
    /// The model.
    pub model: ModelName,
    /// Class of online requests that name no class.
    pub online_class: Option<ClassName>,
    /// Class of batch jobs that name no class.
    pub batch_class: Option<ClassName>,
}

/// A problem found in a configuration document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigProblem {
    /// Line number in the document, starting at one.
    pub line: usize,
    /// Description of the problem, with the expected value if there is one.
    pub message: String,
}

impl FleetConfig {
    /// Returns the class named `name`.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        let index = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(name))
            .ok()?;
        Some(&self.classes[index])
    }

    /// Returns the defaults of the model named `name`.
    #[must_use]
    pub fn model_defaults(&self, name: &str) -> Option<&ModelDefaults> {
        let index = self
            .models
            .binary_search_by(|defaults| defaults.model.as_str().cmp(name))
            .ok()?;
        Some(&self.models[index])
    }

    /// Returns the class of calls to `service`. If several classes have this
    /// service as their target, returns the first by name.
    #[must_use]
    pub fn service_class(&self, service: &str) -> Option<&Class> {
        self.classes.iter().find(|class| match &class.target {
            ClassTarget::Service(target) => target.service.as_str() == service,
            ClassTarget::Online { .. } | ClassTarget::Batch { .. } => false,
        })
    }
}

/// Parses and validates a TOML document of `[[class]]` and `[[model]]` tables.
///
/// The version of the returned configuration is zero.
///
/// # Errors
///
/// Returns all problems found, each with its line number. For a document that is
/// not valid TOML or has a missing, unknown or ill-typed key, this is only the
/// first problem that the TOML parser reports.
pub fn parse_config(text: &str) -> Result<FleetConfig, Vec<ConfigProblem>> {
    let document: Document = match toml::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let start = error.span().map_or(0, |span| span.start);
            return Err(vec![problem_at(text, start, error.message())]);
        }
    };
    let mut validator = Validator {
        text,
        problems: Vec::new(),
    };
    let config = validator.validate(document);
    if validator.problems.is_empty() {
        Ok(config)
    } else {
        Err(validator.problems)
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

struct Validator<'a> {
    text: &'a str,
    problems: Vec<ConfigProblem>,
}

impl Validator<'_> {
    fn validate(&mut self, document: Document) -> FleetConfig {
        let mut config = FleetConfig::default();
        for table in document.class {
            let span = table.span();
            if let Some(class) = self.class_from_table(table.into_inner(), &span) {
                self.insert_class(&mut config, class, span.start);
            }
        }
        for table in document.model {
            let span = table.span();
            let defaults = self.model_defaults(&config, table.into_inner());
            self.insert_model(&mut config, defaults, span.start);
        }
        config
    }

    fn class_from_table(&mut self, table: ClassTable, span: &Range<usize>) -> Option<Class> {
        self.validate_name(&table.name);
        let target = match table.work.get_ref().as_str() {
            "online" => self.online_target(&table, span),
            "batch" => self.batch_target(&table, span),
            "service" => self.service_target(&table, span),
            _ => {
                let offset = table.work.span().start;
                self.report(offset, "work must be \"online\", \"batch\" or \"service\"");
                None
            }
        };
        let limit = self.customer_rate_limit(&table);
        Some(Class {
            name: ClassName::from(table.name.into_inner()),
            target: target?,
            customer_requests_per_s: limit,
        })
    }

    fn customer_rate_limit(&mut self, table: &ClassTable) -> Option<u32> {
        let limit = table.customer_requests_per_s.as_ref()?;
        let offset = limit.span().start;
        if *limit.get_ref() == 0 {
            self.report(offset, "customer_requests_per_s must be at least 1");
        }
        // Batch items are scheduled by job deadline and by customer; no request
        // rate limit is enforced on them.
        if table.work.get_ref() == "batch" {
            let message = "customer_requests_per_s does not apply to work = \"batch\"";
            self.report(offset, message);
        }
        Some(*limit.get_ref())
    }

    fn online_target(&mut self, table: &ClassTable, span: &Range<usize>) -> Option<ClassTarget> {
        let first_token_ms =
            self.required_positive(table.first_token_ms.as_ref(), "first_token_ms", span);
        let between_tokens_ms =
            self.required_positive(table.between_tokens_ms.as_ref(), "between_tokens_ms", span);
        let percent = table
            .percent
            .as_ref()
            .map_or(95, |percent| *percent.get_ref());
        if percent == 0 || percent > 100 {
            let offset = table
                .percent
                .as_ref()
                .map_or(span.start, |percent| percent.span().start);
            self.report(offset, "percent must be from 1 to 100");
        }
        Some(ClassTarget::Online {
            first_token_ms: first_token_ms?,
            between_tokens_ms: between_tokens_ms?,
            percent,
        })
    }

    fn batch_target(&mut self, table: &ClassTable, span: &Range<usize>) -> Option<ClassTarget> {
        let complete_within_s =
            self.required_positive(table.complete_within_s.as_ref(), "complete_within_s", span)?;
        Some(ClassTarget::Batch {
            complete_within_ms: complete_within_s.saturating_mul(MS_PER_S),
        })
    }

    fn service_target(&mut self, table: &ClassTable, span: &Range<usize>) -> Option<ClassTarget> {
        let answer_within_ms =
            self.required_positive(table.answer_within_ms.as_ref(), "answer_within_ms", span);
        let Some(service) = &table.service else {
            self.report(
                span.start,
                "service is missing; work = \"service\" requires it",
            );
            return None;
        };
        Some(ClassTarget::Service(ServiceTarget {
            service: ServiceName::new(service.get_ref()),
            answer_within_ms: answer_within_ms?,
            idempotent: table.idempotent.unwrap_or(false),
        }))
    }

    fn model_defaults(&mut self, config: &FleetConfig, table: ModelTable) -> ModelDefaults {
        self.validate_name(&table.name);
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
        is_online: bool,
    ) -> Option<ClassName> {
        let name = name?;
        let expected_work = if is_online { "online" } else { "batch" };
        let has_expected_work = config
            .class(name.get_ref())
            .map(|class| match class.target {
                ClassTarget::Online { .. } => is_online,
                ClassTarget::Batch { .. } => !is_online,
                ClassTarget::Service(_) => false,
            });
        if has_expected_work != Some(true) {
            let message = format!(
                "{expected_work}_class must name a class with work = \"{expected_work}\", got {:?}",
                name.get_ref()
            );
            self.report(name.span().start, &message);
        }
        Some(ClassName::from(name.into_inner()))
    }

    fn insert_class(&mut self, config: &mut FleetConfig, class: Class, offset: usize) {
        match config
            .classes
            .binary_search_by(|other| other.name.cmp(&class.name))
        {
            Ok(_) => self.report(
                offset,
                &format!("class {:?} is defined more than once", class.name.as_str()),
            ),
            Err(index) => config.classes.insert(index, class),
        }
    }

    fn insert_model(&mut self, config: &mut FleetConfig, defaults: ModelDefaults, offset: usize) {
        match config
            .models
            .binary_search_by(|other| other.model.cmp(&defaults.model))
        {
            Ok(_) => self.report(
                offset,
                &format!(
                    "model {:?} is defined more than once",
                    defaults.model.as_str()
                ),
            ),
            Err(index) => config.models.insert(index, defaults),
        }
    }

    fn validate_name(&mut self, name: &toml::Spanned<String>) {
        let value = name.get_ref();
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if value.is_empty() || value.len() > NAME_MAX_BYTES || !value.chars().all(is_allowed) {
            let message = "name must be 1 to 64 ASCII letters, digits, '-', '_' or '.'";
            self.report(name.span().start, message);
        }
    }

    fn required_positive(
        &mut self,
        value: Option<&toml::Spanned<u64>>,
        key: &str,
        table: &Range<usize>,
    ) -> Option<u64> {
        match value {
            None => {
                self.report(table.start, &format!("{key} is missing"));
                None
            }
            Some(value) if *value.get_ref() == 0 => {
                self.report(value.span().start, &format!("{key} must be at least 1"));
                None
            }
            Some(value) => Some(*value.get_ref()),
        }
    }

    fn report(&mut self, offset: usize, message: &str) {
        self.problems.push(problem_at(self.text, offset, message));
    }
}

fn problem_at(text: &str, offset: usize, message: &str) -> ConfigProblem {
    let preceding_text = text.get(..offset).unwrap_or(text);
    ConfigProblem {
        line: preceding_text.matches('\n').count() + 1,
        message: message.to_owned(),
    }
}
