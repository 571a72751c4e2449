#include "soak_instances.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace jackdawrack {
namespace {

/// `grace_s` of the fleet's settings.
constexpr Milliseconds kGrace{6'000};
/// Time that a busy machine may add to it.
constexpr Milliseconds kGraceSlack{1'500};
constexpr Milliseconds kAwayTime{300};
/// Time that an instance may take to catch up after a suspension.
constexpr Milliseconds kCatchUp{2'000};
/// Time until a process that starts handles signals.
constexpr Milliseconds kMaxStart{2'000};
constexpr Milliseconds kPoll{1};
constexpr std::size_t kReportedLines = 12;

// True once the process takes the signals that end or reload it.
bool HandlesSignals(pid_t process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  std::uint64_t handled = 0;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:")) {
      handled |= std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
    }
  }
  const std::uint64_t wanted = (1ULL << (SIGTERM - 1)) | (1ULL << (SIGHUP - 1));
  return (handled & wanted) == wanted;
}

}  // namespace

SoakInstances::SoakInstances(GatewayFleet& fleet, std::size_t count)
    : m_fleet(fleet), m_begin(SteadyClock().Now()), m_members(count) {}

bool SoakInstances::CanSignal(std::size_t instance) const {
  const ChildProcess& process = m_fleet.Process(instance);
  return process.IsRunning() && HandlesSignals(process.Pid());
}

void SoakInstances::SetOut(Member& member, Cause cause) {
  const std::lock_guard lock(m_mutex);
  member.m_cause = cause;
  member.m_outages.push_back({cause, SteadyClock().Now()});
}

void SoakInstances::Terminate(std::size_t instance) {
  Member& member = m_members[instance];
  if (!CanSignal(instance)) {
    return;
  }
  if (member.m_cause == Cause::kNone) {
    SetOut(member, Cause::kStop);
    member.m_stop_at = SteadyClock().Now();
    ++m_planned_stops;
  }
  m_fleet.Process(instance).Signal(SIGTERM);
}

void SoakInstances::Kill(std::size_t instance) {
  if (m_fleet.Process(instance).IsRunning()) {
    SetOut(m_members[instance], Cause::kKill);
    m_fleet.Process(instance).Signal(SIGKILL);
  }
}

void SoakInstances::Suspend(std::size_t instance) {
  Member& member = m_members[instance];
  if (!member.m_is_suspended && CanSignal(instance)) {
    const std::lock_guard lock(m_mutex);
    member.m_is_suspended = true;
    member.m_suspensions.push_back({Cause::kNone, SteadyClock().Now()});
    m_fleet.Process(instance).Signal(SIGSTOP);
  }
}

void SoakInstances::Continue(std::size_t instance) {
  Member& member = m_members[instance];
  if (member.m_is_suspended) {
    const std::lock_guard lock(m_mutex);
    member.m_is_suspended = false;
    m_fleet.Process(instance).Signal(SIGCONT);
    member.m_suspensions.back().m_until = SteadyClock().Now() + kCatchUp;
    // The grace period goes on while a process is suspended
    member.m_stop_at += member.m_suspensions.back().m_until -
                        member.m_suspensions.back().m_from;
  }
}

void SoakInstances::HangUp(std::size_t instance) {
  if (CanSignal(instance)) {
    m_fleet.Process(instance).Signal(SIGHUP);
  }
}

void SoakInstances::TerminateAtStart(std::size_t instance, Milliseconds delay) {
  Kill(instance);
  m_members[instance].m_stop_after_start = delay;
}

void SoakInstances::Poll() {
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    Member& member = m_members[i];
    ChildProcess& process = m_fleet.Process(i);
    const TimePoint now = SteadyClock().Now();
    if (process.IsRunning()) {
      if (process.HasEnded()) {
        NoteEnd(i);
      } else if (member.m_cause == Cause::kStop && !member.m_is_suspended &&
                 now > member.m_stop_at + kGrace + kGraceSlack) {
        AddFault(i, "runs on after its grace period");
        Kill(i);
      }
    } else if (now >= member.m_start_at) {
      Restart(i);
    }
  }
}

void SoakInstances::NoteEnd(std::size_t instance) {
  Member& member = m_members[instance];
  const int status = m_fleet.Process(instance).EndStatus().value_or(0);
  if (member.m_cause == Cause::kNone) {
    SetOut(member, Cause::kCrash);
  }
  const bool is_as_asked =
      (member.m_cause == Cause::kStop && status == 0) ||
      (member.m_cause == Cause::kKill && (status == -SIGKILL || status == 0));
  if (!is_as_asked) {
    ++m_ended_by_themselves;
    AddFault(instance,
             fmt::format("ended with status {}{}", status,
                         member.m_cause == Cause::kStop ? " after SIGTERM"
                                                        : " by itself"));
  }
  Continue(instance);
  if (member.m_cause == Cause::kStop) {
    m_longest_stop =
        std::max(m_longest_stop, std::chrono::duration_cast<Milliseconds>(
                                     SteadyClock().Now() - member.m_stop_at));
  }
  member.m_start_at = SteadyClock().Now() + kAwayTime;
}

void SoakInstances::Restart(std::size_t instance) {
  Member& member = m_members[instance];
  m_fleet.StartInstance(instance);
  {
    const std::lock_guard lock(m_mutex);
    member.m_cause = Cause::kNone;
    for (Outage& outage : member.m_outages) {
      outage.m_until = std::min(outage.m_until, SteadyClock().Now());
    }
  }
  if (!member.m_stop_after_start) {
    return;
  }
  const TimePoint give_up = SteadyClock().Now() + kMaxStart;
  while (!CanSignal(instance) && SteadyClock().Now() < give_up) {
    std::this_thread::sleep_for(kPoll);
  }
  std::this_thread::sleep_for(*member.m_stop_after_start);
  member.m_stop_after_start.reset();
  Terminate(instance);
}

void SoakInstances::EndAll() {
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    Continue(i);
    m_members[i].m_start_at = TimePoint::max();
    m_members[i].m_stop_after_start.reset();
    Terminate(i);
  }
  const auto is_any_running = [this] {
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      if (m_fleet.Process(i).IsRunning()) {
        return true;
      }
    }
    return false;
  };
  // Bounded, as `Poll` kills what outlives its grace period
  while (is_any_running()) {
    Poll();
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      m_members[i].m_start_at = TimePoint::max();
    }
    std::this_thread::sleep_for(kPoll);
  }
}

bool SoakInstances::MayLose(std::size_t instance,
                            TimePoint connected,
                            TimePoint sent) const {
  const std::lock_guard lock(m_mutex);
  const Member& member = m_members[instance];
  return std::any_of(member.m_outages.begin(), member.m_outages.end(),
                     [&](const Outage& outage) {
                       return outage.m_cause == Cause::kKill &&
                              outage.m_until >= connected;
                     }) ||
         std::any_of(
             member.m_suspensions.begin(), member.m_suspensions.end(),
             [&](const Outage& pause) { return pause.m_until >= sent; });
}

bool SoakInstances::MayClose(std::size_t instance,
                             TimePoint connected,
                             TimePoint at) const {
  const std::lock_guard lock(m_mutex);
  const auto& outages = m_members[instance].m_outages;
  return std::any_of(outages.begin(), outages.end(), [&](const Outage& outage) {
    return outage.m_until >= connected && outage.m_from <= at;
  });
}

void SoakInstances::AddFault(std::size_t instance, const std::string& what) {
  const auto time =
      std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() - m_begin);
  m_faults.push_back(
      fmt::format("at {} ms: instance {} {}; its last lines:\n{}", time.count(),
                  instance, what, LastLines(instance)));
}

std::string SoakInstances::LastLines(std::size_t instance) const {
  const std::string text = m_fleet.LogText(instance);
  std::size_t place = text.size();
  for (std::size_t lines = 0; place > 0 && lines <= kReportedLines; ++lines) {
    place = text.rfind('\n', place - 1);
    if (place == std::string::npos) {
      return text;
    }
  }
  return text.substr(place);
}

}  // namespace jackdawrack
