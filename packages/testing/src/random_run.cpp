#include "testing/random_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <thread>

#include "testing/answer_check.h"
#include "testing/contract_watch.h"
#include "testing/fault_driver.h"
#include "testing/steady_callers.h"
#include "tool/uuid.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kFaultTime{1000};
constexpr Milliseconds kContractBound{5000};
/// Time from the end of the faults until queries are complete and bookings
/// run through every instance again.
constexpr Milliseconds kRecoveryBound{15'000};
constexpr Milliseconds kPoll{20};

TestFleetSettings MakeFleetSettings(const RandomRunSettings& run) {
  const std::uint64_t seed = run.m_seed;
  TestFleetSettings settings;
  settings.m_bin_folder = run.m_bin_folder;
  settings.m_name = fmt::format("random-run-{}", seed);
  settings.m_instances_per_domain = 2;
  settings.m_proxied = true;
  settings.m_proxy_seed = seed;
  return settings;
}

SteadyCallersSettings MakeCallerSettings(std::uint64_t seed) {
  SteadyCallersSettings settings;
  settings.m_seed = seed;
  settings.m_booking_threads = 3;
  settings.m_pause = Milliseconds(5);
  return settings;
}

std::vector<RunFault> DrawnFaults(const std::vector<std::string>& without) {
  std::vector<RunFault> faults;
  for (const RunFault fault : AllRunFaults()) {
    if (std::find(without.begin(), without.end(), RunFaultName(fault)) ==
        without.end()) {
      faults.push_back(fault);
    }
  }
  return faults;
}

/// One run: the fleet, its callers and the schedule.
class RandomRun final {
 public:
  explicit RandomRun(const RandomRunSettings& settings)
      : m_settings(settings),
        m_random(settings.m_seed),
        m_faults(DrawnFaults(settings.m_without)),
        m_fleet(MakeFleetSettings(settings)),
        m_driver(m_fleet, settings.m_seed + 1) {}

  std::string Run() {
    m_fleet.Start();
    m_callers.emplace(m_fleet, MakeCallerSettings(m_settings.m_seed));
    m_watch.emplace(m_fleet);
    std::string fault = RunSteps();
    m_watch->Stop();
    m_callers->Stop();
    if (fault.empty()) {
      fault = FirstFault();
    }
    if (!fault.empty()) {
      m_fleet.KeepFolder();
      fmt::print("folder of settings and logs: {}\n", m_fleet.Folder());
    }
    PrintCounts();
    return fault;
  }

 private:
  std::string RunSteps() {
    const TimePoint end = SteadyClock().Now() + m_settings.m_length;
    std::vector<RunFault> alone = m_faults;
    std::shuffle(alone.begin(), alone.end(), m_random);
    for (std::uint64_t step = 0; SteadyClock().Now() < end; ++step) {
      if (m_settings.m_max_steps != 0 && step >= m_settings.m_max_steps) {
        break;
      }
      const bool is_alone = !m_settings.m_only_pairs && step < alone.size();
      const std::string fault = RunStep(
          step, is_alone ? std::vector<RunFault>{alone[step]} : DrawPair());
      if (!fault.empty()) {
        return fmt::format("step {}: {}", step, fault);
      }
    }
    return {};
  }

  std::vector<RunFault> DrawPair() {
    const RunFault first = m_faults[m_random() % m_faults.size()];
    return {first, m_faults[m_random() % m_faults.size()]};
  }

  std::string RunStep(std::uint64_t step, const std::vector<RunFault>& faults) {
    for (const RunFault fault : faults) {
      const std::string done = m_driver.Begin(fault);
      fmt::print("step {} {}: {}\n", step, RunFaultName(fault), done);
      std::fflush(stdout);
    }
    std::this_thread::sleep_for(kFaultTime);
    std::string fault = m_driver.EndAll();
    if (fault.empty()) {
      fault = FirstFault();
    }
    return fault.empty() ? WaitRecovery() : fault;
  }

  // What was found wrong so far, recovery apart.
  std::string FirstFault() {
    for (const std::string& fault :
         {m_callers->FirstFault(), m_watch->FirstFault(),
          m_fleet.FirstUnexpectedExit()}) {
      if (!fault.empty()) {
        return fault;
      }
    }
    for (const auto& [key, count] : m_fleet.AllExecutions()) {
      if (count > 1) {
        return fmt::format("at most once: {} executions of {}", count, key);
      }
    }
    return {};
  }

  std::string WaitRecovery() {
    const TimePoint start = SteadyClock().Now();
    const std::uint64_t version = m_driver.PublishNextContract();
    for (const std::string& instance : m_fleet.InstanceNames()) {
      const std::string fault = WaitRecovery(instance, version, start);
      if (!fault.empty()) {
        return fault;
      }
    }
    return FirstFault();
  }

  std::string WaitRecovery(const std::string& instance,
                           std::uint64_t version,
                           TimePoint start) {
    const auto wait = [&](Milliseconds bound, const auto& is_good) {
      while (!is_good()) {
        if (SteadyClock().Now() > start + bound) {
          return false;
        }
        std::this_thread::sleep_for(kPoll);
      }
      return true;
    };
    if (!wait(kContractBound,
              [&] { return m_fleet.ContractVersion(instance) >= version; })) {
      return fmt::format("contract: {} has version {}, not {}, after 5 s",
                         instance, m_fleet.ContractVersion(instance), version);
    }
    if (!wait(kRecoveryBound, [&] {
          return IsCompleteAnswer(m_fleet.Query(instance, "recovery"));
        })) {
      return fmt::format("recovery: {} gives no complete answer: {}", instance,
                         m_fleet.Query(instance, "recovery").m_body);
    }
    if (!wait(kRecoveryBound, [&] { return RunsBooking(instance); })) {
      return "recovery: no booking runs through " + instance;
    }
    return {};
  }

  bool RunsBooking(const std::string& instance) {
    const std::string key = MakeUuidV7(SteadyClock().WallNowMs());
    return ReadBookingReply(m_fleet.Book(instance, key, key, "b")) ==
           BookingReply::kRan;
  }

  void PrintCounts() {
    const BookingLog& bookings = m_callers->Bookings();
    fmt::print("queries {} complete {} bookings ran {} not_run {} unknown {}\n",
               m_callers->Queries(), m_callers->CompleteAnswers(),
               bookings.Count(BookingReply::kRan),
               bookings.Count(BookingReply::kNotRun),
               bookings.Count(BookingReply::kUnknown));
  }

  const RandomRunSettings m_settings;
  std::mt19937_64 m_random;
  const std::vector<RunFault> m_faults;
  TestFleet m_fleet;
  FaultDriver m_driver;
  std::optional<SteadyCallers> m_callers;
  std::optional<ContractWatch> m_watch;
};

}  // namespace

std::string RunRandomly(const RandomRunSettings& settings) {
  return RandomRun(settings).Run();
}

}  // namespace jackdawrack
