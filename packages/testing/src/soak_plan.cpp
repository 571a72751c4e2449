#include "testing/soak_plan.h"

#include <algorithm>
#include <optional>
#include <random>

namespace jackdawrack {
namespace {

using enum SoakAction;

/// A trouble, how often it is drawn, and the step that follows it.
struct Trouble {
  SoakAction m_action = kPutRecord;
  int m_weight = 1;
  std::optional<SoakAction> m_next;
  Milliseconds m_max_length{6'000};
};

const Trouble kTroubles[] = {
    {kPutRecord, 10, kRemoveRecord},
    {kPublishConfig, 5, std::nullopt},
    {kPublishConfigs, 2, std::nullopt},
    {kBreakReplica, 10, kMendReplica},
    {kPauseReplica, 3, std::nullopt},
    {kAddToAnswers, 3, kMendReplica},
    {kEndReplica, 2, kResumeReplica},
    {kDrainReplica, 2, kPublishReplica},
    {kUnpublishReplica, 2, kPublishReplica},
    {kRestartReplica, 2, std::nullopt},
    {kOverwriteReplica, 2, kPublishReplica},
    {kTerminate, 2, std::nullopt},
    {kTerminate, 2, kHangUp},
    {kTerminate, 1, kTerminate},
    {kTerminate, 1, kKill},
    {kTerminateAtStart, 2, std::nullopt},
    {kKill, 2, std::nullopt},
    {kSuspend, 2, kContinue, Milliseconds(3'000)},
    {kHangUp, 2, std::nullopt},
    {kStoreFails, 1, kStoreServes},
    {kStoreIsSlow, 1, kStoreServes},
    {kStoreLosesReplies, 1, std::nullopt},
    {kStoreForgets, 2, std::nullopt},
};

constexpr std::uint64_t kMaxPauseMs = 500;
constexpr std::uint64_t kMinLengthMs = 100;
/// Share of the troubles that begin together with the one before.
constexpr std::uint64_t kTogetherOneIn = 4;

const Trouble& DrawTrouble(std::mt19937_64& random) {
  int sum = 0;
  for (const Trouble& trouble : kTroubles) {
    sum += trouble.m_weight;
  }
  int place = static_cast<int>(random() % static_cast<unsigned>(sum));
  const Trouble* drawn = kTroubles;
  while (place >= drawn->m_weight) {
    place -= drawn->m_weight;
    ++drawn;
  }
  return *drawn;
}

}  // namespace

const char* SoakActionName(SoakAction action) {
  static constexpr const char* kNames[] = {
      "put record",      "remove record",     "publish config",
      "publish configs", "break replica",     "pause replica",
      "add to answers",  "mend replica",      "end replica",
      "resume replica",  "drain replica",     "unpublish replica",
      "restart replica", "overwrite replica", "publish replica",
      "SIGTERM",         "SIGTERM at start",  "SIGKILL",
      "SIGSTOP",         "SIGCONT",           "SIGHUP",
      "store fails",     "store is slow",     "store loses replies",
      "store forgets",   "store serves"};
  static_assert(std::size(kNames) ==
                static_cast<std::size_t>(kStoreServes) + 1);
  return kNames[static_cast<std::size_t>(action)];
}

std::vector<SoakStep> DrawSoakPlan(std::uint64_t seed, Milliseconds length) {
  std::mt19937_64 random(seed);
  std::vector<SoakStep> steps;
  Milliseconds at{0};
  while (at < length) {
    if (random() % kTogetherOneIn != 0) {
      at += Milliseconds(random() % kMaxPauseMs);
    }
    const Trouble& trouble = DrawTrouble(random);
    const std::uint64_t subject = random();
    steps.push_back({at, trouble.m_action, subject, random()});
    if (trouble.m_next) {
      const Milliseconds duration(
          kMinLengthMs +
          random() % static_cast<std::uint64_t>(trouble.m_max_length.count()));
      steps.push_back({at + duration, *trouble.m_next, subject, random()});
    }
  }
  std::stable_sort(
      steps.begin(), steps.end(),
      [](const SoakStep& a, const SoakStep& b) { return a.m_at < b.m_at; });
  return steps;
}

}  // namespace jackdawrack
