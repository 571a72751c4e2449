#include "net/http_client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "free_port.h"
#include "net/http_server.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kTimeout{2'000};

// The handler was never called, and the next request ended the process, as the
// client still counted as busy.
TEST_CASE("an exchange that throws is told, and the client goes on") {
  boost::asio::io_context context;
  const Endpoint endpoint{"127.0.0.1", FreePort()};
  HttpServerSettings server_settings;
  server_settings.m_endpoint = endpoint;
  HttpServer server(context, server_settings,
                    [](const HttpRequest&, const auto& reply) { reply({}); });
  REQUIRE(server.Start());
  HttpClientSettings settings;
  settings.m_endpoint = endpoint;
  HttpClient client(context, settings);

  // The HTTP library throws on a field of this length
  HttpRequest request;
  request.m_headers = {{"X-Long", std::string(70'000, 'x')}};
  std::optional<NetErrc> first_error;
  unsigned second_status = 0;
  client.Send(request, kTimeout, [&](const NetResult<HttpReply>& first) {
    if (!first) {
      first_error = first.error().m_code;
    }
  });
  context.run_for(Milliseconds(200));
  client.Send(HttpRequest{}, kTimeout, [&](const NetResult<HttpReply>& second) {
    second_status = second ? second.assume_value().m_status : 0;
    context.stop();
  });
  context.restart();
  context.run_for(kTimeout);
  CHECK(first_error == NetErrc::kConnectionLost);
  CHECK(second_status == 200);
}

}  // namespace
}  // namespace jackdawrack
