//! What operators do to a controller's process: new configurations with SIGHUP, planned restarts, and both in series.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use amberarch_histories::What;
use rustix::process::Signal;
use tokio::time::{sleep, sleep_until, Instant};

use super::collector::until_ready;
use super::discovery::Discovery;
use super::relay::Relay;
use super::settings::{Addresses, Settings};
use super::{Recorder, CONTROLLER};
use crate::address::Block;
use crate::hosts::Host;
use crate::member::Member;
use crate::Fault;

/// The protocol page: SIGKILL follows SIGTERM no sooner than this.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// The service page: after SIGHUP time limits wait 4 s, and it never comes in the first second after the first answer.
const RELOAD_SUSPENDS: Duration = Duration::from_secs(4);
const NO_RELOAD_FOR: Duration = Duration::from_secs(1);
/// The protocol page: time limits begin no sooner than 1 s after the first answer.
const LIMITS_BEGIN: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_millis(5);

/// What is done to the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The configuration moves discovery and the relay to other addresses, and SIGHUP tells of it.
    Reload,
    /// SIGTERM, a second one after that time where it is given, SIGKILL at the earliest time where the process is still there, and
    /// a start after that pause.
    Restart {
        /// ms
        second_term: Option<u64>,
        /// ms
        pause: u64,
    },
}

/// An action and when it is done: from the start of the drill, or later where the one before it takes longer, ms.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    pub at: u64,
    pub action: Action,
}

/// What stands round the process.
pub struct Scene {
    pub block: Rc<Block>,
    pub settings: Settings,
    pub hosts: Vec<Rc<Host>>,
    pub discovery: Rc<Discovery>,
    pub relay: Rc<Relay>,
    pub recorder: Recorder,
}

/// Who carries out the actions.
pub struct Operator {
    member: Rc<Member>,
    scene: Rc<Scene>,
    addresses: Cell<Addresses>,
    /// When the process answered first.
    ready_at: Cell<Instant>,
    fault: Cell<Option<Fault>>,
}

impl Operator {
    /// The process has just answered for the first time.
    pub fn new(member: Rc<Member>, scene: Rc<Scene>) -> Rc<Operator> {
        let (addresses, ready_at) = (Cell::new(Addresses::First), Cell::new(Instant::now()));
        Rc::new(Operator { member, scene, addresses, ready_at, fault: Cell::new(None) })
    }

    /// Carries out the plan; what the machine refuses is kept.
    pub async fn work(self: Rc<Operator>, start: Instant, plan: Vec<Scheduled>) {
        for Scheduled { at, action } in plan {
            sleep_until(start + Duration::from_millis(at)).await;
            let done = match action {
                Action::Reload => self.reload().await,
                Action::Restart { second_term, pause } => {
                    self.stop(second_term.map(Duration::from_millis)).await;
                    sleep(Duration::from_millis(pause)).await;
                    self.start_again().await
                }
            };
            if let Err(why) = done {
                self.fault.set(Some(why));
                return;
            }
        }
    }

    /// Why the plan could not be carried out, if so.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.take()
    }

    async fn reload(&self) -> Result<(), Fault> {
        sleep_until(self.ready_at.get() + NO_RELOAD_FOR).await;
        let to = self.addresses.get().other();
        self.addresses.set(to);
        self.scene.discovery.moves(self.scene.block.discovery_at(to)).await?;
        self.scene.relay.clone().moves_to(self.scene.block.relay_at(to)).await?;
        self.configure()?;
        self.suspend_limits(RELOAD_SUSPENDS);
        self.member.signal(Signal::HUP);
        Ok(())
    }

    fn configure(&self) -> Result<(), Fault> {
        let configuration =
            self.scene.settings.configuration(&self.scene.block, self.addresses.get(), &self.scene.hosts);
        self.member.write("config.json", &configuration.to_string())
    }

    fn suspend_limits(&self, span: Duration) {
        let until = crate::pen::now_ns() + span.as_nanos() as u64;
        self.scene.recorder.write(CONTROLLER, What::LimitsWait { until });
    }

    /// Its clients go on with open connections until the process is gone.
    async fn stop(&self, second_term: Option<Duration>) {
        let kill_at = Instant::now() + KILL_AFTER;
        self.suspend_limits(KILL_AFTER);
        self.member.signal(Signal::TERM);
        let mut again_at = second_term.map(|after| Instant::now() + after);
        while !self.member.ended() && Instant::now() < kill_at {
            sleep(LOOK).await;
            if again_at.is_some_and(|at| at <= Instant::now()) {
                self.member.signal(Signal::TERM);
                again_at = None;
            }
        }
        self.member.kill();
        self.scene.recorder.write(CONTROLLER, What::Died);
        self.scene.relay.process_ended();
    }

    async fn start_again(&self) -> Result<(), Fault> {
        self.scene.recorder.write(CONTROLLER, What::Started);
        self.scene.discovery.known_lists_all();
        self.member.start()?;
        until_ready(self.scene.block.listens(0)).await?;
        self.scene.recorder.write(CONTROLLER, What::Ready);
        self.ready_at.set(Instant::now());
        self.suspend_limits(LIMITS_BEGIN);
        self.scene.relay.join_again(Instant::now());
        Ok(())
    }
}
