//! The platform's key-value service as a stand-in, for a first try of real nodes.
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
    let line = format!("the store's stand-in listens at {}\n", store.address());
    std::io::stdout().write_all(line.as_bytes())?;
    loop {
        thread::park();
    }
}
