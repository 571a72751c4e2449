#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "model/endpoint.h"
#include "model/published_value.h"

namespace jackdawrack {

/// What went wrong between us and the configuration service.
enum class ConfigServiceErrc {
  kUnreachable,
  kMalformedReply,
};

template <typename T>
using ConfigServiceResult = Result<T, ConfigServiceErrc>;

/// The values that changed since a revision.
struct ConfigServiceChanges {
  /// Revision up to which the changes are complete.
  std::uint64_t m_revision = 0;
  std::vector<PublishedValue> m_values;
};

/// Reads the configuration service over HTTP; it never writes.
class ConfigServiceClient final {
 public:
  using ChangesHandler =
      std::function<void(ConfigServiceResult<ConfigServiceChanges>)>;

  ConfigServiceClient(boost::asio::io_context& context,
                      std::vector<Endpoint> addresses);
  ~ConfigServiceClient();

  /// Waits up to `wait` for changes after `revision`; one call at a time. A
  /// failed call makes the next one go to the next address.
  void Watch(std::uint64_t revision, Milliseconds wait, ChangesHandler handler);

  /// Calls made so far, waiting watches included.
  [[nodiscard]] std::uint64_t CallCount() const;

  /// Bytes of the reply bodies received so far.
  [[nodiscard]] std::uint64_t BytesReceived() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jackdawrack
