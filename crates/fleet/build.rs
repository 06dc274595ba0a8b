//! Compiles `proto/fleet.proto` with protox, so that no `protoc` needs to be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/fleet.proto");
    let files = protox::compile(["proto/fleet.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
