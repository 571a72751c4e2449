#pragma once

#include <memory>

#include "model/instance_settings.h"
#include "net/net_error.h"

namespace jackdawrack {

/// One instance: both roles, its listeners and its planned stop.
class Daemon final {
 public:
  explicit Daemon(InstanceSettings settings);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Binds the listeners and starts the workers; the error names an address.
  NetResult<void> Start();

  /// Blocks until SIGTERM or SIGINT, then stops without cutting off a request.
  void RunUntilSignal();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
