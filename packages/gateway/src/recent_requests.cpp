#include "recent_requests.h"

#include <algorithm>

namespace jackdawrack {

void RecentRequests::Add(FinishedTrace trace) {
  m_traces.push_back(std::move(trace));
  if (m_traces.size() > kCapacity) {
    m_traces.pop_front();
  }
}

const FinishedTrace* RecentRequests::Find(std::string_view request_id) const {
  const auto found = std::find_if(m_traces.rbegin(), m_traces.rend(),
                                  [request_id](const FinishedTrace& trace) {
                                    return trace.m_request_id == request_id;
                                  });
  return found == m_traces.rend() ? nullptr : &*found;
}

}  // namespace jackdawrack
