#include "peer/peer_client.h"

#include "peer_link.h"

namespace jackdawrack {

PeerClient::PeerClient(boost::asio::io_context& context,
                       Instance target,
                       Hello self,
                       const PeerTraffic& traffic)
    : m_link(std::make_shared<PeerLink>(context,
                                        std::move(target),
                                        std::move(self),
                                        traffic)) {}

PeerClient::~PeerClient() {
  m_link->Close();
}

void PeerClient::Send(SubQuery query, PeerService::SubAnswerSink sink) {
  m_link->Send(std::move(query), std::move(sink));
}

void PeerClient::Send(RunRequest request, PeerService::RunAnswerSink sink) {
  m_link->Send(std::move(request), std::move(sink));
}

void PeerClient::Cancel(CallId call) {
  m_link->Cancel(call);
}

void PeerClient::Call(std::string text, ControlSink sink) {
  m_link->Call(std::move(text), std::move(sink));
}

void PeerClient::RequestShares(std::vector<ContractShare> shares,
                               PeerService::ShareSink sink) {
  m_link->RequestShares(std::move(shares), std::move(sink));
}

void PeerClient::Call(LeaseCallBody body, PeerService::LeaseSink sink) {
  m_link->Call(std::move(body), std::move(sink));
}

void PeerClient::Close() {
  m_link->Close();
}

const Instance& PeerClient::Target() const {
  return m_link->Target();
}

}  // namespace jackdawrack
