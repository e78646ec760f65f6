//! The stand-ins and the cases of the second review; `review/build-2.sh` builds them.

mod drain;
mod fleet;
mod gone;
mod http;
mod json;
mod poison;
mod revoked;
mod settings;
mod store;
mod upstream;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if args.first().is_some_and(|name| name != "upstream") {
        fleet::watch();
    }
    match args.first().map(String::as_str) {
        Some("upstream") => upstream::main(upstream::Options::from_args(&args[1..])),
        Some("moved-poison") => poison::moved(trouble),
        Some("left-poison") => poison::left(trouble),
        Some("killed-poison") => poison::killed(trouble),
        Some("gone-pipelined") => gone::pipelined(trouble),
        Some("flapping-drain") => drain::flapping(trouble),
        Some("fraction-start") => settings::fraction(trouble),
        Some("revoked-key") => revoked::numbered(trouble),
        _ => fleet::stop("unknown case"),
    }
}
