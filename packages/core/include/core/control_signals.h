#pragma once

#include <csignal>

namespace jackdawrack {

/// The signals with which a process is controlled: stop and reload.
[[nodiscard]] inline sigset_t ControlSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

/// Holds back signals while their handlers are not installed: one that arrives
/// during the start is handled later, and one that arrives after the last
/// handler has run does not kill the process.
inline void BlockControlSignals() {
  const sigset_t signals = ControlSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Keeps the process running when the reader of its standard output goes away:
/// writes then fail instead.
inline void IgnoreBrokenPipes() {
  std::signal(SIGPIPE, SIG_IGN);
}

/// Delivers the signals held back; to be called when the handlers are
/// installed.
inline void UnblockControlSignals() {
  const sigset_t signals = ControlSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace jackdawrack
