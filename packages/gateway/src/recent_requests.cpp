#include "recent_requests.h"

#include <algorithm>

namespace jackdawrack {

void RecentRequests::Add(FinishedTrace trace) {
  m_traces.push_back(std::move(trace));
  if (m_traces.size() > kKept) {
    m_traces.pop_front();
  }
}

const FinishedTrace* RecentRequests::Find(std::string_view request) const {
  const auto found = std::find_if(m_traces.rbegin(), m_traces.rend(),
                                  [request](const FinishedTrace& trace) {
                                    return trace.m_request == request;
                                  });
  return found == m_traces.rend() ? nullptr : &*found;
}

}  // namespace jackdawrack
