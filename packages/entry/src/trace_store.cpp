#include "entry/trace_store.h"

namespace jackdawrack {

void TraceStore::Add(TraceRecord record, bool is_notable) {
  const std::lock_guard lock(m_mutex);
  const RequestId request = record.m_request;
  if (!m_records.emplace(request, std::move(record)).second) {
    return;
  }
  if (is_notable) {
    PushAndEvict(m_notable, m_settings.m_notable, request);
  } else {
    PushAndEvict(m_ordinary, m_settings.m_ordinary, request);
  }
}

std::optional<TraceRecord> TraceStore::Find(RequestId request) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_records.find(request);
  if (found == m_records.end()) {
    return std::nullopt;
  }
  return found->second;
}

void TraceStore::PushAndEvict(Ring& ring,
                              std::size_t limit,
                              RequestId request) {
  ring.push_back(request);
  if (ring.size() > limit) {
    m_records.erase(ring.front());
    ring.pop_front();
  }
}

}  // namespace jackdawrack
