//! Operator actions on the controller process: configuration reloads with SIGHUP, planned restarts, and both in sequence.

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

/// The protocol sends SIGKILL no sooner than this after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// SIGHUP suspends time limits for 4 s and is never sent within 1 s of the first response (`NO_RELOAD_FOR`).
const RELOAD_SUSPENDS: Duration = Duration::from_secs(4);
const NO_RELOAD_FOR: Duration = Duration::from_secs(1);
/// Time limits of the protocol begin no sooner than 1 s after the first response.
const LIMITS_BEGIN: Duration = Duration::from_secs(1);
const POLL_EVERY: Duration = Duration::from_millis(5);

/// An operator action on the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Writes a configuration with other addresses for discovery and the relay, and sends SIGHUP.
    Reload,
    /// Sends SIGTERM, a second one after `second_term` if given, and SIGKILL at the earliest allowed time if the process
    /// still runs; starts it again after `pause`.
    Restart {
        /// ms
        second_term: Option<u64>,
        /// ms
        pause: u64,
    },
}

/// An action and its time in ms since the start of the drill; it starts later if the previous action takes longer.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    pub at: u64,
    pub action: Action,
}

/// The stand-ins around the process, and their settings.
pub struct Environment {
    pub block: Rc<Block>,
    pub settings: Settings,
    pub hosts: Vec<Rc<Host>>,
    pub discovery: Rc<Discovery>,
    pub relay: Rc<Relay>,
    pub recorder: Recorder,
}

/// Carries out the operator actions.
pub struct Operator {
    member: Rc<Member>,
    environment: Rc<Environment>,
    addresses: Cell<Addresses>,
    /// When the process first responded.
    ready_at: Cell<Instant>,
    fault: Cell<Option<Fault>>,
}

impl Operator {
    /// To be called when the process has just responded for the first time.
    pub fn new(member: Rc<Member>, environment: Rc<Environment>) -> Rc<Operator> {
        let (addresses, ready_at) = (Cell::new(Addresses::First), Cell::new(Instant::now()));
        Rc::new(Operator { member, environment, addresses, ready_at, fault: Cell::new(None) })
    }

    /// Carries out the plan. An error ends it and is kept for [`Operator::fault`].
    pub async fn run(self: Rc<Operator>, start: Instant, plan: Vec<Scheduled>) {
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

    /// The error that ended the plan, if any.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.take()
    }

    async fn reload(&self) -> Result<(), Fault> {
        sleep_until(self.ready_at.get() + NO_RELOAD_FOR).await;
        let to = self.addresses.get().other();
        self.addresses.set(to);
        self.environment.discovery.move_to(self.environment.block.discovery_at(to)).await?;
        self.environment.relay.clone().move_to(self.environment.block.relay_at(to)).await?;
        self.configure()?;
        self.suspend_limits(RELOAD_SUSPENDS);
        self.member.signal(Signal::HUP);
        Ok(())
    }

    fn configure(&self) -> Result<(), Fault> {
        let configuration = self.environment.settings.configuration(
            &self.environment.block,
            self.addresses.get(),
            &self.environment.hosts,
        );
        self.member.write("config.json", &configuration.to_string())
    }

    fn suspend_limits(&self, span: Duration) {
        let until = crate::pen::now_ns() + span.as_nanos() as u64;
        self.environment.recorder.write(CONTROLLER, What::LimitsWait { until });
    }

    /// Ends the process. Clients keep using open connections until it has exited.
    async fn stop(&self, second_term: Option<Duration>) {
        let kill_at = Instant::now() + KILL_AFTER;
        self.suspend_limits(KILL_AFTER);
        self.member.signal(Signal::TERM);
        let mut again_at = second_term.map(|after| Instant::now() + after);
        while !self.member.ended() && Instant::now() < kill_at {
            sleep(POLL_EVERY).await;
            if again_at.is_some_and(|at| at <= Instant::now()) {
                self.member.signal(Signal::TERM);
                again_at = None;
            }
        }
        self.member.kill();
        self.environment.recorder.write(CONTROLLER, What::Died);
        self.environment.relay.process_ended();
    }

    async fn start_again(&self) -> Result<(), Fault> {
        self.environment.recorder.write(CONTROLLER, What::Started);
        self.environment.discovery.record_initial_list();
        self.member.start()?;
        until_ready(self.environment.block.listens(0)).await?;
        self.environment.recorder.write(CONTROLLER, What::Ready);
        self.ready_at.set(Instant::now());
        self.suspend_limits(LIMITS_BEGIN);
        self.environment.relay.join_again(Instant::now());
        Ok(())
    }
}
