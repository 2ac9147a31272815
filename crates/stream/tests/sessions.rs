//! Golden sessions: the events of a stream and exactly what is done with each.
//!
//! A script has one step a line: `stream [usage]`, `event [N] DATA`, `leg`, `length`, or
//! `fault KIND`. `$ID` in data stands for the identifier of the present leg's completion.

use redwingrill_stream::Delivery;
use redwingrill_stream::Fault;
use redwingrill_stream::Recovery;
use redwingrill_stream::RecoveryLimits;
use redwingrill_stream::SseEvent;
use redwingrill_stream::Transcript;

struct Session {
    transcript: Transcript,
    recovery: Recovery,
    leg: u32,
    leg_began: bool,
}

impl Session {
    fn new(wants_usage: bool) -> Self {
        Self {
            transcript: Transcript::new("answer", "req-0", wants_usage),
            recovery: Recovery::new(RecoveryLimits::default()),
            leg: 0,
            leg_began: false,
        }
    }

    fn step(&mut self, line: &str) -> String {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "stream" => {
                *self = Self::new(rest == "usage");
                "begun".to_owned()
            }
            "event" => self.event(rest),
            "leg" => {
                self.leg += 1;
                self.leg_began = false;
                self.transcript.begin_attempt(&format!("req-{}", self.leg));
                format!("after {:?}", self.transcript.text())
            }
            "length" => self.transcript.finish_by_length().to_json(),
            "fault" => self.fault(rest),
            other => panic!("no step is called {other}"),
        }
    }

    fn event(&mut self, rest: &str) -> String {
        let (number, data) = match rest.split_once(' ') {
            Some((number, data)) if number.parse::<u64>().is_ok() => (number.parse().ok(), data),
            _ => (None, rest),
        };
        let data = data.replace("$ID", &format!("chatcmpl-req-{}", self.leg));
        match self.transcript.accept(&SseEvent { id: number, data }) {
            Ok(delivery) => {
                self.leg_began = true;
                self.recovery.event_received();
                match delivery {
                    Delivery::Chunk(chunk) => format!("deliver {}", chunk.to_json()),
                    Delivery::Skip => "nothing".to_owned(),
                    Delivery::End => "end".to_owned(),
                }
            }
            Err(e) => format!("refused: {e}"),
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
            other => panic!("no fault is called {other}"),
        };
        let transcript = &self.transcript;
        let continuable = !transcript.has_output() || transcript.is_continuable();
        format!("{:?}", self.recovery.action_after(fault, self.leg_began, continuable))
    }
}

#[test]
fn sessions_take_the_expected_decisions() {
    redwingrill_golden::run_dir("tests/cases", |input| {
        let mut session = Session::new(false);
        let lines = input.lines().filter(|line| !line.is_empty());
        let steps = lines.map(|line| format!("{line}\n  -> {}", session.step(line)));
        steps.collect::<Vec<_>>().join("\n")
    });
}
