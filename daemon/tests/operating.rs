//! `docs/OPERATING.md` describes each setting of a VM of a fleet.

use std::path::Path;

use foldlockd::fleet::config::Fleet;

#[test]
fn operating_md_names_each_setting_of_a_fleet() {
    let any = "127.0.0.1:1".parse().unwrap();
    let fleet = Fleet {
        ready: any,
        peers: any,
        metrics: Some(any),
        directory: String::new(),
        processor: 1.0,
        memory_mb: 1,
        write_timeout_ms: 1,
        settings_age_ms: Some(1),
        memory_release_ms: 1,
        stop_ms: 1,
        repeat_ratio: 0.0,
        repeat_slack: 0.0,
        repeat_window_ms: 1,
        scheduling: Default::default(),
    };
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATING.md");
    let page = std::fs::read_to_string(page).unwrap();
    let section = page.split("## A VM of a fleet").nth(1).unwrap();
    let fields = serde_json::to_value(fleet).unwrap();
    for name in fields.as_object().unwrap().keys() {
        assert!(
            section.contains(&format!("`{name}`")),
            "docs/OPERATING.md does not mention {name}"
        );
    }
}
