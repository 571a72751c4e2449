#include "standin/platform_standin.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <list>
#include <sstream>

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kValuesPrefix = "/v1/values/";
constexpr std::string_view kWatchPrefix = "/v1/watch";

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return 0;
  }
  std::uint64_t number = 0;
  const char* begin = target.data() + at + name.size() + 1;
  std::from_chars(begin, target.data() + target.size(), number);
  return number;
}

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpReply Text(unsigned status, std::string text) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_content_type = "text/plain";
  reply.m_body = std::move(text);
  return reply;
}

}  // namespace

class PlatformStandin::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, Endpoint endpoint)
      : m_strand(asio::make_strand(context)),
        m_server(context,
                 MakeSettings(std::move(endpoint)),
                 [this](HttpRequest request, HttpServer::ReplyCallback reply) {
                   asio::post(m_strand, [this, request = std::move(request),
                                         reply = std::move(reply)] {
                     Handle(request, reply);
                   });
                 }) {}

  NetResult<void> Start() { return m_server.Start(); }

  void Publish(const std::string& name, const std::string& text) {
    asio::post(m_strand, [self = shared_from_this(), name, text] {
      self->PublishNow(name, text);
    });
  }

 private:
  struct Value {
    std::uint64_t m_revision = 0;
    std::string m_text;
  };

  struct Watcher {
    std::uint64_t m_after = 0;
    HttpServer::ReplyCallback m_reply;
    std::unique_ptr<asio::steady_timer> m_timer;
  };

  static HttpServerSettings MakeSettings(Endpoint endpoint) {
    HttpServerSettings settings;
    settings.m_endpoint = std::move(endpoint);
    settings.m_idle_timeout = Milliseconds(600'000);
    return settings;
  }

  void Handle(const HttpRequest& request,
              const HttpServer::ReplyCallback& reply) {
    if (StartsWith(request.m_target, kWatchPrefix)) {
      ++m_calls;
      Watch(QueryNumber(request.m_target, "after"),
            Milliseconds(QueryNumber(request.m_target, "wait_ms")), reply);
    } else if (StartsWith(request.m_target, kValuesPrefix) &&
               request.m_method == "PUT") {
      PublishNow(request.m_target.substr(kValuesPrefix.size()), request.m_body);
      reply(Text(200, fmt::format("{}\n", m_revision)));
    } else if (request.m_target == "/v1/calls") {
      reply(Text(200, fmt::format("{}\n", m_calls)));
    } else {
      reply(Text(404, "not found\n"));
    }
  }

  void Watch(std::uint64_t after,
             Milliseconds wait,
             const HttpServer::ReplyCallback& reply) {
    if (after < m_revision || wait.count() == 0) {
      reply(ChangesSince(after));
      return;
    }
    m_watchers.push_back(
        Watcher{after, reply, std::make_unique<asio::steady_timer>(m_strand)});
    const auto watcher = std::prev(m_watchers.end());
    watcher->m_timer->expires_after(wait);
    watcher->m_timer->async_wait([this, watcher](auto cancelled) {
      if (!cancelled) {
        watcher->m_reply(ChangesSince(watcher->m_after));
        m_watchers.erase(watcher);
      }
    });
  }

  void PublishNow(const std::string& name, const std::string& text) {
    m_values[name] = Value{++m_revision, text};
    for (const Watcher& watcher : m_watchers) {
      watcher.m_reply(ChangesSince(watcher.m_after));
    }
    m_watchers.clear();
  }

  HttpReply ChangesSince(std::uint64_t after) const {
    json::array changes;
    for (const auto& [name, value] : m_values) {
      if (value.m_revision > after) {
        changes.push_back(json::object{{"name", name},
                                       {"revision", value.m_revision},
                                       {"value", value.m_text}});
      }
    }
    HttpReply reply;
    reply.m_body = json::serialize(json::object{
        {"revision", m_revision}, {"changes", std::move(changes)}});
    return reply;
  }

  asio::strand<asio::io_context::executor_type> m_strand;
  std::map<std::string, Value> m_values;
  std::list<Watcher> m_watchers;
  std::uint64_t m_revision = 0;
  std::uint64_t m_calls = 0;
  HttpServer m_server;
};

PlatformStandin::PlatformStandin(asio::io_context& context, Endpoint endpoint)
    : m_impl(std::make_shared<Impl>(context, std::move(endpoint))) {}

PlatformStandin::~PlatformStandin() = default;

void PlatformStandin::LoadDirectory(const std::string& directory) {
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(directory)) {
    if (entry.path().extension() != ".ini") {
      continue;
    }
    std::ifstream stream(entry.path());
    std::ostringstream text;
    text << stream.rdbuf();
    auto name = std::filesystem::relative(entry.path(), directory);
    Publish(name.replace_extension("").generic_string(), text.str());
  }
}

void PlatformStandin::Publish(const std::string& name,
                              const std::string& text) {
  m_impl->Publish(name, text);
}

NetResult<void> PlatformStandin::Start() {
  return m_impl->Start();
}

}  // namespace jackdawrack
