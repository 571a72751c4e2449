#include "standin/store_standin.h"

#include <atomic>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>
#include <list>
#include <map>
#include <optional>

#include "core/clock.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kPageItems = 20;
constexpr unsigned kStatusGone = 410;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusTooMany = 429;
constexpr unsigned kStatusUnavailable = 503;

std::string ToBase64(const std::string& bytes) {
  using Text = boost::archive::iterators::base64_from_binary<
      boost::archive::iterators::transform_width<std::string::const_iterator, 6,
                                                 8>>;
  std::string text(Text(bytes.begin()), Text(bytes.end()));
  text.append((3 - bytes.size() % 3) % 3, '=');
  return text;
}

// The value of a parameter of the query, or empty.
std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string pair = target.substr(begin + 1, end - begin - 1);
    if (pair.starts_with(name + "=")) {
      return pair.substr(name.size() + 1);
    }
    begin = end;
  }
  return {};
}

std::uint64_t NumberParameter(const std::string& target,
                              const std::string& name) {
  const std::string text = Parameter(target, name);
  return text.empty() ? 0 : std::stoull(text);
}

HttpReply Json(const json::object& object) {
  HttpReply reply;
  reply.m_body = json::serialize(object);
  return reply;
}

HttpReply Status(unsigned status) {
  HttpReply reply;
  reply.m_status = status;
  return reply;
}

}  // namespace

class StoreStandin::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, Endpoint endpoint)
      : m_strand(asio::make_strand(context)),
        m_server(context,
                 MakeSettings(std::move(endpoint)),
                 [this](HttpRequest request, HttpServer::ReplyCallback reply) {
                   ++m_calls;
                   const auto delay = std::make_shared<asio::steady_timer>(
                       m_strand, m_delay.load());
                   delay->async_wait(
                       [this, delay, request = std::move(request),
                        reply = std::move(reply)](boost::system::error_code) {
                         Answer(request.m_target, reply);
                       });
                 }) {}

  NetResult<void> Start() { return m_server.Start(); }

  void PutEncoded(std::string key, std::string base64) {
    Post([key = std::move(key), base64 = std::move(base64)](Impl& self) {
      self.m_items[key] = Item{base64, ++self.m_revision};
      self.m_history[self.m_revision] = Event{key, self.m_items[key]};
      self.EndWatches();
    });
  }

  void Remove(std::string key) {
    Post([key = std::move(key)](Impl& self) {
      self.m_items.erase(key);
      self.m_history[++self.m_revision] = Event{key, std::nullopt};
      self.EndWatches();
    });
  }

  void SetMode(StoreMode mode) {
    Post([mode](Impl& self) {
      self.m_mode = mode;
      if (mode != StoreMode::kSilent) {
        self.EndWatches();
      }
    });
  }

  void SetDelay(Milliseconds time) { m_delay = time; }

  void LoseReplies(Milliseconds time) {
    Post([time](Impl& self) {
      self.m_silent_until = SteadyClock().Now() + time;
      for (const Waiting& waiting : self.m_watches) {
        waiting.m_timer->cancel();
        self.m_unanswered.push_back(waiting.m_reply);
      }
      self.m_watches.clear();
    });
  }

  void ForgetHistory() {
    Post([](Impl& self) {
      self.m_history.clear();
      self.m_forgotten = self.m_revision;
      self.EndWatches();
    });
  }

  [[nodiscard]] std::uint64_t CallCount() const { return m_calls; }

 private:
  struct Item {
    std::string m_base64;
    std::uint64_t m_revision = 0;
  };

  // A change as it was made; a removal has no item.
  struct Event {
    std::string m_key;
    std::optional<Item> m_item;
  };

  struct Waiting {
    std::uint64_t m_after = 0;
    HttpServer::ReplyCallback m_reply;
    std::shared_ptr<asio::steady_timer> m_timer;
  };

  static HttpServerSettings MakeSettings(Endpoint endpoint) {
    HttpServerSettings settings;
    settings.m_endpoint = std::move(endpoint);
    return settings;
  }

  template <typename Work>
  void Post(Work work) {
    asio::post(m_strand, [self = shared_from_this(), work = std::move(work)] {
      work(*self);
    });
  }

  void Answer(const std::string& target,
              const HttpServer::ReplyCallback& reply) {
    if (m_mode == StoreMode::kSilent || SteadyClock().Now() < m_silent_until) {
      m_unanswered.push_back(reply);
    } else if (m_mode == StoreMode::kRefuse) {
      reply(Status(kStatusUnavailable));
    } else if (m_mode == StoreMode::kTooMany) {
      reply(Status(kStatusTooMany));
    } else if (target.starts_with("/v1/kv-range")) {
      reply(Range(Parameter(target, "prefix"), Parameter(target, "after")));
    } else if (target.starts_with("/v1/kv-watch")) {
      Watch(target, reply);
    } else {
      reply(Status(kStatusNotFound));
    }
  }

  static json::object ItemJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.m_base64},
            {"revision", item.m_revision},
            {"createdRevision", item.m_revision},
            {"leaseId", 0}};
  }

  [[nodiscard]] HttpReply Range(const std::string& prefix,
                                const std::string& after) const {
    json::array items;
    bool has_more = false;
    for (const auto& [key, item] : m_items) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      has_more = items.size() == kPageItems;
      if (has_more) {
        break;
      }
      items.push_back(ItemJson(key, item));
    }
    return Json({{"items", std::move(items)},
                 {"hasMore", has_more},
                 {"asOf", m_revision}});
  }

  void Watch(const std::string& target,
             const HttpServer::ReplyCallback& reply) {
    const std::uint64_t after = NumberParameter(target, "after");
    if (after < m_forgotten || after < m_revision) {
      reply(ChangesAfter(after));
      return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(
        m_strand, Milliseconds(NumberParameter(target, "waitMs")));
    m_watches.push_back(Waiting{after, reply, timer});
    timer->async_wait(
        [self = shared_from_this(), timer](boost::system::error_code error) {
          if (!error && self->m_mode != StoreMode::kSilent) {
            self->EndWatches();
          }
        });
  }

  [[nodiscard]] HttpReply ChangesAfter(std::uint64_t after) const {
    if (after < m_forgotten) {
      return Status(kStatusGone);
    }
    json::array events;
    for (auto place = m_history.upper_bound(after); place != m_history.end();
         ++place) {
      const Event& event = place->second;
      events.push_back(event.m_item ? ItemJson(event.m_key, *event.m_item)
                                    : json::object{{"key", event.m_key},
                                                   {"revision", place->first},
                                                   {"removed", true}});
    }
    return Json({{"events", std::move(events)}, {"asOf", m_revision}});
  }

  void EndWatches() {
    std::list<Waiting> watches;
    watches.swap(m_watches);
    for (const Waiting& waiting : watches) {
      waiting.m_timer->cancel();
      waiting.m_reply(m_mode == StoreMode::kServe
                          ? ChangesAfter(waiting.m_after)
                          : Status(kStatusUnavailable));
    }
  }

  asio::strand<asio::io_context::executor_type> m_strand;
  std::map<std::string, Item> m_items;
  std::map<std::uint64_t, Event> m_history;
  std::uint64_t m_revision = 1;
  std::uint64_t m_forgotten = 0;
  StoreMode m_mode = StoreMode::kServe;
  std::atomic<Milliseconds> m_delay{Milliseconds(0)};
  TimePoint m_silent_until{};
  std::list<Waiting> m_watches;
  std::list<HttpServer::ReplyCallback> m_unanswered;
  std::atomic<std::uint64_t> m_calls{0};
  HttpServer m_server;
};

StoreStandin::StoreStandin(asio::io_context& context, Endpoint endpoint)
    : m_impl(std::make_shared<Impl>(context, std::move(endpoint))) {}

StoreStandin::~StoreStandin() = default;

NetResult<void> StoreStandin::Start() {
  return m_impl->Start();
}

void StoreStandin::Put(std::string key, std::string value) {
  m_impl->PutEncoded(std::move(key), ToBase64(value));
}

void StoreStandin::PutEncoded(std::string key, std::string value) {
  m_impl->PutEncoded(std::move(key), std::move(value));
}

void StoreStandin::Remove(std::string key) {
  m_impl->Remove(std::move(key));
}

void StoreStandin::SetMode(StoreMode mode) {
  m_impl->SetMode(mode);
}

void StoreStandin::SetDelay(Milliseconds time) {
  m_impl->SetDelay(time);
}

void StoreStandin::LoseReplies(Milliseconds time) {
  m_impl->LoseReplies(time);
}

void StoreStandin::ForgetHistory() {
  m_impl->ForgetHistory();
}

std::uint64_t StoreStandin::CallCount() const {
  return m_impl->CallCount();
}

}  // namespace jackdawrack
