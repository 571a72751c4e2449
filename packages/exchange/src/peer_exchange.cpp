#include "exchange/peer_exchange.h"

#include <boost/asio/steady_timer.hpp>

#include "core/boot_clock.h"
#include "core/event.h"
#include "core/random.h"
#include "core/run_logged.h"
#include "exchange/peer_table.h"
#include "exchange/update_relay.h"
#include "net/http_client.h"

namespace jackdawrack {
namespace {

constexpr const char* kExchangeTarget = "/exchange";
constexpr const char* kContentType = "application/octet-stream";

/// Timeout of one exchange; bounds the time spent on an unreachable peer.
constexpr Milliseconds kExchangeTimeout{800};

/// Maximum size of a request, which holds entries of peers only.
constexpr std::size_t kMaxRequestBytes = 64 << 10;

/// Maximum number of connections of peers.
constexpr std::size_t kMaxConnections = 1'000;

/// Maximum size of a reply, which may hold the complete published state.
constexpr std::size_t kMaxReplyBytes = 16 << 20;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;

HttpServerSettings MakeServerSettings(const Endpoint& endpoint) {
  HttpServerSettings settings;
  settings.m_endpoint = endpoint;
  settings.m_max_body_bytes = kMaxRequestBytes;
  settings.m_max_connections = kMaxConnections;
  return settings;
}

}  // namespace

class PeerExchange::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       PeerExchangeSettings settings,
       PeerExchangeCallbacks callbacks)
      : m_context(context),
        m_settings(std::move(settings)),
        m_callbacks(std::move(callbacks)),
        m_table(m_settings.m_self, m_settings.m_seeds),
        m_timer(context),
        m_server(context,
                 MakeServerSettings(m_settings.m_self.m_endpoint),
                 [this](const HttpRequest& request,
                        const HttpServer::ReplyCallback& reply) {
                   if (request.m_target == UpdateRelay::kTarget) {
                     m_callbacks.m_on_update_poll(request, reply);
                   } else {
                     reply(HandleRequest(request));
                   }
                 }) {}

  NetResult<void> Start() {
    auto started = m_server.Start();
    if (started) {
      StartExchange();
    }
    return started;
  }

  void SetSeeds(std::vector<Endpoint> seeds) {
    m_table.SetSeeds(std::move(seeds));
  }

  void MergeEntries(const std::vector<PeerEntry>& entries) {
    m_table.MergeReported(entries, BootClock().Now());
  }

  [[nodiscard]] std::vector<PeerEntry> LocalInstances() const {
    return m_table.LocalInstances(BootClock().Now());
  }

  [[nodiscard]] bool HasDiscoveredPeers() const {
    return m_table.HasDiscoveredPeers();
  }

  void AnnounceLeaving() {
    m_table.MarkLeaving();
    StartExchange();
  }

 private:
  [[nodiscard]] PeerMessage MakeMessage(std::size_t max_peers) const {
    PeerMessage message;
    message.m_peers =
        m_table.Entries(RandomBelow(UINT32_MAX), BootClock().Now(), max_peers);
    message.m_revision = m_callbacks.m_revision();
    message.m_wants_snapshot = m_callbacks.m_needs_snapshot();
    return message;
  }

  void ApplyMessage(const PeerMessage& message) {
    const TimePoint now = BootClock().Now();
    m_table.Merge(message.m_peers, now);
    if (m_table.IsInitialized()) {
      m_callbacks.m_on_instance_counts(m_table.CountByDomain(now));
    }
    if (message.m_snapshot && m_callbacks.m_needs_snapshot() &&
        message.m_snapshot->m_revision > m_callbacks.m_revision()) {
      LogEvent(EventId::kSnapshotTaken, "peer={} revision={} version={}",
               message.m_peers.empty() ? "" : message.m_peers[0].m_id.Text(),
               message.m_snapshot->m_revision,
               message.m_snapshot->m_config.m_version);
      m_callbacks.m_on_snapshot(*message.m_snapshot);
    }
    m_callbacks.m_on_exchange(message.m_revision);
  }

  HttpReply HandleRequest(const HttpRequest& request) {
    HttpReply reply;
    reply.m_content_type = kContentType;
    const auto message = DecodePeerMessage(request.m_body);
    if (request.m_target != kExchangeTarget || !message) {
      LogEvent(EventId::kFrameRefused, "target={} bytes={}", request.m_target,
               request.m_body.size());
      reply.m_status = kStatusBadRequest;
      return reply;
    }
    ApplyMessage(*message);
    PeerMessage response = MakeMessage(
        message->m_peers.empty() ? PeerTable::kMaxSentPeers
                                 : PeerTable::MaxPeersFor(message->m_peers[0]));
    if (message->m_wants_snapshot &&
        message->m_revision < m_callbacks.m_revision()) {
      response.m_snapshot = m_callbacks.m_make_snapshot();
    }
    reply.m_body = EncodePeerMessage(response);
    return reply;
  }

  void StartExchange() {
    RunLogged("exchange", [this] {
      m_table.IncrementHeartbeat();
      const auto target =
          m_table.PickTarget(RandomBelow(UINT32_MAX), BootClock().Now());
      if (target) {
        SendTo(*target);
      }
    });
    ScheduleNext();
  }

  void SendTo(const Endpoint& target) {
    HttpClientSettings settings;
    settings.m_endpoint = target;
    settings.m_connect_timeout = kExchangeTimeout;
    settings.m_max_reply_bytes = kMaxReplyBytes;
    const auto client = std::make_shared<HttpClient>(m_context, settings);
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = kExchangeTarget;
    request.m_headers = {{"Content-Type", kContentType},
                         {"Connection", "close"}};
    request.m_body = EncodePeerMessage(MakeMessage(PeerTable::kMaxSentPeers));

    // The handler keeps the client alive until the exchange has ended
    client->Send(std::move(request), kExchangeTimeout,
                 [weak = weak_from_this(), client](NetResult<HttpReply> reply) {
                   if (const auto self = weak.lock()) {
                     self->OnReply(reply);
                   }
                 });
  }

  void OnReply(const NetResult<HttpReply>& reply) {
    if (!reply || reply.assume_value().m_status != kStatusOk) {
      return;
    }
    if (const auto message = DecodePeerMessage(reply.assume_value().m_body)) {
      ApplyMessage(*message);
    } else {
      LogEvent(EventId::kFrameRefused, "bytes={}",
               reply.assume_value().m_body.size());
    }
  }

  void ScheduleNext() {
    const bool is_urgent =
        m_callbacks.m_needs_snapshot() || !m_table.IsInitialized();
    Milliseconds period = m_settings.m_period;
    if (is_urgent) {
      period = m_settings.m_urgent_period;
    } else if (m_table.IsYoung()) {
      period = m_settings.m_young_period;
    }
    const Milliseconds jitter(
        RandomBelow(static_cast<std::uint64_t>(period.count() / 4 + 1)));
    m_timer.expires_after(period + jitter);
    m_timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (!error && self != nullptr) {
            self->StartExchange();
          }
        });
  }

  boost::asio::io_context& m_context;
  const PeerExchangeSettings m_settings;
  const PeerExchangeCallbacks m_callbacks;
  PeerTable m_table;
  boost::asio::steady_timer m_timer;
  HttpServer m_server;
};

PeerExchange::PeerExchange(boost::asio::io_context& context,
                           PeerExchangeSettings settings,
                           PeerExchangeCallbacks callbacks)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(settings),
                                    std::move(callbacks))) {}

PeerExchange::~PeerExchange() = default;

NetResult<void> PeerExchange::Start() {
  return m_impl->Start();
}

void PeerExchange::SetSeeds(std::vector<Endpoint> seeds) {
  m_impl->SetSeeds(std::move(seeds));
}

void PeerExchange::MergeEntries(const std::vector<PeerEntry>& entries) {
  m_impl->MergeEntries(entries);
}

std::vector<PeerEntry> PeerExchange::LocalInstances() const {
  return m_impl->LocalInstances();
}

bool PeerExchange::HasDiscoveredPeers() const {
  return m_impl->HasDiscoveredPeers();
}

void PeerExchange::AnnounceLeaving() {
  m_impl->AnnounceLeaving();
}

}  // namespace jackdawrack
