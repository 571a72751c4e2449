#include "testing/soak_run.h"

#include <fmt/format.h>

#include <random>
#include <thread>

#include "soak_callers.h"
#include "soak_instances.h"
#include "soak_texts.h"
#include "testing/soak_plan.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kPoll{2};
/// Time after which nothing of the last requests runs any more.
constexpr Milliseconds kSettle{1'000};
constexpr std::size_t kReportedFaults = 25;
const std::vector<std::string> kReplicaDomains{"east", "west"};

GatewayFleetSettings MakeFleetSettings(const SoakSettings& soak) {
  static const std::string kDomains[] = {"east", "west", "north"};
  GatewayFleetSettings settings;
  settings.m_name = fmt::format("soak-{}", soak.m_seed);
  settings.m_bin_folder = soak.m_bin_folder;
  settings.m_shards = kSoakShards;
  settings.m_replica_domains = kReplicaDomains;
  settings.m_instance_domains.clear();
  for (std::size_t i = 0; i < soak.m_instances; ++i) {
    settings.m_instance_domains.push_back(kDomains[i % std::size(kDomains)]);
  }
  return settings;
}

/// One soak: the fleet, its callers and the troubles.
class Soak final {
 public:
  explicit Soak(const SoakSettings& settings)
      : m_settings(settings),
        m_plan(DrawSoakPlan(settings.m_seed, settings.m_length)),
        m_fleet(MakeFleetSettings(settings)),
        m_instances(m_fleet, settings.m_instances) {}

  SoakReport Run() {
    m_fleet.Start();
    m_services = {"single", "second"};
    m_fleet.AddService("second");
    for (const char* set : kSoakShardSets) {
      for (std::size_t i = 0; i < kSoakShards; ++i) {
        m_services.push_back(fmt::format("{}-{}", set, i));
      }
    }
    for (std::size_t i = 0; i < kSoakShards; ++i) {
      m_fleet.AddService(fmt::format("next-{}", i));
    }
    SoakCallers callers(m_fleet, m_instances, m_settings.m_instances,
                        m_settings.m_callers, m_settings.m_seed);
    PlayPlan();
    callers.Stop();
    m_instances.EndAll();
    std::this_thread::sleep_for(kSettle);
    return Report(callers);
  }

 private:
  void PlayPlan() {
    const TimePoint begin = SteadyClock().Now();
    for (const SoakStep& step : m_plan) {
      while (SteadyClock().Now() < begin + step.m_at) {
        m_instances.Poll();
        std::this_thread::sleep_for(kPoll);
      }
      Play(step);
    }
  }

  void Play(const SoakStep& step) {
    std::mt19937_64 random(step.m_value);
    switch (step.m_action) {
      case SoakAction::kTerminate:
      case SoakAction::kTerminateAtStart:
      case SoakAction::kKill:
      case SoakAction::kSuspend:
      case SoakAction::kContinue:
      case SoakAction::kHangUp:
        return SignalInstance(step);
      case SoakAction::kPutRecord:
        return PutRecord(random, OddKey(step.m_subject));
      case SoakAction::kRemoveRecord:
        return m_fleet.Store().Remove(OddKey(step.m_subject));
      case SoakAction::kPublishConfigs:
        for (std::uint64_t left = random() % 6; left > 0; --left) {
          PublishConfig(random);
        }
        return PublishConfig(random);
      case SoakAction::kPublishConfig:
        return PublishConfig(random);
      case SoakAction::kStoreFails: {
        constexpr StoreMode kModes[] = {StoreMode::kRefuse, StoreMode::kTooMany,
                                        StoreMode::kSilent};
        return m_fleet.Store().SetMode(kModes[random() % std::size(kModes)]);
      }
      case SoakAction::kStoreIsSlow:
        return m_fleet.Store().SetDelay(Milliseconds(random() % 3'000));
      case SoakAction::kStoreLosesReplies:
        return m_fleet.Store().LoseReplies(Milliseconds(random() % 3'000));
      case SoakAction::kStoreForgets:
        return m_fleet.Store().ForgetHistory();
      case SoakAction::kStoreServes:
        m_fleet.Store().SetDelay(Milliseconds(0));
        return m_fleet.Store().SetMode(StoreMode::kServe);
      default:
        return ChangeReplica(step, random);
    }
  }

  void SignalInstance(const SoakStep& step) {
    const std::size_t instance = step.m_subject % m_settings.m_instances;
    switch (step.m_action) {
      case SoakAction::kTerminate:
        return m_instances.Terminate(instance);
      case SoakAction::kTerminateAtStart:
        return m_instances.TerminateAtStart(instance,
                                            Milliseconds(step.m_value % 100));
      case SoakAction::kKill:
        return m_instances.Kill(instance);
      case SoakAction::kSuspend:
        return m_instances.Suspend(instance);
      case SoakAction::kContinue:
        return m_instances.Continue(instance);
      default:
        return m_instances.HangUp(instance);
    }
  }

  void ChangeReplica(const SoakStep& step, std::mt19937_64& random) {
    const std::string& service = m_services[step.m_subject % m_services.size()];
    const std::string& domain =
        kReplicaDomains[step.m_subject / m_services.size() %
                        kReplicaDomains.size()];
    ReplicaStandin& replica = m_fleet.Replica(service, domain);
    const std::string key =
        "servers/" + GatewayFleet::ReplicaId(service, domain);
    switch (step.m_action) {
      case SoakAction::kBreakReplica:
        replica.SetRawAnswer(DrawRawAnswer(random));
        return replica.SetMode(DrawMode(random));
      case SoakAction::kPauseReplica:
        return replica.Pause(Milliseconds(random() % 3'000));
      case SoakAction::kAddToAnswers:
        return AddToAnswers(replica, random);
      case SoakAction::kMendReplica:
        replica.StopCopies();
        replica.SetExtraFields("");
        return replica.SetMode(ReplicaMode::kAnswer);
      case SoakAction::kEndReplica:
        if (random() % 2 == 0) {
          m_fleet.Store().Remove(key);
        }
        return replica.Stop();
      case SoakAction::kResumeReplica:
        replica.Resume();
        return m_fleet.RestartReplica(service, domain);
      case SoakAction::kDrainReplica:
        return m_fleet.PublishReplica(service, domain, "draining");
      case SoakAction::kUnpublishReplica:
        return m_fleet.Store().Remove(key);
      case SoakAction::kRestartReplica:
        return m_fleet.RestartReplica(service, domain);
      case SoakAction::kOverwriteReplica:
        return PutRecord(random, key);
      default:
        return m_fleet.PublishReplica(service, domain, "ready");
    }
  }

  // A second copy, or a notice of leaving or of a pause.
  static void AddToAnswers(ReplicaStandin& replica, std::mt19937_64& random) {
    static const std::string kEchoes[] = {"{id}", "feedbeef", ""};
    static const std::string kNotices[] = {
        "Server-Leaving: 1\r\n", "Connection: close\r\n",
        "Retry-After: 2.5\r\n",  "Retry-After: 99999999999999999999\r\n",
        "Retry-After: -1\r\n",   "Keep-Alive: timeout=0\r\n"};
    if (random() % 2 == 0) {
      replica.SetExtraFields(kNotices[random() % std::size(kNotices)]);
    } else {
      replica.SetLateCopy({Milliseconds(random() % 500), random() % 2 == 0,
                           kEchoes[random() % std::size(kEchoes)]});
    }
  }

  static ReplicaMode DrawMode(std::mt19937_64& random) {
    constexpr ReplicaMode kModes[] = {
        ReplicaMode::kRefuse,   ReplicaMode::kFail,
        ReplicaMode::kHang,     ReplicaMode::kReset,
        ReplicaMode::kTruncate, ReplicaMode::kExtra,
        ReplicaMode::kForeign,  ReplicaMode::kUnframed,
        ReplicaMode::kEarly,    ReplicaMode::kRaw,
        ReplicaMode::kRaw,      ReplicaMode::kMisdirected};
    return kModes[random() % std::size(kModes)];
  }

  void PutRecord(std::mt19937_64& random, const std::string& key) {
    OddRecord record =
        DrawOddRecord(random, key, m_fleet.UnusedEndpoint().ToText());
    if (record.m_is_encoded) {
      m_fleet.Store().PutEncoded(record.m_key, std::move(record.m_value));
    } else {
      m_fleet.Store().Put(record.m_key, std::move(record.m_value));
    }
  }

  void PublishConfig(std::mt19937_64& random) {
    m_version += random() % 7 + 1;
    m_fleet.Store().Put("op/config", DrawConfig(random, m_version));
  }

  SoakReport Report(const SoakCallers& callers) {
    std::vector<std::string> faults = m_instances.Faults();
    const SoakCallers::Findings found = callers.Check(m_fleet.AllRuns());
    faults.insert(faults.end(), found.m_faults.begin(), found.m_faults.end());
    SoakReport report;
    report.m_faults = faults.size();
    report.m_text = fmt::format(
        "seed {}, {} instances, {} ms: {}; troubles {}, planned stops {} "
        "(longest {} ms), "
        "processes that ended by themselves {}, requests without answer {}, "
        "faults {}\n",
        m_settings.m_seed, m_settings.m_instances, m_settings.m_length.count(),
        callers.Counts(), m_plan.size(), m_instances.PlannedStops(),
        m_instances.LongestStop().count(), m_instances.EndedByThemselves(),
        found.m_unanswered, faults.size());
    if (!faults.empty()) {
      AddDetails(faults, report.m_text);
    }
    return report;
  }

  void AddDetails(const std::vector<std::string>& faults, std::string& text) {
    text += "folder of settings and logs: " + m_fleet.KeepFolder() + "\n";
    for (const SoakStep& step : m_plan) {
      text += fmt::format("at {} ms: {} {} ({})\n", step.m_at.count(),
                          SoakActionName(step.m_action), step.m_subject,
                          step.m_value);
    }
    for (std::size_t i = 0; i < std::min(faults.size(), kReportedFaults); ++i) {
      text += "fault: " + faults[i] + "\n";
    }
  }

  const SoakSettings m_settings;
  const std::vector<SoakStep> m_plan;
  std::vector<std::string> m_services;
  GatewayFleet m_fleet;
  SoakInstances m_instances;
  std::uint64_t m_version = 1;
};

}  // namespace

SoakReport RunSoak(const SoakSettings& settings) {
  return Soak(settings).Run();
}

}  // namespace jackdawrack
