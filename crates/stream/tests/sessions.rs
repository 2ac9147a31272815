//! Golden tests of sessions: the handling of each event and fault of a stream.
//!
//! A script has one step per line: `stream [usage]`, `event [N] DATA`, `attempt`, `length`, or
//! `fault KIND`. `$ID` in data is replaced by the completion identifier of the current attempt.

use redwingrill_stream::Delivery;
use redwingrill_stream::Fault;
use redwingrill_stream::Recovery;
use redwingrill_stream::RecoveryLimits;
use redwingrill_stream::SseEvent;
use redwingrill_stream::Transcript;

struct Session {
    transcript: Transcript,
    recovery: Recovery,
    attempt: u32,
    attempt_started: bool,
}

impl Session {
    fn new(wants_usage: bool) -> Self {
        Self {
            transcript: Transcript::new("answer", "req-0", wants_usage),
            recovery: Recovery::new(RecoveryLimits::default()),
            attempt: 0,
            attempt_started: false,
        }
    }

    fn step(&mut self, line: &str) -> String {
        let (step, arguments) = line.split_once(' ').unwrap_or((line, ""));
        match step {
            "stream" => {
                *self = Self::new(arguments == "usage");
                "started".to_owned()
            }
            "event" => self.event(arguments),
            "attempt" => {
                self.attempt += 1;
                self.attempt_started = false;
                self.transcript.begin_attempt(&format!("req-{}", self.attempt));
                format!("after {:?}", self.transcript.text())
            }
            "length" => self.transcript.finish_by_length().to_json(),
            "fault" => self.fault(arguments),
            other => panic!("unknown step {other}"),
        }
    }

    fn event(&mut self, arguments: &str) -> String {
        let (number, data) = match arguments.split_once(' ') {
            Some((number, data)) if number.parse::<u64>().is_ok() => (number.parse().ok(), data),
            _ => (None, arguments),
        };
        let data = data.replace("$ID", &format!("chatcmpl-req-{}", self.attempt));
        match self.transcript.accept(&SseEvent { id: number, data }) {
            Ok(delivery) => {
                self.attempt_started = true;
                self.recovery.event_received();
                match delivery {
                    Delivery::Chunk(chunk) => format!("deliver {}", chunk.to_json()),
                    Delivery::Skip => "skip".to_owned(),
                    Delivery::End => "end".to_owned(),
                }
            }
            Err(e) => format!("rejected: {e}"),
        }
    }

    fn fault(&mut self, kind: &str) -> String {
        let fault = match kind {
            "unreachable" => Fault::Unreachable,
            "broken" => Fault::Broken,
            "silent" => Fault::Silent,
            "crossed" => Fault::Crossed,
            "garbage" => Fault::Garbage,
            "refused" => Fault::Refused,
            "failed" => Fault::Failed,
            other => panic!("unknown fault {other}"),
        };
        let transcript = &self.transcript;
        let continuable = !transcript.has_output() || transcript.is_continuable();
        format!("{:?}", self.recovery.action_after(fault, self.attempt_started, continuable))
    }
}

#[test]
fn sessions_match_golden_cases() {
    redwingrill_golden::run_dir("tests/cases", |input| {
        let mut session = Session::new(false);
        let lines = input.lines().filter(|line| !line.is_empty());
        let steps = lines.map(|line| format!("{line}\n  -> {}", session.step(line)));
        steps.collect::<Vec<_>>().join("\n")
    });
}
