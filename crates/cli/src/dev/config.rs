//! Fleet configuration that `redwingtack dev` applies.

/// Configuration document in the format of `redwingtack classes apply`.
pub const CONFIG: &str = r#"
[[class]]
name = "hint"
work = "online"
first_token_ms = 430
between_tokens_ms = 64
percent = 95

[[class]]
name = "reply"
work = "online"
first_token_ms = 430
between_tokens_ms = 64
percent = 95

[[class]]
name = "bundle"
work = "batch"
complete_within_s = 600

[[class]]
name = "allocation"
work = "batch"
complete_within_s = 3600

[[class]]
name = "booking"
work = "service"
service = "courts"
answer_within_ms = 1000
idempotent = false

[[class]]
name = "lookup"
work = "service"
service = "courts"
answer_within_ms = 1000
idempotent = true

[[model]]
name = "oraculo"
online_class = "hint"
batch_class = "bundle"

[[model]]
name = "platzbot"
online_class = "reply"
batch_class = "allocation"
"#;
