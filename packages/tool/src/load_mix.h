#pragma once

#include <random>

#include "net/http_message.h"
#include "tool/load_settings.h"

namespace jackdawrack {

/// Draws the requests and the arrival times of a load run from its seed.
class LoadMix final {
 public:
  /// `settings` has to outlive this object.
  explicit LoadMix(const LoadSettings& settings);

  /// Position of the next request's kind.
  [[nodiscard]] std::size_t NextKind();

  /// A request of that kind; the number makes its key and body its own.
  [[nodiscard]] HttpRequest MakeRequest(std::size_t kind,
                                        std::uint64_t number,
                                        UnixMs now) const;

  /// Time until the next arrival of the open loop.
  [[nodiscard]] Duration NextGap();

 private:
  const LoadSettings& m_settings;
  std::mt19937_64 m_random;
  std::discrete_distribution<std::size_t> m_kinds;
};

}  // namespace jackdawrack
