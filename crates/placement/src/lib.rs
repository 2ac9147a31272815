//! Placement of prompts on engines.
