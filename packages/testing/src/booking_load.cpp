#include "testing/booking_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>

#include "tool/uuid.h"

namespace jackdawrack {
namespace {

constexpr int kMaxSends = 4;
constexpr Milliseconds kBetweenBookings{5};
constexpr Milliseconds kBetweenSends{150};

/// Of a hundred keys, so many are sent through two instances at once, and so
/// many are sent again after they ran.
constexpr std::uint32_t kDoubledPercent = 10;
constexpr std::uint32_t kResentPercent = 30;

/// Of a hundred "not run" answers, so many end the caller's attempts.
constexpr std::uint32_t kBelievedPercent = 50;

bool Chance(std::mt19937& random, std::uint32_t percent) {
  return random() % 100 < percent;
}

}  // namespace

BookingLoad::BookingLoad(TestFleet& fleet,
                         std::uint32_t seed,
                         std::size_t callers)
    : m_fleet(fleet), m_instances(fleet.InstanceNames()) {
  for (std::size_t i = 0; i < callers; ++i) {
    m_callers.emplace_back([this, caller_seed = seed + std::uint32_t(i)] {
      RunCaller(caller_seed);
    });
  }
}

BookingLoad::~BookingLoad() {
  m_stopping = true;
  for (std::thread& caller : m_callers) {
    if (caller.joinable()) {
      caller.join();
    }
  }
}

std::vector<BookingRecord> BookingLoad::Stop() {
  m_stopping = true;
  for (std::thread& caller : m_callers) {
    caller.join();
  }
  m_callers.clear();
  std::unordered_map<std::string, std::uint64_t> executions;
  for (const Upstream& upstream : m_fleet.Map().m_upstreams) {
    const auto counts = m_fleet.UpstreamCounts(upstream.m_id.Text());
    const auto* by_key = counts.if_contains("executions");
    if (by_key == nullptr) {
      throw std::runtime_error("no counts of " + upstream.m_id.Text());
    }
    for (const auto& item : by_key->as_object()) {
      executions[std::string(item.key())] +=
          item.value().to_number<std::uint64_t>();
    }
  }
  for (BookingRecord& record : m_records) {
    record.m_executions = executions[record.m_key];
  }
  return m_records;
}

void BookingLoad::RunCaller(std::uint32_t seed) {
  std::mt19937 random(seed);
  while (!m_stopping) {
    BookingRecord record = BookOne(random);
    {
      const std::lock_guard lock(m_mutex);
      m_records.push_back(std::move(record));
    }
    std::this_thread::sleep_for(kBetweenBookings);
  }
}

BookingRecord BookingLoad::BookOne(std::mt19937& random) {
  const SteadyClock clock;
  BookingRecord record;
  record.m_key = MakeUuidV7(clock.WallNowMs());
  record.m_first_sent = clock.Now();
  record.m_is_doubled = Chance(random, kDoubledPercent);
  const std::string lens = fmt::format("lens-{}", random() % 1000);
  const auto choose = [&] {
    return m_instances[random() % m_instances.size()];
  };

  // A second caller sends the same key at the same time
  std::thread twin;
  if (record.m_is_doubled) {
    twin = std::thread([this, instance = choose(), lens, key = record.m_key] {
      (void)m_fleet.Book(instance, lens, key, "body");
    });
  }
  for (int sent = 0; sent < kMaxSends; ++sent) {
    const std::string instance = choose();
    const HttpReply reply = m_fleet.Book(instance, lens, record.m_key, "body");
    const auto answer = ParseJsonObject(reply.m_body);
    record.m_last_outcome = answer ? JsonText(*answer, "outcome") : "";
    record.m_last_reason = answer ? JsonText(*answer, "reason") : reply.m_body;
    if (sent == 0) {
      record.m_first_instance = instance;
      record.m_first_outcome = record.m_last_outcome;
      record.m_answered = clock.Now();
    }
    const bool is_done =
        (record.m_last_outcome == "ran" && !Chance(random, kResentPercent)) ||
        (record.m_last_outcome == "not_run" &&
         Chance(random, kBelievedPercent));
    if (is_done) {
      break;
    }
    std::this_thread::sleep_for(kBetweenSends);
  }
  if (twin.joinable()) {
    twin.join();
  }
  return record;
}

BookingVerdict CheckBookings(const std::vector<BookingRecord>& records) {
  BookingVerdict verdict;
  for (const BookingRecord& record : records) {
    ++verdict.m_keys;
    const bool ran = record.m_last_outcome == "ran";
    const bool not_run = record.m_last_outcome == "not_run";
    verdict.m_ran += ran ? 1 : 0;
    verdict.m_not_run += not_run ? 1 : 0;
    verdict.m_unknown += !ran && !not_run ? 1 : 0;
    verdict.m_double_runs += record.m_executions > 1 ? 1 : 0;
    verdict.m_false_runs += ran && record.m_executions == 0 ? 1 : 0;
    verdict.m_false_refusals +=
        not_run && !record.m_is_doubled && record.m_executions > 0 ? 1 : 0;
  }
  return verdict;
}

Milliseconds RefusalTime(const std::vector<BookingRecord>& records,
                         TimePoint fault,
                         const std::string& victim) {
  Milliseconds longest{0};
  for (const BookingRecord& record : records) {
    const bool is_counted =
        !record.m_is_doubled && record.m_first_instance != victim;
    if (is_counted && record.m_first_outcome != "ran" &&
        record.m_first_sent > fault) {
      longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(
                                      record.m_first_sent - fault));
    }
  }
  return longest;
}

}  // namespace jackdawrack
