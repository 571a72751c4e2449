#include "soak_callers.h"

#include <fmt/format.h>

#include <algorithm>

#include "testing/soak_checks.h"

namespace jackdawrack {
namespace {

/// What callers wait for, whatever the route's timeout; the longer one as long
/// as a grace period.
constexpr int kDeadlineMs = 2'000;
constexpr int kLongDeadlineMs = 6'000;
/// The latest answer, counted from the deadline.
constexpr Milliseconds kLatestAnswer{1'000};
/// Closings that cross a request are told from lost ones by this time.
constexpr Milliseconds kCrossing{200};
constexpr Milliseconds kNewConnectionPause{50};
/// Below the shortest idle timeout of the configurations.
constexpr Milliseconds kMaxIdle{1'700};

/// What a call asks for.
struct Target {
  const char* m_method;
  const char* m_path;
  const char* m_body;
};

const Target kTargets[] = {
    {"GET", "/q/x", ""},         {"GET", "/q/x", ""},
    {"GET", "/one/x", ""},       {"POST", "/one/x", "lens"},
    {"POST", "/book/x", "lens"}, {"POST", "/book/x", "lens"},
    {"GET", "/none/x", ""}};

Milliseconds Since(TimePoint begin) {
  return std::chrono::duration_cast<Milliseconds>(SteadyClock().Now() - begin);
}

bool OneIn(std::mt19937_64& random, unsigned number) {
  return random() % number == 0;
}

}  // namespace

SoakCallers::SoakCallers(GatewayFleet& fleet,
                         const SoakInstances& instances,
                         std::size_t instance_count,
                         std::size_t callers,
                         std::uint64_t seed)
    : m_fleet(fleet),
      m_instances(instances),
      m_instance_count(instance_count),
      m_begin(SteadyClock().Now()) {
  for (std::size_t i = 0; i < callers; ++i) {
    m_threads.emplace_back([this, i, seed] { Run(i, seed); });
  }
}

SoakCallers::~SoakCallers() {
  Stop();
}

void SoakCallers::Stop() {
  m_is_stopped = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

void SoakCallers::Run(std::size_t thread, std::uint64_t seed) {
  Random random(seed * 1'000 + thread);
  for (std::size_t number = 0; !m_is_stopped;) {
    try {
      UseConnection(random, thread, number);
    } catch (const boost::system::system_error&) {
      // Nothing listens there now
    }
    std::this_thread::sleep_for(kNewConnectionPause);
  }
}

void SoakCallers::UseConnection(Random& random,
                                std::size_t thread,
                                std::size_t& number) {
  const std::size_t instance = random() % m_instance_count;
  const TimePoint connected = SteadyClock().Now();
  Connection connection{RawCaller(m_fleet.CallerPort(instance)), instance,
                        connected};
  const bool respects_closing = OneIn(random, 2);
  bool is_open = true;
  for (std::uint64_t left = random() % 100 + 1; left > 0 && is_open; --left) {
    Call call;
    call.m_id = fmt::format("c{}-{}", thread, number++);
    call.m_instance = instance;
    is_open = CallOnce(random, connection, call) && !m_is_stopped &&
              !(respects_closing && connection.m_is_closing);
    {
      const std::lock_guard lock(m_mutex);
      m_calls.push_back(std::move(call));
    }
    const TimePoint idle_since = SteadyClock().Now();
    std::this_thread::sleep_for(
        Milliseconds(random() % (OneIn(random, 10) ? 1'500 : 200)));
    is_open = is_open && Since(idle_since) < kMaxIdle;
  }
}

bool SoakCallers::CallOnce(Random& random, Connection& connection, Call& call) {
  const Target& target = kTargets[random() % std::size(kTargets)];
  call.m_is_once = target.m_path == std::string("/book/x");
  call.m_deadline_ms = OneIn(random, 10) ? kLongDeadlineMs : kDeadlineMs;
  const std::string request =
      RawCaller::MakeRequest(target.m_method, target.m_path, call.m_id,
                             target.m_body, call.m_deadline_ms);
  RawCaller& caller = connection.m_caller;
  std::size_t first_part = 0;
  if (OneIn(random, 10)) {
    first_part = random() % request.size();
    caller.Send(request.substr(0, first_part));
    std::this_thread::sleep_for(Milliseconds(random() % 300));
  }
  caller.Send(request.substr(first_part));
  call.m_sent = SteadyClock().Now();
  if (OneIn(random, 50)) {
    std::this_thread::sleep_for(Milliseconds(random() % 20));
    caller.Close();
    call.m_outcome = Outcome::kAbandoned;
    return false;
  }
  const auto reply = caller.Read();
  call.m_elapsed = Since(call.m_sent);
  call.m_outcome = Judge(connection, call, reply.has_value());
  if (!reply) {
    call.m_fault = caller.LastProblem();
    return false;
  }
  call.m_status = reply->m_status;
  call.m_fault = FindSoakAnswerFault(*reply, call.m_id,
                                     target.m_path == std::string("/q/x"))
                     .value_or("");
  connection.m_is_closing = reply->Header("Connection") == "close";
  return true;
}

SoakCallers::Outcome SoakCallers::Judge(const Connection& connection,
                                        const Call& call,
                                        bool has_reply) const {
  const bool is_in_time =
      call.m_elapsed <= Milliseconds(call.m_deadline_ms) + kLatestAnswer;
  if (has_reply && is_in_time) {
    return Outcome::kAnswered;
  }
  if (m_instances.MayLose(call.m_instance, connection.m_connected,
                          call.m_sent)) {
    return Outcome::kExcused;
  }
  if (!is_in_time) {
    return has_reply ? Outcome::kLate : Outcome::kSilent;
  }
  const bool may_close =
      connection.m_is_closing ||
      m_instances.MayClose(call.m_instance, connection.m_connected,
                           call.m_sent + kCrossing);
  return may_close ? Outcome::kClosedUnread : Outcome::kClosed;
}

bool SoakCallers::IsUnanswered(const Call& call, std::size_t ran) {
  return call.m_outcome == Outcome::kLate ||
         call.m_outcome == Outcome::kSilent ||
         call.m_outcome == Outcome::kClosed ||
         (call.m_outcome == Outcome::kClosedUnread && ran > 0);
}

SoakCallers::Findings SoakCallers::Check(const Runs& runs) const {
  Findings findings;
  for (const Call& call : m_calls) {
    const auto found = runs.find(call.m_id);
    const std::size_t ran = found == runs.end() ? 0 : found->second;
    std::string fault = call.m_status == 0 ? "" : call.m_fault;
    if (IsUnanswered(call, ran)) {
      ++findings.m_unanswered;
      fault = "no answer: " + call.m_fault;
    }
    if ((call.m_is_once && ran > 1) ||
        (IsNotRunPromise(call.m_status) && ran > 0)) {
      fault += " ran too often";
    }
    if (!fault.empty()) {
      findings.m_faults.push_back(
          fmt::format("{}, ran {} times: {}", Describe(call), ran, fault));
    }
  }
  return findings;
}

std::string SoakCallers::Describe(const Call& call) const {
  static constexpr const char* kOutcomes[] = {
      "answered",      "answered late", "silent",   "closed",
      "closed unread", "excused",       "abandoned"};
  return fmt::format(
      "{} at {} ms to instance {}, {} after {} ms, status {}{}", call.m_id,
      std::chrono::duration_cast<Milliseconds>(call.m_sent - m_begin).count(),
      call.m_instance, kOutcomes[static_cast<std::size_t>(call.m_outcome)],
      call.m_elapsed.count(), call.m_status,
      call.m_is_once ? ", at most once" : "");
}

std::string SoakCallers::Counts() const {
  std::map<unsigned, std::size_t> statuses;
  std::size_t unread = 0;
  std::size_t excused = 0;
  std::size_t abandoned = 0;
  for (const Call& call : m_calls) {
    statuses[call.m_status] += call.m_status != 0 ? 1 : 0;
    unread += call.m_outcome == Outcome::kClosedUnread ? 1 : 0;
    excused += call.m_outcome == Outcome::kExcused ? 1 : 0;
    abandoned += call.m_outcome == Outcome::kAbandoned ? 1 : 0;
  }
  std::string text = fmt::format("requests {}:", m_calls.size());
  for (const auto& [status, count] : statuses) {
    text += status == 0 ? "" : fmt::format(" {}x{}", status, count);
  }
  return text +
         fmt::format(", closed unread {}, killed or suspended {}, abandoned {}",
                     unread, excused, abandoned);
}

}  // namespace jackdawrack
