#include "peer/peer_router.h"

#include <boost/asio/post.hpp>

namespace jackdawrack {

PeerRouter::PeerRouter(boost::asio::io_context& context,
                       Hello self,
                       PeerService local,
                       const PeerTraffic& traffic)
    : m_context(context),
      m_self(std::move(self)),
      m_local(std::move(local)),
      m_traffic(traffic) {}

void PeerRouter::Send(const Instance& target,
                      SubQuery query,
                      PeerService::SubAnswerSink sink) {
  if (target.m_id == m_self.m_instance) {
    m_local.m_on_sub_query(std::move(query), std::move(sink));
    return;
  }
  ClientFor(target)->Send(std::move(query), std::move(sink));
}

void PeerRouter::Send(const Instance& target,
                      RunRequest request,
                      PeerService::RunAnswerSink sink) {
  if (target.m_id == m_self.m_instance) {
    m_local.m_on_run_request(std::move(request), std::move(sink));
    return;
  }
  ClientFor(target)->Send(std::move(request), std::move(sink));
}

void PeerRouter::Cancel(const Instance& target, CallId call) {
  if (target.m_id == m_self.m_instance) {
    m_local.m_on_cancel(call);
    return;
  }
  ClientFor(target)->Cancel(call);
}

void PeerRouter::Call(const Instance& target,
                      std::string text,
                      PeerService::ControlSink sink) {
  if (target.m_id == m_self.m_instance) {
    m_local.m_on_control(m_self, std::move(text), std::move(sink));
    return;
  }
  ClientFor(target)->Call(std::move(text), std::move(sink));
}

void PeerRouter::RequestShares(const Instance& target,
                               std::vector<ContractShare> shares,
                               PeerService::ShareSink sink) {
  ClientFor(target)->RequestShares(std::move(shares), std::move(sink));
}

void PeerRouter::Call(const Instance& target,
                      LeaseCallBody body,
                      PeerService::LeaseSink sink) {
  if (target.m_id == m_self.m_instance) {
    sink(m_local.m_on_lease_call(std::move(body)));
    return;
  }
  ClientFor(target)->Call(std::move(body), std::move(sink));
}

void PeerRouter::Close() {
  const std::lock_guard lock(m_mutex);
  m_clients.clear();
}

std::shared_ptr<PeerClient> PeerRouter::ClientFor(const Instance& target) {
  const std::lock_guard lock(m_mutex);
  std::shared_ptr<PeerClient>& client = m_clients[target.m_id];

  // Replace the client if the endpoint of the instance has changed
  if (client == nullptr ||
      client->Target().m_peer_endpoint != target.m_peer_endpoint) {
    client = std::make_shared<PeerClient>(m_context, target, m_self, m_traffic);
  }
  return client;
}

}  // namespace jackdawrack
