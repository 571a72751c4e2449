#pragma once

#include <memory>
#include <string>

#include "net/net_error.h"
#include "routing/gateway_file_settings.h"

namespace jackdawrack {

/// One instance that serves published routes: store, gateway, listeners, and
/// its planned stop. Everything runs on the calling thread.
class GatewayDaemon final {
 public:
  /// `settings_path` is read again on SIGHUP and when the file changes.
  GatewayDaemon(GatewayFileSettings settings, std::string settings_path);
  ~GatewayDaemon();

  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  /// Binds the listeners; the error names an address.
  NetResult<void> Start();

  /// Serves until SIGTERM or SIGINT, then stops without cutting off a request
  /// that ends within the grace time.
  void RunUntilSignal();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
