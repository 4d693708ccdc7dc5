//! Tests of the files under `deploy/`: the template, rendered as the platform does it, is a valid
//! configuration.

use std::path::{Path, PathBuf};

use clap::Parser as _;
use foldlockd::app::App;
use foldlockd::config::{Config, Mode};
use serde_json::{Value, json};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned()
}

fn sample() -> Value {
    json!({
        "Node": "front-a-1", "Ip": "10.1.0.40", "Zone": "a",
        "Listen": {"Front": "10.1.0.40:8227", "Ready": "10.1.0.40:8220"},
        "PortRange": [7340, 7355], "Limits": {"CpuShare": 0.12, "MemoryMb": 160},
        "Bounds": {"GraceS": 8, "StrictRevoke": true, "RevokeMs": 5000, "RetryRatio": 0.2,
                   "RetryWindowS": 10, "RetrySlack": 100, "ReleaseMs": 3000},
        "Provider": {"Address": "10.200.1.7:8223"}
    })
}

fn value<'a>(fields: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(fields, |value, name| match value {
        Value::Array(entries) => entries.get(name.parse::<usize>().ok()?),
        _ => value.get(name),
    })
}

/// Renders a template: variables `{{a.b}}` and conditional sections `{{#a}} .. {{/a}}`.
fn render(template: &str, fields: &Value) -> String {
    let Some((before, rest)) = template.split_once("{{") else { return template.to_owned() };
    let (tag, rest) = rest.split_once("}}").expect("unterminated variable");
    if let Some(name) = tag.strip_prefix('#') {
        let (inner, after) =
            rest.split_once(&format!("{{{{/{name}}}}}")).expect("unterminated section");
        let enabled = value(fields, name).is_some_and(|v| *v != json!(false));
        let inner = if enabled { render(inner, fields) } else { String::new() };
        return format!("{before}{inner}{}", render(after, fields));
    }
    let text = match value(fields, tag) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    };
    format!("{before}{text}{}", render(rest, fields))
}

fn template() -> String {
    std::fs::read_to_string(root().join("deploy/vm.jsonc")).unwrap()
}

fn read(fields: &Value) -> Mode {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), render(&template(), fields)).unwrap();
    let app = App::parse_from(["foldlockd", "--config", file.path().to_str().unwrap()]);
    Config::read(app).unwrap()
}

#[test]
fn the_rendered_template_is_a_valid_configuration() {
    let Mode::Fleet(config) = read(&sample()) else { panic!("not the configuration of a fleet") };
    assert_eq!(config.vm.as_str(), "front-a-1");
    assert_eq!(config.listen.to_string(), "10.1.0.40:8227");
    assert_eq!(config.fleet.peers.to_string(), "10.1.0.40:7340");
    assert_eq!(config.fleet.settings_age_ms, Some(5_000));
    assert_eq!(config.fleet.stop_timeout().as_secs(), 8);
    assert_eq!(config.fleet.memory_release_ms, 3_000);
    assert_eq!(config.fleet.budget().slack, 100.0);
    assert_eq!(config.fleet.millicores(), 120);
    assert_eq!(config.fleet.memory(), 160_000_000);
}

#[test]
fn without_strict_revoke_there_is_no_maximum_settings_age() {
    let mut fields = sample();
    fields["Bounds"]["StrictRevoke"] = json!(false);
    let Mode::Fleet(config) = read(&fields) else { panic!("not the configuration of a fleet") };
    assert_eq!(config.fleet.max_settings_age(), None);
}

#[test]
fn without_a_memory_bound_the_default_applies() {
    let mut fields = sample();
    fields["Bounds"].as_object_mut().unwrap().remove("ReleaseMs");
    let Mode::Fleet(config) = read(&fields) else { panic!("not the configuration of a fleet") };
    assert_eq!(config.fleet.memory_release_ms, 4_000);
}

/// Guards against a setting that has no effect without another one: shares are computed only with forecasts.
#[test]
fn fair_shares_without_forecasts_are_reported_with_their_path() {
    let shares = |admission: &str| {
        let rendered = render(&template(), &sample());
        let (before, scheduling) = rendered.split_once("\"scheduling\": {").unwrap();
        let (_, after) = scheduling.split_once('}').unwrap();
        let section = format!("\"admission\": \"{admission}\", \"fair_shares\": true");
        let file = tempfile::NamedTempFile::new().unwrap();
        let text = format!("{before}\"scheduling\": {{ {section} }}{after}");
        std::fs::write(file.path(), text).unwrap();
        let app = App::parse_from(["foldlockd", "--config", file.path().to_str().unwrap()]);
        Config::read(app).map(drop).map_err(|e| e.to_string())
    };
    let error = shares("timeout").unwrap_err();
    assert!(error.contains("fleet.scheduling.fair_shares: requires"), "{error}");
    assert_eq!(shares("forecast"), Ok(()));
}

#[test]
fn an_unknown_name_is_reported_with_the_file() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), r#"{"vm": "v", "hall": "h", "fleets": {}}"#).unwrap();
    let app = App::parse_from(["foldlockd", "--config", file.path().to_str().unwrap()]);
    let error = Config::read(app).unwrap_err().to_string();
    assert!(error.contains("fleets"), "{error}");
    assert!(error.contains(file.path().to_str().unwrap()), "{error}");
}

#[test]
fn system_toml_names_existing_files() {
    let text = std::fs::read_to_string(root().join("deploy/system.toml")).unwrap();
    assert!(text.contains("run = \"target/release/foldlockd\""));
    assert!(text.contains("template = \"deploy/vm.jsonc\""));
    assert!(root().join("deploy/vm.jsonc").is_file());
}
