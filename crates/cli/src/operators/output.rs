//! Human-readable output of the API's responses.

use serde_json::Value;

/// Formats the classes with their targets, and the default classes of models.
pub fn classes(config: &Value) -> String {
    let mut text = format!("version {}\n", config["version"]);
    let rows = elements(&config["classes"]).iter().map(|class| {
        let limit = match &class["customer_requests_per_s"] {
            Value::Null => "-".to_owned(),
            limit => limit.to_string(),
        };
        vec![
            cell_text(&class["name"]),
            format_target(&class["target"]),
            limit,
        ]
    });
    text += &table(&["CLASS", "TARGET", "CUSTOMER LIMIT/S"], rows);
    let rows = elements(&config["models"]).iter().map(|model| {
        vec![
            cell_text(&model["model"]),
            cell_text(&model["online_class"]),
            cell_text(&model["batch_class"]),
        ]
    });
    text + &table(&["MODEL", "ONLINE CLASS", "BATCH CLASS"], rows)
}

/// Formats the response to an accepted change.
pub fn applied(change: &Value) -> String {
    format!(
        "version {} is accepted; `redwingtack config status` shows where it is in force\n",
        change["version"]
    )
}

/// Formats which version is in force on each node.
pub fn config_status(status: &Value) -> String {
    let mut text = format!(
        "version {} is in force on {} of {} nodes\n",
        status["version"], status["confirmed"], status["total"]
    );
    for region in elements(&status["unreachable_regions"]) {
        text.extend([format!("region {} cannot be reached\n", cell_text(region))]);
    }
    let rows = elements(&status["nodes"]).iter().map(|node| {
        let state = match (&node["version"], &node["confirmed"]) {
            (Value::Null, _) => "no answer",
            (_, Value::Bool(true)) => "confirmed",
            _ => "older version",
        };
        let cells = [&node["region"], &node["id"], &node["version"]];
        let mut cells: Vec<String> = cells.into_iter().map(cell_text).collect();
        cells.push(state.to_owned());
        cells
    });
    text + &table(&["REGION", "NODE", "VERSION", "STATE"], rows)
}

/// Formats a page of jobs.
pub fn jobs(page: &Value) -> String {
    let rows = elements(&page["jobs"]).iter().map(|row| {
        let job = &row["job"];
        let fields = [&row["id"], &job["customer"], &job["class"], &job["items"]];
        let mut cells: Vec<String> = fields.into_iter().map(cell_text).collect();
        cells.push(variant_name(&job["state"]));
        cells
    });
    let mut text = table(&["JOB", "CUSTOMER", "CLASS", "ITEMS", "STATE"], rows);
    if page["more"] == Value::Bool(true) {
        text += "more jobs follow\n";
    }
    text
}

/// Formats one job with all its fields.
pub fn job(row: &Value) -> String {
    let mut text = format!("job {}\n", cell_text(&row["id"]));
    if let Value::Object(fields) = &row["job"] {
        for (name, value) in fields {
            text.extend([format!("{name} {}\n", cell_text(value))]);
        }
    }
    text
}

/// Formats the upstreams.
pub fn upstreams(rows: &Value) -> String {
    let rows = elements(rows).iter().map(|row| {
        let serves = served_names(&row["kind"]);
        let fields = [
            &row["id"],
            &row["liveness"],
            &row["region"],
            &row["failure_domain"],
            &row["address"],
        ];
        let mut cells: Vec<String> = fields.into_iter().map(cell_text).collect();
        cells.push(serves);
        cells
    });
    let header = ["UPSTREAM", "STATE", "REGION", "DOMAIN", "ADDRESS", "SERVES"];
    table(&header, rows)
}

/// Formats the models of an engine, or the name of a service.
fn served_names(kind: &Value) -> String {
    let models = elements(&kind["Engine"]["models"]);
    match &kind["Service"]["service"] {
        Value::Null => models.iter().map(cell_text).collect::<Vec<_>>().join(","),
        service => cell_text(service),
    }
}

/// Formats the programs of the fleet.
pub fn instances(rows: &Value) -> String {
    let rows = elements(rows).iter().map(|row| {
        let fields = [
            &row["id"],
            &row["role"],
            &row["liveness"],
            &row["region"],
            &row["failure_domain"],
            &row["peer_address"],
        ];
        fields.into_iter().map(cell_text).collect()
    });
    let header = ["INSTANCE", "ROLE", "STATE", "REGION", "DOMAIN", "ADDRESS"];
    table(&header, rows)
}

/// Formats the records of configuration changes.
pub fn audit(records: &Value) -> String {
    let rows = elements(records).iter().map(|record| {
        let fields = [
            &record["to_version"],
            &record["from_version"],
            &record["who"],
            &record["changed_at_ms"],
            &record["outcome"],
            &record["operation"],
        ];
        fields.into_iter().map(cell_text).collect()
    });
    let header = ["VERSION", "FROM", "WHO", "UNIX MS", "OUTCOME", "OPERATION"];
    table(&header, rows)
}

/// Formats an error response, with each problem on a line of its own.
pub fn refusal(body: &Value) -> String {
    let error = &body["error"];
    let code = cell_text(&error["code"]);
    let mut text = format!("redwingtack: {code}: {}\n", cell_text(&error["message"]));
    for problem in elements(&error["problems"]) {
        let message = cell_text(&problem["message"]);
        text.extend([format!("  line {}: {message}\n", problem["line"])]);
    }
    if let Value::Object(_) = error["winner"] {
        let winner = &error["winner"];
        let (who, version) = (cell_text(&winner["who"]), &winner["to_version"]);
        text.extend([format!(
            "  {who} made version {version}; look at it and apply again\n"
        )]);
    }
    if let Value::String(operation) = &error["operation"] {
        text.extend([format!("  operation {operation}\n")]);
    }
    text
}

/// Formats the target of a class as its variant and fields.
fn format_target(target: &Value) -> String {
    let Value::Object(variants) = target else {
        return cell_text(target);
    };
    let mut parts = Vec::new();
    for (variant, fields) in variants {
        parts.push(variant.to_lowercase());
        if let Value::Object(fields) = fields {
            parts.extend(
                fields
                    .iter()
                    .map(|(name, value)| format!("{name}={}", cell_text(value))),
            );
        }
    }
    parts.join(" ")
}

/// Returns the name of an enum variant in its JSON form.
fn variant_name(value: &Value) -> String {
    match value {
        Value::Object(fields) => fields.keys().cloned().collect(),
        other => cell_text(other),
    }
}

/// Formats a value as the text of a cell.
fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns the elements of an array, or none if the value is not an array.
fn elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Formats a table whose columns are as wide as their widest cells.
fn table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(header).chain(rows).collect();
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
