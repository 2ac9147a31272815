//! The README's first command, with `--once`.

use std::process::Command;

#[test]
fn quickstart_answers_a_completion_and_runs_an_order_once() {
    let output = Command::new(env!("CARGO_BIN_EXE_redwingrill-lab"))
        .args(["quickstart", "--once"])
        .output()
        .expect("a command that runs");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stdout}{stderr}");
    assert!(stdout.contains("completion: 12 of 12 tokens, Complete"), "{stdout}");
    assert!(stdout.contains("ran 1 times"), "{stdout}");
}
