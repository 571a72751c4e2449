#include "testing/query_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <mutex>
#include <sstream>

#include "model/range_set.h"

namespace jackdawrack {
namespace {

constexpr std::size_t kSenders = 24;

struct ParsedRow {
  KeyRange m_range;
  std::uint64_t m_version = 0;
  std::string m_nonce;
};

// Reads "begin-end@version:nonce".
ParsedRow ParseRow(const std::string& text) {
  ParsedRow row;
  std::istringstream in(text);
  char mark = 0;
  in >> row.m_range.m_begin >> mark >> row.m_range.m_end >> mark >>
      row.m_version >> mark >> row.m_nonce;
  return row;
}

// Adds the verdict on one answer.
void Judge(const boost::json::object& answer,
           const std::string& nonce,
           QueryLoadResult& result) {
  const std::uint64_t version = JsonNumber(answer, "index_version");
  std::uint64_t delivered = 0;
  RangeSet covered;
  bool is_mixed = false;
  bool is_foreign = false;
  for (const auto& text : answer.at("rows").as_array()) {
    const ParsedRow row = ParseRow(std::string(text.as_string()));
    covered.Add(row.m_range);
    delivered += row.m_range.Size();
    is_mixed = is_mixed || row.m_version != version;
    is_foreign = is_foreign || row.m_nonce != nonce;
  }

  // Claimed is the whole key space without what is said to be missing
  RangeSet claimed({kWholeKeySpace});
  for (const auto& missing : answer.at("missing").as_array()) {
    claimed.Remove(KeyRange{JsonNumber(missing.as_object(), "begin"),
                            JsonNumber(missing.as_object(), "end")});
  }
  result.m_mixed += is_mixed ? 1 : 0;
  result.m_foreign += is_foreign ? 1 : 0;
  result.m_untrue += claimed != covered || delivered != covered.Size() ? 1 : 0;
  result.m_complete += JsonText(answer, "outcome") == "complete" ? 1 : 0;
}

}  // namespace

void QueryLoadResult::Add(const QueryLoadResult& other) {
  m_sent += other.m_sent;
  m_complete += other.m_complete;
  m_broken += other.m_broken;
  m_mixed += other.m_mixed;
  m_untrue += other.m_untrue;
  m_foreign += other.m_foreign;
  m_took_ms.insert(m_took_ms.end(), other.m_took_ms.begin(),
                   other.m_took_ms.end());
}

double QueryLoadResult::QuantileMs(double quantile) const {
  if (m_took_ms.empty()) {
    return 0;
  }
  std::vector<double> sorted = m_took_ms;
  std::sort(sorted.begin(), sorted.end());
  const auto at = static_cast<std::size_t>(
      quantile * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

std::string QueryLoadResult::ToText() const {
  return fmt::format(
      "sent={} complete={} broken={} mixed={} untrue={} foreign={} p50={:.1f} "
      "p99={:.1f} p99.9={:.1f} ms",
      m_sent, m_complete, m_broken, m_mixed, m_untrue, m_foreign,
      QuantileMs(0.5), QuantileMs(0.99), QuantileMs(0.999));
}

QueryLoadResult RunQueryLoad(TestFleet& fleet,
                             std::size_t per_second,
                             Milliseconds length) {
  const std::vector<std::string> names = fleet.InstanceNames();
  const std::size_t total =
      per_second * static_cast<std::size_t>(length.count()) / 1000;
  const TimePoint start = SteadyClock().Now();
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  QueryLoadResult result;
  const auto send = [&] {
    for (std::size_t i = next++; i < total; i = next++) {
      const TimePoint due =
          start + std::chrono::microseconds(i * 1'000'000 / per_second);
      std::this_thread::sleep_until(due);
      const std::string nonce = fmt::format("n{}", i);
      const HttpReply reply = fleet.Query(names[i % names.size()], nonce);
      const std::chrono::duration<double, std::milli> took =
          SteadyClock().Now() - due;
      const auto answer = ParseJsonObject(reply.m_body);
      const std::lock_guard lock(mutex);
      ++result.m_sent;
      result.m_took_ms.push_back(took.count());
      if (answer && answer->contains("rows")) {
        Judge(*answer, nonce, result);
      } else {
        ++result.m_broken;
      }
    }
  };
  std::vector<std::thread> senders;
  for (std::size_t i = 0; i < kSenders; ++i) {
    senders.emplace_back(send);
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  return result;
}

std::uint64_t ExecutedQueries(TestFleet& fleet) {
  std::uint64_t sum = 0;
  for (const Upstream& upstream : fleet.Map().m_upstreams) {
    sum += JsonNumber(fleet.UpstreamCounts(upstream.m_id.Text()), "queries");
  }
  return sum;
}

double SumOfMetric(TestFleet& fleet, const std::string& name) {
  double sum = 0;
  for (const std::string& instance : fleet.InstanceNames()) {
    std::istringstream text(fleet.Operator(instance, "/metrics").m_body);
    for (std::string line; std::getline(text, line);) {
      if (line.rfind(name + " ", 0) == 0) {
        sum += std::stod(line.substr(name.size() + 1));
      }
    }
  }
  return sum;
}

}  // namespace jackdawrack
