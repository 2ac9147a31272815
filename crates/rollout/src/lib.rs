//! Roll-out of model weights and roles to engines.
