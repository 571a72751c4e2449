#pragma once

#include <memory>

#include "tool/load_report.h"
#include "tool/load_settings.h"

namespace jackdawrack {

/// Sends a seeded mix of requests to instances and measures the answers.
///
/// The open loop sends at the stated rate whatever the answers do, and counts
/// latency from the planned time of each arrival; the closed loop keeps a
/// fixed number of requests running. Bounded by duration and count.
class LoadRun final {
 public:
  /// The settings need at least one target and one kind.
  explicit LoadRun(LoadSettings settings);
  ~LoadRun();

  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /// Runs to the end; blocks.
  [[nodiscard]] LoadReport Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
