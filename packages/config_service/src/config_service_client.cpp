#include "config_service/config_service_client.h"

#include <fmt/format.h>

#include "core/check.h"
#include "net/http_client.h"
#include "net/json.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kReplyMargin{1000};
constexpr std::size_t kMaxReplyBytes = 64 << 20;

ConfigServiceResult<ConfigServiceChanges> DecodeChanges(
    const HttpReply& reply) {
  const auto object = ParseJsonObject(reply.m_body);
  if (reply.m_status != 200 || !object) {
    return MakeError(ConfigServiceErrc::kMalformedReply,
                     fmt::format("status {}", reply.m_status));
  }
  ConfigServiceChanges changes;
  changes.m_revision = JsonNumber(*object, "revision");
  const auto* list = object->if_contains("changes");
  if (list == nullptr || !list->is_array()) {
    return MakeError(ConfigServiceErrc::kMalformedReply, "no list of changes");
  }
  for (const auto& item : list->as_array()) {
    if (!item.is_object()) {
      return MakeError(ConfigServiceErrc::kMalformedReply,
                       "a change is no object");
    }
    changes.m_values.push_back(
        PublishedValue{JsonText(item.as_object(), "name"),
                       JsonNumber(item.as_object(), "revision"),
                       JsonText(item.as_object(), "value")});
  }
  return changes;
}

}  // namespace

class ConfigServiceClient::Impl final
    : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context, std::vector<Endpoint> addresses)
      : m_context(context), m_addresses(std::move(addresses)) {
    JR_CHECK(!m_addresses.empty());
  }

  void Watch(std::uint64_t revision,
             Milliseconds wait,
             ChangesHandler handler) {
    if (m_client == nullptr) {
      HttpClientSettings settings;
      settings.m_endpoint = m_addresses[m_next_address % m_addresses.size()];
      settings.m_max_reply_bytes = kMaxReplyBytes;
      m_client = std::make_unique<HttpClient>(m_context, settings);
    }
    HttpRequest request;
    request.m_target =
        fmt::format("/v1/watch?after={}&wait_ms={}", revision, wait.count());
    ++m_calls;
    m_client->Send(std::move(request), wait + kReplyMargin,
                   [self = shared_from_this(),
                    handler = std::move(handler)](NetResult<HttpReply> reply) {
                     handler(self->OnReply(std::move(reply)));
                   });
  }

  [[nodiscard]] std::uint64_t CallCount() const { return m_calls; }
  [[nodiscard]] std::uint64_t BytesReceived() const { return m_bytes; }

 private:
  ConfigServiceResult<ConfigServiceChanges> OnReply(
      NetResult<HttpReply> reply) {
    if (!reply) {
      m_client = nullptr;
      ++m_next_address;
      return MakeError(ConfigServiceErrc::kUnreachable,
                       reply.error().m_message);
    }
    m_bytes += reply.assume_value().m_body.size();
    return DecodeChanges(reply.assume_value());
  }

  boost::asio::io_context& m_context;
  const std::vector<Endpoint> m_addresses;
  std::size_t m_next_address = 0;
  std::unique_ptr<HttpClient> m_client;
  std::atomic<std::uint64_t> m_calls{0};
  std::atomic<std::uint64_t> m_bytes{0};
};

ConfigServiceClient::ConfigServiceClient(boost::asio::io_context& context,
                                         std::vector<Endpoint> addresses)
    : m_impl(std::make_shared<Impl>(context, std::move(addresses))) {}

ConfigServiceClient::~ConfigServiceClient() = default;

void ConfigServiceClient::Watch(std::uint64_t revision,
                                Milliseconds wait,
                                ChangesHandler handler) {
  m_impl->Watch(revision, wait, std::move(handler));
}

std::uint64_t ConfigServiceClient::CallCount() const {
  return m_impl->CallCount();
}

std::uint64_t ConfigServiceClient::BytesReceived() const {
  return m_impl->BytesReceived();
}

}  // namespace jackdawrack
