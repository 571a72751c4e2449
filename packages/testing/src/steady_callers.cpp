#include "testing/steady_callers.h"

#include <fmt/format.h>

#include "testing/answer_check.h"
#include "tool/uuid.h"

namespace jackdawrack {
namespace {

constexpr std::uint64_t kLenses = 1000;
constexpr Milliseconds kResendPause{20};

}  // namespace

SteadyCallers::SteadyCallers(TestFleet& fleet, SteadyCallersSettings settings)
    : m_fleet(fleet), m_settings(settings), m_instances(fleet.InstanceNames()) {
  for (std::size_t i = 0; i < m_settings.m_query_threads; ++i) {
    m_threads.emplace_back([this, i] { RunQueries(i); });
  }
  for (std::size_t i = 0; i < m_settings.m_booking_threads; ++i) {
    m_threads.emplace_back([this, i] { RunBookings(i); });
  }
}

SteadyCallers::~SteadyCallers() {
  Stop();
}

void SteadyCallers::Stop() {
  m_is_stopped = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

std::string SteadyCallers::FirstFault() {
  if (m_threads.empty()) {
    if (const auto fault = m_bookings.FindFault(m_fleet.AllExecutions())) {
      Report(*fault);
    }
  }
  const std::lock_guard lock(m_mutex);
  return m_first_fault;
}

void SteadyCallers::RunQueries(std::size_t thread) {
  Random random(m_settings.m_seed * 1000 + thread);
  for (std::uint64_t number = 0; !m_is_stopped; ++number) {
    const std::string nonce = fmt::format("nonce-{}-{}", thread, number);
    const HttpReply reply = m_fleet.Query(DrawInstance(random), nonce);
    ++m_queries;
    m_complete += IsCompleteAnswer(reply) ? 1 : 0;
    if (const auto fault = FindAnswerFault(reply, nonce)) {
      Report(*fault);
    }
    std::this_thread::sleep_for(m_settings.m_pause);
  }
}

void SteadyCallers::RunBookings(std::size_t thread) {
  Random random(m_settings.m_seed * 1000 + 500 + thread);
  while (!m_is_stopped) {
    BookOnce(random);
    std::this_thread::sleep_for(m_settings.m_pause);
  }
}

void SteadyCallers::BookOnce(Random& random) {
  const std::string key = MakeUuidV7(SteadyClock().WallNowMs());
  const std::string lens = fmt::format("lens-{}", random() % kLenses);
  for (int sends = 0; sends < m_settings.m_max_sends; ++sends) {
    const std::string instance = DrawInstance(random);
    const HttpReply http = m_fleet.Book(instance, lens, key, "b", sends > 0);
    const BookingReply reply = ReadBookingReply(http);
    m_bookings.Record(key, reply, instance + " " + BookingReason(http));
    if (reply != BookingReply::kUnknown) {
      return;
    }
    std::this_thread::sleep_for(kResendPause);
  }
}

std::string SteadyCallers::DrawInstance(Random& random) const {
  return m_instances[random() % m_instances.size()];
}

void SteadyCallers::Report(const std::string& fault) {
  const std::lock_guard lock(m_mutex);
  if (m_first_fault.empty()) {
    m_first_fault = fault;
  }
}

}  // namespace jackdawrack
