//! Keeps and reads the records of the software versions at which open streams can have begun.
//!
//! The decisions are made in [`redwingrill_scheduling::software_versions`].

mod reader;
mod recorder;

pub use reader::SoftwareReader;
pub use reader::SoftwareReaderTask;
pub use recorder::SoftwareRecorder;
