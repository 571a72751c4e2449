#pragma once

#include "net/http_message.h"
#include "upstream/upstream_messages.h"

namespace jackdawrack {

/// The wire format spoken to upstreams; a user's own format is another class
/// with the same functions.
struct HttpUpstreamAdapter final {
  [[nodiscard]] static HttpRequest Encode(const UpstreamQuery& query);
  [[nodiscard]] static HttpRequest Encode(const UpstreamExecute& execute);
  /// A request that stops the query named `call`, if it still runs.
  [[nodiscard]] static HttpRequest EncodeCancel(const std::string& call);

  /// A request that runs nothing and whose reply says how the upstream is.
  [[nodiscard]] static HttpRequest EncodeProbe();

  [[nodiscard]] static UpstreamReport DecodeProbe(const HttpReply& reply);
  [[nodiscard]] static UpstreamQueryReply DecodeQuery(const HttpReply& reply);
  [[nodiscard]] static UpstreamExecuteReply DecodeExecute(
      const HttpReply& reply);
};

}  // namespace jackdawrack
