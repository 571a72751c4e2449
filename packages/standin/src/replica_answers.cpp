#include "replica_answers.h"

#include <fmt/format.h>

namespace jackdawrack {
namespace {

constexpr const char* kForeignId = "00000000feedbeef";
constexpr const char* kIdPlaceholder = "{id}";

std::string EchoField(const std::string& id) {
  return fmt::format("X-Request-Id: {}\r\n", id);
}

std::string MakeAnswer(int status,
                       const std::string& fields,
                       const std::string& body) {
  return fmt::format("HTTP/1.1 {} -\r\n{}Content-Length: {}\r\n\r\n{}", status,
                     fields, body.size(), body);
}

}  // namespace

std::string MakeReplicaAnswer(const ReplicaStandinSettings& settings,
                              const std::string& id,
                              ReplicaMode mode) {
  std::string body;
  for (const std::string& record : settings.m_records) {
    body += record;
  }
  const auto fields = [&settings](const std::string& echoed) {
    return EchoField(echoed) +
           fmt::format("X-Server-Stamp: {}.{}\r\n", settings.m_id, echoed);
  };
  const std::string good = MakeAnswer(200, fields(id), body);
  switch (mode) {
    case ReplicaMode::kRefuse:
      return MakeAnswer(503, EchoField(id) + "X-Not-Executed: 1\r\n", "");
    case ReplicaMode::kMisdirected:
      return MakeAnswer(421, EchoField(id) + "X-Instance-Id: other\r\n", "");
    case ReplicaMode::kFail:
      return MakeAnswer(500, fields(id), "failed");
    case ReplicaMode::kTruncate:
      return good.substr(0, good.size() - 1);
    case ReplicaMode::kExtra:
      return good + MakeAnswer(200, fields(kForeignId), "EXTRA");
    case ReplicaMode::kForeign:
      return MakeAnswer(200, fields(kForeignId), body);
    case ReplicaMode::kUnframed:
      return fmt::format("HTTP/1.1 200 -\r\n{}\r\n{}", fields(id), body);
    default:
      return good;
  }
}

std::string MakeCopy(std::string answer,
                     const std::string& id,
                     const LateCopy& copy) {
  const std::string echo = EchoField(id);
  const std::size_t place = answer.find(echo);
  if (place != std::string::npos && copy.m_echoed_id != kIdPlaceholder) {
    answer.replace(
        place, echo.size(),
        copy.m_echoed_id.empty() ? std::string() : EchoField(copy.m_echoed_id));
  }
  if (copy.m_is_half) {
    answer.resize(answer.size() / 2);
  }
  return answer;
}

std::string FillRequestId(std::string text, const std::string& id) {
  const std::string placeholder = kIdPlaceholder;
  for (std::size_t place = text.find(placeholder); place != std::string::npos;
       place = text.find(placeholder, place + id.size())) {
    text.replace(place, placeholder.size(), id);
  }
  return text;
}

}  // namespace jackdawrack
