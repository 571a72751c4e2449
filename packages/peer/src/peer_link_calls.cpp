#include "peer_link.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "core/check.h"
#include "core/event.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxPendingCalls = 20'000;

SubAnswer FailedAnswer(const SubQuery& query, MissReason reason) {
  SubAnswer answer;
  answer.m_call = query.m_call;
  answer.m_index_version = query.m_index_version;
  answer.m_is_last = true;
  for (const KeyRange& range : query.m_ranges) {
    answer.m_ranges.push_back(RangeAnswer{range, reason, {}, {}});
  }
  return answer;
}

RunAnswer FailedAnswer(const RunRequest& request, bool was_sent) {
  RunAnswer answer;
  answer.m_call = request.m_call;
  answer.m_outcome = Outcome::kUnknown;
  answer.m_reason = was_sent ? "owner_lost" : "owner_unreachable";
  answer.m_is_retryable = !was_sent;
  return answer;
}

}  // namespace

void PeerLink::Send(SubQuery query, PeerService::SubAnswerSink sink) {
  asio::post(m_strand, [self = shared_from_this(), query = std::move(query),
                        sink = std::move(sink)]() mutable {
    self->SendSubQuery(std::move(query), std::move(sink));
  });
}

void PeerLink::Send(RunRequest request, PeerService::RunAnswerSink sink) {
  asio::post(m_strand, [self = shared_from_this(), request = std::move(request),
                        sink = std::move(sink)]() mutable {
    self->SendRunRequest(std::move(request), std::move(sink));
  });
}

void PeerLink::Cancel(CallId call) {
  asio::post(m_strand, [self = shared_from_this(), call] {
    self->m_queries.erase(call);
    if (self->m_is_ready) {
      self->m_connection->Send(jackdawrack::Cancel{call});
    }
    self->CloseIfDrained();
  });
}

void PeerLink::Call(std::string text, PeerService::ControlSink sink) {
  asio::post(m_strand, [self = shared_from_this(), text = std::move(text),
                        sink = std::move(sink)]() mutable {
    self->SendControlCall(std::move(text), std::move(sink));
  });
}

void PeerLink::RequestShares(std::vector<ContractShare> shares,
                             PeerService::ShareSink sink) {
  asio::post(m_strand, [self = shared_from_this(), shares = std::move(shares),
                        sink = std::move(sink)]() mutable {
    self->SendShareRequest(std::move(shares), std::move(sink));
  });
}

void PeerLink::Call(LeaseCallBody body, PeerService::LeaseSink sink) {
  asio::post(m_strand, [self = shared_from_this(), body = std::move(body),
                        sink = std::move(sink)]() mutable {
    self->SendLeaseCall(std::move(body), std::move(sink));
  });
}

void PeerLink::SendSubQuery(SubQuery query, PeerService::SubAnswerSink sink) {
  m_last_request_at = SteadyClock().Now();
  if (!EnsureConnecting() || m_queries.size() >= kMaxPendingCalls) {
    sink(FailedAnswer(query, MissReason::kUnreachable));
    return;
  }
  const CallId call = query.m_call;
  const auto [entry, is_new] =
      m_queries.emplace(call, PendingQuery{std::move(query), std::move(sink)});
  JR_CHECK(is_new);
  if (m_is_ready) {
    m_connection->Send(entry->second.m_query);
  }
}

void PeerLink::SendRunRequest(RunRequest request,
                              PeerService::RunAnswerSink sink) {
  m_last_request_at = SteadyClock().Now();
  if (!EnsureConnecting()) {
    sink(FailedAnswer(request, false));
    return;
  }
  const CallId call = request.m_call;
  const auto [entry, is_new] =
      m_runs.emplace(call, PendingRun{std::move(request), std::move(sink)});
  JR_CHECK(is_new);
  if (m_is_ready) {
    SendPendingRun(entry->second);
  }
}

void PeerLink::SendPendingRun(PendingRun& run) {
  JR_CHECK(!run.m_was_sent);
  run.m_was_sent = true;
  m_connection->Send(run.m_request);
}

void PeerLink::SendControlCall(std::string text,
                               PeerService::ControlSink sink) {
  if (!EnsureConnecting()) {
    sink({});
    return;
  }
  Submit(m_control_calls, ControlCall{0, std::move(text)}, std::move(sink));
}

void PeerLink::SendShareRequest(std::vector<ContractShare> shares,
                                PeerService::ShareSink sink) {
  if (!EnsureConnecting()) {
    return;
  }
  Submit(m_share_requests, ShareRequest{0, std::move(shares)}, std::move(sink));
}

void PeerLink::SendLeaseCall(LeaseCallBody body, PeerService::LeaseSink sink) {
  if (!EnsureConnecting() || m_lease_calls.Size() >= kMaxPendingCalls) {
    sink(std::nullopt);
    return;
  }
  Submit(m_lease_calls, LeaseCall{0, std::move(body)}, std::move(sink));
}

bool PeerLink::HasPendingCalls() const {
  return m_queries.size() + m_runs.size() + m_control_calls.Size() +
             m_share_requests.Size() + m_lease_calls.Size() >
         0;
}

void PeerLink::FailPendingCalls() {
  const auto queries = std::exchange(m_queries, {});
  const auto runs = std::exchange(m_runs, {});
  const auto controls = m_control_calls.TakeAll();
  const auto lease_calls = m_lease_calls.TakeAll();
  (void)m_share_requests.TakeAll();
  for (const auto& [call, waiting] : queries) {
    waiting.m_sink(FailedAnswer(waiting.m_query, MissReason::kUnreachable));
  }
  for (const auto& [call, waiting] : runs) {
    waiting.m_sink(FailedAnswer(waiting.m_request, waiting.m_was_sent));
  }
  for (const PeerService::ControlSink& sink : controls) {
    sink({});
  }
  for (const PeerService::LeaseSink& sink : lease_calls) {
    sink(std::nullopt);
  }
}

void PeerLink::HandleFrame(SubAnswer answer) {
  const auto found = m_queries.find(answer.m_call);
  if (found == m_queries.end()) {
    LogEvent(EventId::kLateReplyDropped, "request={}",
             answer.m_call.m_request.ToText());
    return;
  }
  const PeerService::SubAnswerSink sink = found->second.m_sink;
  if (answer.m_is_last) {
    m_queries.erase(found);
  }
  sink(std::move(answer));
  CloseIfDrained();
}

void PeerLink::HandleFrame(RunAnswer answer) {
  const auto found = m_runs.find(answer.m_call);
  if (found == m_runs.end()) {
    LogEvent(EventId::kLateReplyDropped, "request={}",
             answer.m_call.m_request.ToText());
    return;
  }
  const PeerService::RunAnswerSink sink = std::move(found->second.m_sink);
  m_runs.erase(found);
  sink(std::move(answer));
  CloseIfDrained();
}

void PeerLink::HandleFrame(ControlReply reply) {
  if (const auto sink = m_control_calls.Take(reply.m_number)) {
    (*sink)(std::move(reply.m_text));
    CloseIfDrained();
  }
}

void PeerLink::HandleFrame(ShareReply reply) {
  if (const auto sink = m_share_requests.Take(reply.m_number)) {
    (*sink)(std::move(reply.m_grants));
    CloseIfDrained();
  }
}

void PeerLink::HandleFrame(LeaseReply reply) {
  if (const auto sink = m_lease_calls.Take(reply.m_number)) {
    (*sink)(std::move(reply.m_body));
    CloseIfDrained();
  }
}

}  // namespace jackdawrack
