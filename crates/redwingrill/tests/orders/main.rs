//! Tests of orders through the service handler: golden sessions and a fault matrix.

mod fault_matrix;
mod node;
mod order_that_ran;
mod sessions;
mod test_driver;

mod store;
mod upstream;
