#pragma once

#include <functional>
#include <optional>

#include "peer/messages.h"

namespace jackdawrack {

/// What an instance does for its peers; each call may be answered later, from
/// any thread.
struct PeerService {
  using SubAnswerSink = std::function<void(SubAnswer)>;
  using RunAnswerSink = std::function<void(RunAnswer)>;
  using ControlSink = std::function<void(std::string)>;
  using ShareSink = std::function<void(ShareGrants)>;
  /// Gets nothing when no reply came.
  using LeaseSink = std::function<void(std::optional<LeaseReplyBody>)>;

  /// Answers with one or more parts, the last one marked.
  std::function<void(SubQuery, SubAnswerSink)> m_on_sub_query;
  std::function<void(CallId)> m_on_cancel;
  std::function<void(RunRequest, RunAnswerSink)> m_on_run_request;
  /// Answers a JSON-RPC text; the first argument is the caller.
  std::function<void(Hello, std::string, ControlSink)> m_on_control;
  /// Lends parts of contracts to the caller.
  std::function<void(Hello, std::vector<ShareWish>, ShareSink)> m_on_share_ask;
  /// Answers a call about leases at once.
  std::function<LeaseReplyBody(LeaseCallBody)> m_on_lease_call;
};

}  // namespace jackdawrack
