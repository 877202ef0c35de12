//! Runs every scenario of the `scenarios` folder, each with its own processes.

use std::{fs, path::Path};

use scenario::{parse_script, run_script};

async fn assert_scenario_passes(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let path = folder.join(format!("{name}.txt"));
    let text = fs::read_to_string(&path).expect("the scenario can be read");
    let outcome = match parse_script(&text) {
        Ok(script) => run_script(name, folder, script).await,
        Err(error) => Err(error.into()),
    };
    if let Err(error) = outcome {
        panic!("{name}: {error}");
    }
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                assert_scenario_passes(stringify!($name)).await;
            }
        )*

        /// Guards against a scenario file that is in the folder but missing from
        /// the list below, and so would never run.
        #[test]
        fn scenarios_complete() {
            let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
            let files = fs::read_dir(folder).expect("the folder can be read");
            let mut names: Vec<_> = files
                .map(|file| file.expect("the file can be read").path())
                .filter(|path| path.extension().is_some_and(|extension| extension == "txt"))
                .map(|path| path.file_stem().unwrap_or_default().to_owned())
                .collect();
            names.sort();
            let mut listed = vec![$(stringify!($name)),*];
            listed.sort_unstable();
            assert_eq!(names, listed);
        }
    };
}

scenarios! {
    batch_killed_after_commit
    batch_killed_after_result_object
    batch_killed_before_commit
    batch_killed_during_result_object
    batch_killed_twice
    batch_killed_while_items_run
    batch_paused_past_its_lease
    burst_over_backlog
    call_refused_while_platform_down
    callers_share_a_prompt
    config_answer_lost
    config_with_platform_down_after_write
    control_paused_across_two_versions
    control_restarted_during_outage
    engine_cuts_streams
    engine_killed_under_load
    engine_leaving_with_list_late
    engine_leaving_with_platform_down
    entry_killed_after_dispatch
    entry_restarted_during_outage
    holder_loses_its_windows
    holder_paused_at_its_commit
    instance_lost_after_acknowledgement
    job_cancelled_while_items_run
    job_cancelled_with_commit_in_flight
    job_costs_few_writes
    job_sent_to_two_entries
    large_job_in_little_memory
    operators_race
    operators_race_with_answers_lost
    planned_stop_under_load
    planned_stop_with_platform_down
    platform_answers_lost
    platform_down_while_items_run
    platform_limited_while_items_run
    platform_slow_while_items_run
    rack_killed
    second_signal_ends_at_once
    service_breaks_connection
    standin_faults
}
