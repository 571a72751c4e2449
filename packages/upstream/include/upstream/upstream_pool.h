#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "model/query_policy_settings.h"
#include "model/upstream.h"
#include "net/http_message.h"
#include "upstream/upstream_counters.h"
#include "upstream/upstream_error.h"

namespace jackdawrack {

/// Load and state of one upstream as observed by its owner.
struct UpstreamLoad {
  /// Occupied slots.
  std::uint32_t m_running = 0;
  /// Requests waiting for a slot.
  std::uint32_t m_queued = 0;
  bool m_is_draining = false;
  /// True while no connection to the upstream can be established.
  bool m_is_unreachable = false;
};

/// Whether a request may be repeated while it is unknown if its first attempt
/// was executed.
enum class Idempotency : std::uint8_t { kNonIdempotent, kIdempotent };

class UpstreamPoolState;

/// Connection pool and request queue of one upstream.
///
/// At most `Upstream::m_slots` requests are in flight at once; the others are
/// queued, earliest deadline first. Methods may be called from any thread;
/// handlers run on the pool's strand.
class UpstreamPool final {
 public:
  using ReplyHandler = std::function<void(UpstreamResult<HttpReply>)>;

  /// `counters` must outlive this object.
  UpstreamPool(boost::asio::io_context& context,
               Upstream upstream,
               QueryPolicySettings settings,
               UpstreamCounters& counters);
  ~UpstreamPool();

  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Sends a request as soon as a slot is free. A request that, by the measured
  /// service time, cannot complete before its deadline fails immediately with
  /// `kOverloaded`. `call` identifies the request for `Cancel`.
  ///
  /// The connection of an idempotent request may be closed before the deadline
  /// if the reply is overdue and later requests have been answered.
  void Submit(std::string call,
              HttpRequest request,
              TimePoint deadline,
              ReplyHandler handler,
              Idempotency idempotency = Idempotency::kNonIdempotent);

  /// Cancels a request. A queued request fails with `kCancelled`; for one that
  /// was already sent, `cancel_request` is sent to the upstream if a connection
  /// is available.
  void Cancel(std::string call, HttpRequest cancel_request);

  /// Marks the upstream as draining. Queued requests fail with `kDraining`;
  /// requests in flight continue.
  void MarkDraining();

  /// Fails queued requests with `kDraining`, without marking the upstream as
  /// draining. Used when the published state no longer lists the upstream as
  /// live.
  void DrainQueue();

  /// Sends a health probe if one is due: the upstream is draining or
  /// unreachable, or a reply is overdue.
  void Probe(HttpRequest probe);

  /// Returns the current load and state.
  [[nodiscard]] UpstreamLoad Load() const;

  /// Returns the upstream that this pool connects to.
  [[nodiscard]] const Upstream& Target() const;

 private:
  std::shared_ptr<UpstreamPoolState> m_state;
};

}  // namespace jackdawrack
