use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is reported on the wire, so its trace on standard error is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    let input = io::stdin().lock();
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match amberarch_wirehost::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("amberarch-wirehost: {fault}");
            ExitCode::from(2)
        }
    }
}
