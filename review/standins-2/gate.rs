//! Link to the store that can be cut: what is sent meanwhile is held up, without a reset.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Gate {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let gate = Self {
            address: listener.local_addr().expect("bound"),
            cut: Arc::default(),
        };
        let acceptor = gate.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let gate = acceptor.clone();
                thread::spawn(move || {
                    gate.pass();
                    let Ok(far) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = far.set_nodelay(true);
                    let _ = near.set_nodelay(true);
                    let (near_copy, far_copy) = (near.try_clone(), far.try_clone());
                    let (Ok(near_copy), Ok(far_copy)) = (near_copy, far_copy) else {
                        return;
                    };
                    let back = gate.clone();
                    thread::spawn(move || back.copy(far_copy, near_copy));
                    gate.copy(near, far);
                });
            }
        });
        gate
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Waits while the link is cut.
    fn pass(&self) {
        while self.cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut block = [0; 16 * 1024];
        loop {
            let length = from.read(&mut block).unwrap_or(0);
            self.pass();
            if length == 0 || to.write_all(&block[..length]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    }
}
