//! Runs a stand-in in a separate process.

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

/// A stand-in process, killed when dropped.
pub struct Standin {
    child: Child,
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
}

impl Standin {
    /// Starts `jacinthpoint-standins` with the arguments and reads its address from its first line
    /// of output.
    pub fn start(args: &[&str]) -> io::Result<Standin> {
        // The build puts examples in a subfolder of the folder that holds the programs.
        let program = std::env::current_exe()?.with_file_name("../jacinthpoint-standins");
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no output"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().parse().map_err(io::Error::other)?;
        Ok(Standin { child, address })
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
