#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "net/http_server.h"

namespace jackdawrack {

/// A small stand-in for the configuration service: GET /v1/watch to readers.
///
/// Tests change it by PUT /v1/values/NAME and read GET /v1/calls; the product
/// uses neither.
class PlatformStandin final {
 public:
  PlatformStandin(boost::asio::io_context& context, Endpoint endpoint);
  ~PlatformStandin();

  /// Publishes every DIRECTORY/NAME.ini under NAME.
  void LoadDirectory(const std::string& directory);

  /// Publishes one value.
  void Publish(const std::string& name, const std::string& text);

  NetResult<void> Start();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
