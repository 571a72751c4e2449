#include "standin/fault_proxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <list>

#include "net/json.h"
#include "proxy_connection.h"
#include "standin/proxy_control_codec.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

HttpReply Plain(unsigned status) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_body = "{}";
  return reply;
}

}  // namespace

class FaultProxy::Impl final {
 public:
  Impl(asio::io_context& context, FaultProxySettings settings)
      : m_context(context),
        m_plan(settings.m_seed),
        m_control(context,
                  MakeServerSettings(settings),
                  [this](const HttpRequest& request,
                         const HttpServer::ReplyCallback& reply) {
                    reply(Handle(request));
                  }) {}

  NetResult<void> Start() { return m_control.Start(); }

 private:
  struct Listener {
    std::shared_ptr<const ProxyLink> m_link;
    asio::ip::tcp::acceptor m_acceptor;
  };

  static HttpServerSettings MakeServerSettings(
      const FaultProxySettings& settings) {
    HttpServerSettings server;
    server.m_endpoint = settings.m_control;
    return server;
  }

  HttpReply Handle(const HttpRequest& request) {
    const auto body = ParseJsonObject(request.m_body);
    if (!body) {
      return Plain(400);
    }
    if (request.m_target == "/control/links") {
      return AddLinks(DecodeLinks(*body));
    }
    if (request.m_target == "/control/rules") {
      m_plan.Replace(DecodeRules(*body));
      ForEachOpen([](ProxyConnection& open) { open.ApplyRules(); });
      return Plain(200);
    }
    if (request.m_target == "/control/silence") {
      const ProxyMatch match = DecodeMatch(*body);
      ForEachOpen([&](ProxyConnection& open) { open.SilenceIf(match); });
      return Plain(200);
    }
    return Plain(404);
  }

  HttpReply AddLinks(const std::vector<ProxyLink>& links) {
    for (const ProxyLink& link : links) {
      const asio::ip::tcp::endpoint endpoint(
          asio::ip::make_address(link.m_listen.m_address),
          link.m_listen.m_port);
      boost::system::error_code error;
      asio::ip::tcp::acceptor acceptor(m_context);
      acceptor.open(endpoint.protocol(), error);
      acceptor.set_option(asio::socket_base::reuse_address(true), error);
      acceptor.bind(endpoint, error);
      if (error) {
        return Plain(500);
      }
      acceptor.listen(asio::socket_base::max_listen_connections, error);
      m_listeners.push_back(Listener{std::make_shared<const ProxyLink>(link),
                                     std::move(acceptor)});
      Accept(m_listeners.back());
    }
    return Plain(200);
  }

  void Accept(Listener& listener) {
    listener.m_acceptor.async_accept(
        [this, &listener](auto error, asio::ip::tcp::socket socket) {
          if (!error) {
            Open(std::move(socket), listener.m_link);
          }
          Accept(listener);
        });
  }

  void Open(asio::ip::tcp::socket socket,
            const std::shared_ptr<const ProxyLink>& link) {
    m_open.remove_if([](const auto& open) { return open->IsClosed(); });
    m_open.push_back(
        std::make_shared<ProxyConnection>(std::move(socket), link, m_plan));
    m_open.back()->Start();
  }

  template <typename Action>
  void ForEachOpen(const Action& action) {
    for (const auto& open : m_open) {
      if (!open->IsClosed()) {
        action(*open);
      }
    }
  }

  asio::io_context& m_context;
  FaultPlan m_plan;
  std::list<Listener> m_listeners;
  std::list<std::shared_ptr<ProxyConnection>> m_open;
  HttpServer m_control;
};

FaultProxy::FaultProxy(asio::io_context& context, FaultProxySettings settings)
    : m_impl(std::make_unique<Impl>(context, std::move(settings))) {}

FaultProxy::~FaultProxy() = default;

NetResult<void> FaultProxy::Start() {
  return m_impl->Start();
}

}  // namespace jackdawrack
