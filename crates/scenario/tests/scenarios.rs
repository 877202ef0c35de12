//! Every scenario of the `scenarios` folder, each with processes of its own.

use std::{fs, path::Path};

use scenario::{parse_script, run_script};

async fn check(name: &str) {
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
                check(stringify!($name)).await;
            }
        )*

        /// Each file of the folder is run.
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
            let mut run = vec![$(stringify!($name)),*];
            run.sort_unstable();
            assert_eq!(names, run);
        }
    };
}

scenarios! {
    standin_faults
}
