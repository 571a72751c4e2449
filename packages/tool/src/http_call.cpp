#include "tool/http_call.h"

#include <boost/asio/io_context.hpp>

#include "net/http_client.h"

namespace jackdawrack {

NetResult<HttpReply> CallHttp(const Endpoint& endpoint,
                              HttpRequest request,
                              Milliseconds timeout) {
  boost::asio::io_context context;
  HttpClientSettings settings;
  settings.m_endpoint = endpoint;
  HttpClient client(context, settings);
  NetResult<HttpReply> result = MakeError(NetErrc::kNotSent, "not sent");
  client.Send(std::move(request), timeout,
              [&](NetResult<HttpReply> reply) { result = std::move(reply); });
  context.run();
  return result;
}

}  // namespace jackdawrack
