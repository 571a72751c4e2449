#pragma once

#include "net/http_message.h"
#include "upstream/upstream_messages.h"

namespace jackdawrack {

/// Encodes requests to upstreams as JSON over HTTP and decodes their replies.
/// To use another upstream protocol, replace this class by one with the same
/// functions.
struct HttpUpstreamAdapter final {
  /// Encodes a query.
  [[nodiscard]] static HttpRequest Encode(const UpstreamQuery& query);

  /// Encodes a non-idempotent request.
  [[nodiscard]] static HttpRequest Encode(const UpstreamExecute& execute);

  /// Encodes a request that cancels the query with the call ID `call` if it is
  /// still running.
  [[nodiscard]] static HttpRequest EncodeCancel(const std::string& call);

  /// Encodes a health probe. It executes nothing; the reply reports the state
  /// of the upstream.
  [[nodiscard]] static HttpRequest EncodeProbe();

  /// Decodes the reply to a health probe.
  [[nodiscard]] static UpstreamReport DecodeProbe(const HttpReply& reply);

  /// Decodes the reply to a query. The status is `kFailed` if the reply is
  /// malformed.
  [[nodiscard]] static UpstreamQueryReply DecodeQuery(const HttpReply& reply);

  /// Decodes the reply to a non-idempotent request. The status is `kFailed`
  /// unless the reply states explicitly whether the request was executed.
  [[nodiscard]] static UpstreamExecuteReply DecodeExecute(
      const HttpReply& reply);
};

}  // namespace jackdawrack
