#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "net/http_server.h"

namespace jackdawrack {

/// Settings of the fault-injecting TCP proxy.
struct FaultProxySettings {
  /// Listener of the control interface.
  Endpoint m_control;
  /// Seed of every random draw.
  std::uint64_t m_seed = 1;
};

/// A TCP proxy for tests that cuts, silences, delays and shuffles by link and
/// by the caller's address.
///
/// POST /control/links adds links, /control/rules replaces the rules in force,
/// /control/silence turns the open connections that match silent for good.
/// Belongs to a context that one thread runs.
class FaultProxy final {
 public:
  FaultProxy(boost::asio::io_context& context, FaultProxySettings settings);
  ~FaultProxy();

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  NetResult<void> Start();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
