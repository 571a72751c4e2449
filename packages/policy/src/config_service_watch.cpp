#include "policy/config_service_watch.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

constexpr std::int64_t kInitialBackoffMs = 250;
constexpr std::uint32_t kMaxDoublings = 5;

/// Maximum time between two full reads by one watcher.
constexpr Milliseconds kMaxFullReadInterval{600'000};

}  // namespace

void ConfigServiceWatch::SetWatching(bool watching) {
  if (watching && !m_watching) {
    m_full_read_requested = true;
  }
  m_watching = watching;
}

std::optional<ConfigServiceRead> ConfigServiceWatch::NextRead(TimePoint now) {
  if (!m_watching || m_read_in_progress || now < m_next_read_at) {
    return std::nullopt;
  }
  if (m_full_read_requested || now >= m_next_full_read_at) {
    m_read = ConfigServiceRead{0, Milliseconds(0)};
  } else {
    m_read = ConfigServiceRead{m_revision, kConfigServiceWatchTimeout};
  }
  m_full_read_requested = false;
  m_read_in_progress = true;
  m_read_started_at = now;
  return m_read;
}

void ConfigServiceWatch::OnRead(std::uint64_t revision, TimePoint now) {
  JR_CHECK(m_read_in_progress);
  m_read_in_progress = false;
  m_consecutive_failures = 0;
  m_next_read_at = now + kMinConfigServiceReadInterval;

  // Schedule a full read after a rollback of the service to an older revision
  if (m_read.m_after_revision == 0) {
    m_next_full_read_at = now + kMaxFullReadInterval;
  } else if (revision < m_read.m_after_revision) {
    m_full_read_requested = true;
  }
  m_revision = revision;
}

void ConfigServiceWatch::OnReadFailed(TimePoint now) {
  JR_CHECK(m_read_in_progress);
  m_read_in_progress = false;
  m_full_read_requested = true;
  m_next_read_at = now + NextBackoff();
}

Milliseconds ConfigServiceWatch::NextBackoff() {
  const std::int64_t max_delay_ms = std::min(
      kInitialBackoffMs << std::min(m_consecutive_failures, kMaxDoublings),
      static_cast<std::int64_t>(kMaxConfigServiceBackoff.count()));
  ++m_consecutive_failures;
  std::uniform_int_distribution<std::int64_t> delay_ms(max_delay_ms / 2,
                                                       max_delay_ms);
  return Milliseconds(delay_ms(m_random));
}

}  // namespace jackdawrack
