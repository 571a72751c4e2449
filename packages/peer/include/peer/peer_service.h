#pragma once

#include <functional>
#include <optional>

#include "peer/messages.h"

namespace jackdawrack {

/// Handlers for the calls of peers. A sink may be called after the handler has
/// returned, and from any thread.
struct PeerService {
  using SubAnswerSink = std::function<void(SubAnswer)>;
  using RunAnswerSink = std::function<void(RunAnswer)>;
  using ControlSink = std::function<void(std::string)>;
  using ShareSink = std::function<void(ShareGrants)>;
  /// Receives `std::nullopt` if the call failed.
  using LeaseSink = std::function<void(std::optional<LeaseReplyBody>)>;

  /// Replies with one or more parts; the last one has `m_is_last` set.
  std::function<void(SubQuery, SubAnswerSink)> m_on_sub_query;
  /// Cancels a sub-query.
  std::function<void(CallId)> m_on_cancel;
  /// Executes a non-idempotent request at most once.
  std::function<void(RunRequest, RunAnswerSink)> m_on_run_request;
  /// Handles a JSON-RPC call. The first argument identifies the caller.
  std::function<void(Hello, std::string, ControlSink)> m_on_control;
  /// Lends shares of contracts to the caller, the first argument.
  std::function<void(Hello, std::vector<ContractShare>, ShareSink)>
      m_on_share_request;
  /// Handles a lease call and returns the reply synchronously.
  std::function<LeaseReplyBody(LeaseCallBody)> m_on_lease_call;
};

}  // namespace jackdawrack
