#include "tool/load_outcome.h"

#include "net/json.h"

namespace jackdawrack {

LoadReply JudgeReply(const NetResult<HttpReply>& reply) {
  if (!reply) {
    return {};
  }
  const auto object = ParseJsonObject(reply.assume_value().m_body);
  if (!object) {
    return {};
  }
  const std::string outcome = JsonText(*object, "outcome");
  if (outcome == "complete" || outcome == "ran") {
    return LoadReply{LoadOutcome::kComplete, 1};
  }
  if (outcome == "partial") {
    const boost::json::value* coverage = object->if_contains("coverage");
    boost::system::error_code error;
    return LoadReply{
        LoadOutcome::kPartial,
        coverage == nullptr ? 0 : coverage->to_number<double>(error)};
  }
  const bool is_refused =
      outcome == "not_run" || JsonText(*object, "executed") == "no";
  return LoadReply{is_refused ? LoadOutcome::kRefused : LoadOutcome::kFailed,
                   0};
}

}  // namespace jackdawrack
