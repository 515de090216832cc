//! Runs the scripts of `scenarios/`. `REWRITE=1` accepts new reports.

use datadriven::walk;
use persimmon_scenario::run_script;

#[test]
fn scenarios() {
    walk("../../scenarios", |file| {
        file.run(|case| -> String {
            assert_eq!(
                case.directive, "scenario",
                "a script starts with `scenario`"
            );
            run_script(&case.input)
        });
    });
}
