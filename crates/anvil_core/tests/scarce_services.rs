//! All tests of the reducer again, with the safeguards for scarce services as the settings in
//! `deploy/` switch them on; see `docs/SCARCE-SERVICES.md`.

#![allow(
    clippy::duplicate_mod,
    reason = "each test file brings its own copy of the helpers, as a binary of its own does"
)]

#[path = "accounts.rs"]
mod accounts;
#[path = "applying.rs"]
mod applying;
#[path = "births.rs"]
mod births;
#[path = "blame.rs"]
mod blame;
#[path = "broken_links.rs"]
mod broken_links;
#[path = "fair_lanes.rs"]
mod fair_lanes;
#[path = "fleet.rs"]
mod fleet;
#[path = "inheriting.rs"]
mod inheriting;
#[path = "keyed.rs"]
mod keyed;
#[path = "keyed_storms.rs"]
mod keyed_storms;
#[path = "leaving_targets.rs"]
mod leaving_targets;
#[path = "memory.rs"]
mod memory;
#[path = "named_rates.rs"]
mod named_rates;
#[path = "notes.rs"]
mod notes;
#[path = "overload.rs"]
mod overload;
#[path = "platform_hardships.rs"]
mod platform_hardships;
#[path = "poison.rs"]
mod poison;
#[path = "quarantined.rs"]
mod quarantined;
#[path = "refused_calls.rs"]
mod refused_calls;
#[path = "restarts.rs"]
mod restarts;
#[path = "return_order.rs"]
mod return_order;
#[path = "rules.rs"]
mod rules;
#[path = "silent_stops.rs"]
mod silent_stops;
#[path = "stated_facts.rs"]
mod stated_facts;
#[path = "verdicts.rs"]
mod verdicts;
#[path = "whole_path.rs"]
mod whole_path;

use anvil_overload::policy;

// Guards against safeguards that are switched on for users and play in no test.
#[test]
fn the_deployment_switches_on_what_these_tests_play() {
    let settings = include_str!("../../../deploy/node.yaml");
    let played = serde_json::to_value(policy::OverloadPolicy::SCARCE_SERVICES).expect("a table");
    let usual = serde_json::to_value(policy::OverloadPolicy::FULL).expect("a table");
    let played = played.as_object().expect("a table").iter();
    for (name, value) in played.filter(|(name, value)| usual[name.as_str()] != **value) {
        assert!(settings.contains(&format!("  {name}: {value}\n")), "{name}");
    }
}
