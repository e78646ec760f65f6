//! Runs scenarios on real node processes and prints a table of the results of their callers.
//!
//! `cargo build --release && cargo run --release --example experiment -- --help`

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::{env, fs};

use anvil_standins::store::server;
use anvil_standins::{experiment, mesh, process, report, scenario};
use anvil_types::context;
use eyre::{WrapErr, ensure};

const HELP: &str = "\
Runs scenarios of examples/scenarios on real node processes.

USAGE:
    experiment [--scenarios NAME,...] [--variants NAME,...] [--seeds COUNT] [--folder DIR]

OPTIONS:
    --scenarios NAME,...  Files of examples/scenarios without their extension; all by default
    --variants NAME,...   full, naive, or no-SAFEGUARD such as no-cut-line; full,naive by default
    --seeds COUNT         Runs of each, with seeds from one; 3 by default
    --folder DIR          Folder for settings and logs; a temporary folder by default
";

/// The safeguards that can be switched off, as named in `docs/design`.
const SAFEGUARDS: [&str; 18] = [
    "adaptive-limit",
    "cold-ramp",
    "attribution",
    "ranked-queue",
    "bounded-queue",
    "deadline-drop",
    "cut-line",
    "early-refusal",
    "deep-refusal",
    "chain-allowance",
    "retry-ratio",
    "backoff",
    "better-of-two",
    "zone-preference",
    "slow-start",
    "ejection",
    "cancellation",
    "quarantine",
];

/// What to run.
#[derive(Debug)]
struct TablePlan {
    scenarios: Vec<String>,
    variants: Vec<String>,
    seeds: u64,
    folder: PathBuf,
}

fn main() -> eyre::Result<ExitCode> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print(HELP);
        return Ok(ExitCode::SUCCESS);
    }
    let plan = TablePlan {
        scenarios: match arguments.opt_value_from_str::<_, String>("--scenarios")? {
            Some(names) => split(&names),
            None => all_scenarios()?,
        },
        variants: match arguments.opt_value_from_str::<_, String>("--variants")? {
            Some(names) => split(&names),
            None => split("full,naive"),
        },
        seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(3),
        folder: match arguments.opt_value_from_str("--folder")? {
            Some(folder) => folder,
            None => env::temp_dir().join(format!("anvil-experiment-{}", std::process::id())),
        },
    };
    let unknown = arguments.finish();
    ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}");
    fs::create_dir_all(&plan.folder)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(print_table(&plan))?;
    Ok(ExitCode::SUCCESS)
}

fn print(text: &str) {
    use std::io::Write;
    // A closed pipe is not an error: the reader does not need the rest of the table.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn split(names: &str) -> Vec<String> {
    names.split(',').map(str::to_owned).collect()
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn all_scenarios() -> eyre::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(examples().join("scenarios"))? {
        let path = entry?.path();
        names.extend(
            path.file_stem()
                .map(|name| name.to_string_lossy().into_owned()),
        );
    }
    names.sort_unstable();
    Ok(names)
}

async fn print_table(plan: &TablePlan) -> eyre::Result<()> {
    print(
        "| scenario | version | critical % | high % | normal % | low % | goodput /s | wasted % \
         | runs per root | recovery s | most runs per key | foreign | strangers | silent | cut | whole of all \
         | node CPU µs per run | most MB |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for name in &plan.scenarios {
        for variant in &plan.variants {
            let mut reports = Vec::new();
            for seed in 1..=plan.seeds {
                let report = run_one(plan, name, variant, seed).await;
                reports.push(report.wrap_err_with(|| format!("{name}, {variant}, seed {seed}"))?);
            }
            print(&row(name, variant, &reports));
        }
    }
    Ok(())
}

async fn run_one(
    plan: &TablePlan,
    name: &str,
    variant: &str,
    seed: u64,
) -> eyre::Result<report::RunReport> {
    let file = examples().join("scenarios").join(format!("{name}.yaml"));
    let text = fs::read_to_string(&file).wrap_err_with(|| file.display().to_string())?;
    let scenario = scenario::ScenarioPlan::parse(&text)?;
    let folder = examples().join(&scenario.mesh);
    let mesh = mesh::MeshPlan::parse(&fs::read_to_string(folder.join("mesh.yaml"))?)?;
    let store = server::StoreServer::start(seed)?;
    let run_folder = plan.folder.join(format!("{name}-{variant}-{seed}"));
    fs::create_dir_all(&run_folder)?;
    let scenario = Arc::new(scenario);
    let ledger = experiment::run_recorded(experiment::ExperimentPlan {
        starter: starter(node_binary()?, run_folder.clone()),
        mesh: Arc::new(mesh),
        scenario: Arc::clone(&scenario),
        rules: Some(fs::read_to_string(folder.join("rules.yaml"))?),
        store: store.address(),
        extra_settings: variant_settings(variant)?,
        seed,
    })
    .await?;
    let findings = report::findings(&ledger);
    if !findings.is_empty() {
        let file = run_folder.join("findings.txt");
        fs::write(&file, findings.join("\n") + "\n")?;
        warn(&format!(
            "{} findings in {}\n",
            findings.len(),
            file.display()
        ));
    }
    let report = report::RunReport::of(&ledger, &scenario);
    if report.foreign_runs > 0 {
        // The targets received requests of another program, so the figures of the run are invalid.
        warn(&format!("{} RUNS OF OTHER PROGRAMS\n", report.foreign_runs));
    }
    Ok(report)
}

fn warn(text: &str) {
    use std::io::Write;
    // A closed standard error is not a failure: the table is still printed.
    let _ = std::io::stderr().write_all(text.as_bytes());
}

fn starter(binary: PathBuf, folder: PathBuf) -> Arc<process::NodeStarter> {
    Arc::new(move |name, settings| {
        let plan = process::ProcessPlan {
            binary: &binary,
            folder: &folder,
            name,
            settings,
        };
        let node = process::NodeProcess::start(&plan)?;
        Ok(Box::new(node) as Box<dyn process::NodeHandle>)
    })
}

/// The path of the node's binary, in the parent of the folder of this example.
fn node_binary() -> eyre::Result<PathBuf> {
    let here = env::current_exe()?;
    let folder = here.parent().and_then(Path::parent);
    let binary = folder.map(|folder| folder.join("anvil-node"));
    let binary = binary.filter(|binary| binary.exists());
    binary.ok_or_else(|| eyre::eyre!("build the node first: cargo build --release"))
}

fn variant_settings(variant: &str) -> eyre::Result<String> {
    let off: Vec<&str> = match variant {
        "full" => Vec::new(),
        "naive" => SAFEGUARDS.to_vec(),
        other => {
            let name = other.strip_prefix("no-").unwrap_or(other);
            ensure!(SAFEGUARDS.contains(&name), "unknown version {variant}");
            vec![name]
        }
    };
    if off.is_empty() {
        return Ok(String::new());
    }
    let lines = off
        .iter()
        .map(|name| format!("  {}: false\n", name.replace('-', "_")));
    Ok(format!("policy:\n{}", lines.collect::<String>()))
}

fn row(name: &str, variant: &str, reports: &[report::RunReport]) -> String {
    let mut cells = vec![name.to_owned(), variant.to_owned()];
    for class in context::PriorityClass::ALL.iter().rev() {
        let shares = reports.iter().filter_map(|report| report.share(*class));
        cells.push(spread(shares.collect(), 1));
    }
    let figures: [fn(&report::RunReport) -> f64; 3] = [
        |report| report.goodput,
        |report| report.wasted_percent,
        |report| report.runs_per_root,
    ];
    for figure in figures {
        cells.push(spread(reports.iter().map(figure).collect(), 1));
    }
    cells.push(recovery(reports));
    let counts: [fn(&report::RunReport) -> usize; 5] = [
        |report| report.max_runs_per_key,
        |report| report.foreign,
        |report| report.foreign_runs,
        |report| report.silent,
        |report| report.cut,
    ];
    for count in counts {
        let max = reports.iter().map(count).max().unwrap_or(0);
        cells.push(max.to_string());
    }
    let complete: usize = reports.iter().map(|report| report.all.complete).sum();
    let sent: usize = reports.iter().map(|report| report.all.sent).sum();
    cells.push(format!("{complete} of {sent}"));
    let costs: [fn(&report::RunReport) -> f64; 2] = [
        |report| report.cpu_micros_per_run,
        |report| report.max_megabytes,
    ];
    for cost in costs {
        cells.push(spread(reports.iter().map(cost).collect(), 0));
    }
    format!("| {} |\n", cells.join(" | "))
}

/// Formats the median and the range.
fn spread(mut values: Vec<f64>, digits: usize) -> String {
    values.sort_unstable_by(f64::total_cmp);
    let (Some(min), Some(max)) = (values.first(), values.last()) else {
        return "–".to_owned();
    };
    let median = values[values.len() / 2];
    if values.len() == 1 {
        return format!("{median:.digits$}");
    }
    format!("{median:.digits$} ({min:.digits$}–{max:.digits$})")
}

fn recovery(reports: &[report::RunReport]) -> String {
    let recovered: Vec<f64> = reports
        .iter()
        .filter_map(|report| report.recovery)
        .collect();
    let never = reports.len() - recovered.len();
    let mut text = spread(recovered, 1);
    if never > 0 {
        text = format!("{text}, never in {never}");
    }
    text
}
