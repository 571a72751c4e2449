#include "upstream/upstream_pool.h"

#include "upstream_pool_state.h"

namespace jackdawrack {

UpstreamPool::UpstreamPool(boost::asio::io_context& context,
                           Upstream upstream,
                           QueryPolicySettings settings,
                           UpstreamCounters& counters)
    : m_state(std::make_shared<UpstreamPoolState>(context,
                                                  std::move(upstream),
                                                  settings,
                                                  counters)) {}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::Submit(std::string call,
                          HttpRequest request,
                          TimePoint deadline,
                          ReplyHandler handler,
                          Idempotency idempotency) {
  m_state->Submit(std::move(call), std::move(request), deadline,
                  std::move(handler), idempotency);
}

void UpstreamPool::Cancel(std::string call, HttpRequest cancel_request) {
  m_state->Cancel(std::move(call), std::move(cancel_request));
}

void UpstreamPool::MarkDraining() {
  m_state->MarkDraining();
}

void UpstreamPool::DrainQueue() {
  m_state->DrainQueue();
}

void UpstreamPool::Probe(HttpRequest probe) {
  m_state->Probe(std::move(probe));
}

UpstreamLoad UpstreamPool::Load() const {
  return m_state->Load();
}

const Upstream& UpstreamPool::Target() const {
  return m_state->Target();
}

}  // namespace jackdawrack
