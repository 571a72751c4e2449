#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "model/upstream.h"
#include "net/http_server.h"

namespace jackdawrack {

/// Behaviour of one upstream stand-in.
struct UpstreamStandinSettings {
  Upstream m_upstream;
  /// Time that one request takes on a slot.
  Milliseconds m_service_time{2};
  /// Index versions that it serves, oldest first.
  std::vector<std::uint64_t> m_index_versions;
};

/// A small stand-in for one upstream: slots, a short queue, and one row a
/// range that names its version and echoes the body.
///
/// Tests steer it by POST /control/set and read GET /control/counts.
class UpstreamStandin final {
 public:
  UpstreamStandin(boost::asio::io_context& context,
                  UpstreamStandinSettings settings);
  ~UpstreamStandin();

  NetResult<void> Start();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
