#include "exchange/update_follower.h"

#include "core/check.h"
#include "core/event.h"
#include "exchange/update_relay.h"

namespace jackdawrack {
namespace {

/// Longest time to connect to a peer.
constexpr Milliseconds kConnectTimeout{300};

/// Added to the wait of a poll to allow for the transfer of the reply.
constexpr Milliseconds kReplyMargin{400};

constexpr std::size_t kMaxReplyBytes = 16 << 20;
constexpr unsigned kStatusOk = 200;

}  // namespace

void UpdateFollower::Poll(const Endpoint& peer,
                          UpdateRequest request,
                          Handler handler) {
  JR_CHECK(!m_is_polling);
  if (m_client == nullptr || peer != m_peer) {
    HttpClientSettings settings;
    settings.m_endpoint = peer;
    settings.m_connect_timeout = kConnectTimeout;
    settings.m_max_reply_bytes = kMaxReplyBytes;
    m_client = std::make_unique<HttpClient>(m_context, settings);
    m_peer = peer;
  }
  m_is_polling = true;
  request.m_serial = ++m_last_serial;
  HttpRequest http_request;
  http_request.m_method = "POST";
  http_request.m_target = UpdateRelay::kTarget;
  http_request.m_body = EncodeUpdateRequest(request);
  m_client->Send(
      std::move(http_request), request.m_wait + kReplyMargin,
      [this, handler = std::move(handler)](const NetResult<HttpReply>& reply) {
        OnReply(reply, handler);
      });
}

void UpdateFollower::OnReply(const NetResult<HttpReply>& reply,
                             const Handler& handler) {
  m_is_polling = false;
  std::optional<UpdateReply> update;
  if (reply && reply.assume_value().m_status == kStatusOk) {
    update = DecodeUpdateReply(reply.assume_value().m_body);
    if (!update || update->m_serial != m_last_serial) {
      LogEvent(EventId::kFrameRefused, "peer={} bytes={}", m_peer.ToText(),
               reply.assume_value().m_body.size());
      update.reset();
    }
  }
  if (!update) {
    m_client = nullptr;
  }
  handler(std::move(update));
}

}  // namespace jackdawrack
