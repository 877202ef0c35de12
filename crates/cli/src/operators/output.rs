//! Answers of the API as text for people.

use serde_json::Value;

/// Classes, targets and defaults of models.
pub fn classes(config: &Value) -> String {
    let mut text = format!("version {}\n", config["version"]);
    let rows = list(&config["classes"]).iter().map(|class| {
        let limit = match &class["customer_requests_per_s"] {
            Value::Null => "-".to_owned(),
            limit => limit.to_string(),
        };
        vec![plain(&class["name"]), target(&class["target"]), limit]
    });
    text += &table(&["CLASS", "TARGET", "CUSTOMER LIMIT/S"], rows);
    let rows = list(&config["models"]).iter().map(|model| {
        vec![
            plain(&model["model"]),
            plain(&model["online_class"]),
            plain(&model["batch_class"]),
        ]
    });
    text + &table(&["MODEL", "ONLINE CLASS", "BATCH CLASS"], rows)
}

/// An accepted change.
pub fn applied(answer: &Value) -> String {
    format!(
        "version {} is accepted; `redwingtack config status` tells where it is in force\n",
        answer["version"]
    )
}

/// Who has which version in force.
pub fn config_status(status: &Value) -> String {
    let mut text = format!(
        "version {} is in force on {} of {} nodes\n",
        status["version"], status["confirmed"], status["total"]
    );
    for region in list(&status["unreachable_regions"]) {
        text.extend([format!("region {} cannot be reached\n", plain(region))]);
    }
    let rows = list(&status["nodes"]).iter().map(|node| {
        let state = match (&node["version"], &node["confirmed"]) {
            (Value::Null, _) => "no answer",
            (_, Value::Bool(true)) => "confirmed",
            _ => "older version",
        };
        let cells = [&node["region"], &node["id"], &node["version"]];
        let mut cells: Vec<String> = cells.into_iter().map(plain).collect();
        cells.push(state.to_owned());
        cells
    });
    text + &table(&["REGION", "NODE", "VERSION", "STATE"], rows)
}

/// A page of jobs.
pub fn jobs(page: &Value) -> String {
    let rows = list(&page["jobs"]).iter().map(|row| {
        let job = &row["job"];
        let fields = [&row["id"], &job["customer"], &job["class"], &job["items"]];
        let mut cells: Vec<String> = fields.into_iter().map(plain).collect();
        cells.push(variant(&job["state"]));
        cells
    });
    let mut text = table(&["JOB", "CUSTOMER", "CLASS", "ITEMS", "STATE"], rows);
    if page["more"] == Value::Bool(true) {
        text += "more jobs follow\n";
    }
    text
}

/// One job, all its fields.
pub fn job(row: &Value) -> String {
    let mut text = format!("job {}\n", plain(&row["id"]));
    if let Value::Object(fields) = &row["job"] {
        for (name, value) in fields {
            text.extend([format!("{name} {}\n", plain(value))]);
        }
    }
    text
}

/// Upstreams.
pub fn upstreams(rows: &Value) -> String {
    let rows = list(rows).iter().map(|row| {
        let serves = serves(&row["kind"]);
        let fields = [
            &row["id"],
            &row["liveness"],
            &row["region"],
            &row["failure_domain"],
            &row["address"],
        ];
        let mut cells: Vec<String> = fields.into_iter().map(plain).collect();
        cells.push(serves);
        cells
    });
    let head = ["UPSTREAM", "STATE", "REGION", "DOMAIN", "ADDRESS", "SERVES"];
    table(&head, rows)
}

/// Models of an engine or name of a service.
fn serves(kind: &Value) -> String {
    let models = list(&kind["Engine"]["models"]);
    match &kind["Service"]["service"] {
        Value::Null => models.iter().map(plain).collect::<Vec<_>>().join(","),
        service => plain(service),
    }
}

/// Programs of the fleet.
pub fn instances(rows: &Value) -> String {
    let rows = list(rows).iter().map(|row| {
        let fields = [
            &row["id"],
            &row["role"],
            &row["liveness"],
            &row["region"],
            &row["failure_domain"],
            &row["peer_address"],
        ];
        fields.into_iter().map(plain).collect()
    });
    let head = ["INSTANCE", "ROLE", "STATE", "REGION", "DOMAIN", "ADDRESS"];
    table(&head, rows)
}

/// Changes of the configuration.
pub fn audit(records: &Value) -> String {
    let rows = list(records).iter().map(|record| {
        let fields = [
            &record["to_version"],
            &record["from_version"],
            &record["who"],
            &record["changed_at_ms"],
            &record["outcome"],
            &record["operation"],
        ];
        fields.into_iter().map(plain).collect()
    });
    let head = ["VERSION", "FROM", "WHO", "UNIX MS", "OUTCOME", "OPERATION"];
    table(&head, rows)
}

/// A refusal, with every problem on a line of its own.
pub fn refusal(body: &Value) -> String {
    let error = &body["error"];
    let code = plain(&error["code"]);
    let mut text = format!("redwingtack: {code}: {}\n", plain(&error["message"]));
    for problem in list(&error["problems"]) {
        let message = plain(&problem["message"]);
        text.extend([format!("  line {}: {message}\n", problem["line"])]);
    }
    if let Value::Object(_) = error["winner"] {
        let winner = &error["winner"];
        let (who, version) = (plain(&winner["who"]), &winner["to_version"]);
        text.extend([format!(
            "  {who} made version {version}; look at it and apply again\n"
        )]);
    }
    if let Value::String(operation) = &error["operation"] {
        text.extend([format!("  operation {operation}\n")]);
    }
    text
}

fn target(target: &Value) -> String {
    let Value::Object(variants) = target else {
        return plain(target);
    };
    let mut parts = Vec::new();
    for (variant, fields) in variants {
        parts.push(variant.to_lowercase());
        if let Value::Object(fields) = fields {
            parts.extend(
                fields
                    .iter()
                    .map(|(name, value)| format!("{name}={}", plain(value))),
            );
        }
    }
    parts.join(" ")
}

fn variant(value: &Value) -> String {
    match value {
        Value::Object(fields) => fields.keys().cloned().collect(),
        other => plain(other),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Columns that are as wide as their widest cell.
fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(rows).collect();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let mut text = String::new();
    for row in &rows {
        let cells = row
            .iter()
            .enumerate()
            .map(|(column, cell)| format!("{cell:<width$}", width = width(column)));
        let line: Vec<String> = cells.collect();
        text += line.join("  ").trim_end();
        text.push('\n');
    }
    text
}
