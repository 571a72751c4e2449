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

/// Load of one upstream as its owner sees it.
struct UpstreamLoad {
  std::uint32_t m_running = 0;
  std::uint32_t m_queued = 0;
  bool m_is_draining = false;
  /// True while it cannot be connected to.
  bool m_is_lost = false;
};

/// Whether a request may be sent again while its first run is unknown.
enum class RepeatRule : std::uint8_t { kNever, kIdempotent };

class UpstreamPoolState;

/// The connections, slots and queue of one upstream.
///
/// At most `m_slots` requests run at once; the rest wait in order of deadline.
/// Methods may be called from any thread; handlers run on the pool's strand.
class UpstreamPool final {
 public:
  using ReplyHandler = std::function<void(UpstreamResult<HttpReply>)>;

  /// `counters` has to outlive this object.
  UpstreamPool(boost::asio::io_context& context,
               Upstream upstream,
               QueryPolicySettings settings,
               UpstreamCounters& counters);
  ~UpstreamPool();

  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Sends a request when a slot is free. Work that cannot end before its
  /// deadline, by the learned service time, fails at once. `call` names it for
  /// `Cancel`.
  /// The connection of an idempotent request is given up before its deadline
  /// if it has gone silent.
  void Submit(std::string call,
              HttpRequest request,
              TimePoint deadline,
              ReplyHandler handler,
              RepeatRule rule = RepeatRule::kNever);

  /// Withdraws a request that still waits; one that runs is cancelled at the
  /// upstream by `cancel_request` and its reply is dropped there.
  void Cancel(std::string call, HttpRequest cancel_request);

  /// Notes that the upstream said it is leaving: what waits fails as
  /// `kDraining`, what runs goes on.
  void MarkDraining();

  /// Like `MarkDraining`, for an upstream published as leaving or gone.
  void Withdraw();

  /// Asks an upstream that is leaving or lost how it is, if that is due.
  void Probe(HttpRequest probe);

  [[nodiscard]] UpstreamLoad Load() const;
  [[nodiscard]] const Upstream& Target() const;

 private:
  std::shared_ptr<UpstreamPoolState> m_state;
};

}  // namespace jackdawrack
