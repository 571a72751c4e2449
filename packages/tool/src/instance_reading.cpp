#include "tool/instance_reading.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>

#include "net/http_client.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kReadTimeout{2000};

void Fill(InstanceReading& reading, const NetResult<HttpReply>& reply) {
  if (!reply) {
    reading.m_problem = reply.error().m_message;
    return;
  }
  const HttpReply& answer = reply.assume_value();
  if (answer.m_status != 200) {
    reading.m_problem =
        fmt::format("status {}: {}", answer.m_status, answer.m_body);
    return;
  }
  reading.m_is_read = true;
  reading.m_body = answer.m_body;
}

}  // namespace

std::vector<InstanceReading> ReadInstances(
    const std::vector<Endpoint>& endpoints,
    const std::string& target) {
  boost::asio::io_context context;
  std::vector<InstanceReading> readings(endpoints.size());
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    InstanceReading& reading = readings[i];
    reading.m_endpoint = endpoints[i];
    HttpClientSettings settings;
    settings.m_endpoint = endpoints[i];
    settings.m_connect_timeout = kReadTimeout;
    clients.push_back(std::make_unique<HttpClient>(context, settings));
    HttpRequest request;
    request.m_target = target;
    clients.back()->Send(std::move(request), kReadTimeout,
                         [&reading](const NetResult<HttpReply>& reply) {
                           Fill(reading, reply);
                         });
  }
  context.run();
  return readings;
}

std::size_t ReportUnread(const std::vector<InstanceReading>& readings) {
  std::size_t count = 0;
  for (const InstanceReading& reading : readings) {
    if (!reading.m_is_read) {
      ++count;
      fmt::print(stderr, "{}: could not be read: {}\n",
                 reading.m_endpoint.ToText(), reading.m_problem);
    }
  }
  return count;
}

}  // namespace jackdawrack
