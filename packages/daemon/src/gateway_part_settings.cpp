#include "gateway_part_settings.h"

#include <algorithm>

#include "core/boot_clock.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"

namespace jackdawrack {
namespace {

/// A store reader hears of the store, and a follower of its reader, this many
/// times within the bound on the spread of a change, so that the loss of one is
/// noticed while there is time to turn to another.
constexpr int kWatchesPerBound = 4;
constexpr int kPollsPerBound = 6;

/// Longest delay between two calls of a follower to a store that fails; its
/// readers call more often.
constexpr Milliseconds kFollowerRetryDelay{5'000};

/// Shortest watch; limits the calls to the store.
constexpr Milliseconds kMinWatch{500};

/// Part of the bound on staleness for the call that follows a lost one, the
/// decoding of its reply, and delays of the process.
constexpr Milliseconds kRecoveryMargin{500};

// The longest watch with which changes are read within `max_staleness` after
// the connection has gone silent. The last response before that delays the
// watch, whose failure delays the next call.
Milliseconds LongestWatch(Milliseconds max_staleness,
                          const StoreWatcherSettings& watcher) {
  const Milliseconds longest_retry_delay = watcher.m_min_retry_delay * 3 / 2;
  return std::max(kMinWatch, max_staleness - watcher.m_batch_delay -
                                 platform::StoreClient::kWatchMargin -
                                 longest_retry_delay - kRecoveryMargin);
}

HeaderNames PlatformHeaders() {
  HeaderNames headers;
  headers.m_request_id = platform::kRequestIdHeader;
  headers.m_deadline = platform::kDeadlineHeader;
  headers.m_expected_upstream = platform::kExpectedUpstreamHeader;
  headers.m_signature = platform::kSignatureHeader;
  headers.m_not_run = platform::kNotRunHeader;
  headers.m_leaving = platform::kLeavingHeader;
  headers.m_part_signatures = platform::kPartSignaturesHeader;
  headers.m_missing_parts = platform::kMissingPartsHeader;
  return headers;
}

}  // namespace

GatewaySettings MakeGatewaySettings(const GatewayFileSettings& settings) {
  GatewaySettings gateway;
  gateway.m_id = settings.m_id;
  gateway.m_domain = settings.m_domain;
  gateway.m_regions = settings.m_regions;
  gateway.m_callers = settings.m_callers;
  gateway.m_headers = PlatformHeaders();
  gateway.m_retry_budget = settings.m_retry_budget;
  gateway.m_drain_bound = settings.m_drain_bound;
  gateway.m_max_response_bytes = settings.m_max_response_bytes;
  gateway.m_max_buffered_bytes = settings.m_max_buffered_bytes;
  gateway.m_log_sample = settings.m_log_sample;
  return gateway;
}

PublishedUpdatesSettings MakePublishedUpdatesSettings(
    const GatewayFileSettings& settings) {
  const Milliseconds bound =
      std::min(settings.m_drain_bound, settings.m_apply_bound);
  PublishedUpdatesSettings updates;
  updates.m_self = settings.m_id;
  updates.m_alone.m_watch_timeout =
      LongestWatch(settings.m_max_staleness, updates.m_alone);
  updates.m_reader.m_watch_timeout = bound / kWatchesPerBound;
  updates.m_follower = updates.m_reader;
  updates.m_follower.m_max_retry_delay = kFollowerRetryDelay;
  updates.m_poll_wait = bound / kPollsPerBound;
  updates.m_sources.m_max_view_age = bound / 2;
  if (settings.m_is_first_start) {
    // Nothing is published yet, so that there is time to learn of the peers
    updates.m_sources.m_first_read_delay = updates.m_sources.m_discovery_time;
  }
  return updates;
}

PeerExchangeSettings MakeExchangeSettings(const GatewayFileSettings& settings) {
  PeerExchangeSettings exchange;
  exchange.m_self.m_id = settings.m_id;
  exchange.m_self.m_domain = settings.m_domain;
  exchange.m_self.m_endpoint = settings.m_peers;
  exchange.m_self.m_epoch = static_cast<std::uint64_t>(BootClock().WallNowMs());
  exchange.m_seeds = settings.m_seeds;
  return exchange;
}

HttpServerSettings MakeServerSettings(const Endpoint& endpoint) {
  HttpServerSettings server;
  server.m_endpoint = endpoint;
  return server;
}

}  // namespace jackdawrack
