//! The meshes and scenarios in `examples/` are valid.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use anvil_standins::{mesh, scenario};
use anvil_testkit::test_cases;

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn check_mesh(folder: &str, instances: usize) {
    let text = fs::read_to_string(examples().join(folder).join("mesh.yaml")).unwrap();
    let mesh = mesh::MeshPlan::parse(&text).unwrap();
    let count: usize = mesh.services.iter().map(|service| service.instances).sum();
    assert_eq!(count, instances);
}

test_cases! {
    check_mesh:
    reclamo_simple_has_sixteen_instances => ("reclamo-simple", 16),
    marche_armor_has_twelve_instances => ("marche-armor", 12),
}

#[test]
fn every_scenario_names_a_mesh() {
    let mut count = 0;
    for entry in fs::read_dir(examples().join("scenarios")).unwrap() {
        let text = fs::read_to_string(entry.unwrap().path()).unwrap();
        let plan = scenario::ScenarioPlan::parse(&text).unwrap();
        assert!(examples().join(&plan.mesh).join("mesh.yaml").exists());
        count += 1;
    }
    assert_eq!(count, 21);
}

#[test]
fn undefined_service_is_refused() {
    let text = fs::read_to_string(examples().join("marche-armor/mesh.yaml")).unwrap();
    let text = text.replace("name: directory", "name: registry");
    let error = mesh::MeshPlan::parse(&text).unwrap_err();
    assert_eq!(
        error.to_string(),
        "service directory is named but not defined"
    );
}
