#include "policy/platform_watch.h"

#include <algorithm>

#include "core/check.h"

namespace jackdawrack {
namespace {

constexpr std::int64_t kFirstBackoffMs = 250;
constexpr std::uint32_t kMaxDoublings = 5;

/// Maximum time between two full reads by one watcher.
constexpr Milliseconds kReadAllInterval{600'000};

}  // namespace

void PlatformWatch::SetWatching(bool watching) {
  if (watching && !m_watching) {
    m_read_all = true;
  }
  m_watching = watching;
}

std::optional<PlatformRead> PlatformWatch::NextRead(TimePoint now) {
  if (!m_watching || m_running || now < m_not_before) {
    return std::nullopt;
  }
  if (m_read_all || now >= m_read_all_at) {
    m_read = PlatformRead{0, Milliseconds(0)};
  } else {
    m_read = PlatformRead{m_revision, kPlatformWatchWait};
  }
  m_read_all = false;
  m_running = true;
  m_started_at = now;
  return m_read;
}

void PlatformWatch::OnRead(std::uint64_t revision, TimePoint now) {
  JR_CHECK(m_running);
  m_running = false;
  m_failures = 0;
  m_not_before = now + kPlatformReadSpacing;

  // Schedule a full read after a rollback of the service to an older revision
  if (m_read.m_after == 0) {
    m_read_all_at = now + kReadAllInterval;
  } else if (revision < m_read.m_after) {
    m_read_all = true;
  }
  m_revision = revision;
}

void PlatformWatch::OnFailed(TimePoint now) {
  JR_CHECK(m_running);
  m_running = false;
  m_read_all = true;
  m_not_before = now + NextBackoff();
}

Milliseconds PlatformWatch::NextBackoff() {
  const std::int64_t full =
      std::min(kFirstBackoffMs << std::min(m_failures, kMaxDoublings),
               static_cast<std::int64_t>(kMaxPlatformBackoff.count()));
  ++m_failures;
  std::uniform_int_distribution<std::int64_t> spread(full / 2, full);
  return Milliseconds(spread(m_random));
}

}  // namespace jackdawrack
