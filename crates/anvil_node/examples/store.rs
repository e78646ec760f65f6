//! A stand-in for the platform's key-value store, for trying out real nodes.
//!
//! `cargo run --release --example store -- 127.0.0.1:8083`

use std::io::Write;
use std::net::SocketAddr;
use std::thread;

use anvil_standins::store::server;

fn main() -> eyre::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let address: SocketAddr = arguments.free_from_str()?;
    let store = server::StoreServer::bind(address, 1)?;
    let line = format!("the stand-in store listens at {}\n", store.address());
    std::io::stdout().write_all(line.as_bytes())?;
    loop {
        thread::park();
    }
}
